package verbs

import (
	"bytes"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"sardineswitch.dev/sardine/conf"
	"sardineswitch.dev/sardine/tomlr"
)

// checkFiles checks the files and the folder that the flags name on this VM.
func (c *Call) checkFiles() []finding {
	var findings []finding
	paths, _ := c.flags.GetStringArray("settings") // the command defined it
	for _, path := range paths {
		findings = append(findings, checkSettings(path)...)
	}
	if folder := c.stringFlag("data-folder"); folder != "" {
		findings = append(findings, checkFolder(folder)...)
	}
	if path := c.stringFlag("certificate"); path != "" {
		findings = append(findings, checkCertificate(path, time.Now())...)
	}
	return findings
}

// checkSettings parses a settings file as a control node's if it contains the word
// members, which an entry node's does not, else as an entry node's.
func checkSettings(path string) []finding {
	text, err := os.ReadFile(path)
	if err != nil {
		return []finding{{err.Error(), "name the settings file of a node on this VM"}}
	}
	name := filepath.Base(path)
	if bytes.Contains(text, []byte("members")) {
		_, err = conf.ParseControl(name, text)
	} else {
		_, err = conf.ParseEntry(name, text)
	}
	if err == nil {
		return nil
	}
	var findings []finding
	for _, p := range tomlr.Problems(err) {
		findings = append(findings, finding{
			fmt.Sprintf("%s:%d:%d: %s: found %s", name, p.Position().Line, p.Position().Column, p.Path(), p.Found()),
			"edit it: expected " + p.Expected(),
		})
	}
	return findings
}

func checkFolder(folder string) []finding {
	var stat syscall.Statfs_t
	if err := syscall.Statfs(folder, &stat); err != nil {
		return []finding{{"data folder " + folder + ": " + err.Error(), "make the folder, or correct data_folder in the settings file"}}
	}
	var findings []finding
	if free := stat.Bavail * uint64(stat.Bsize); free < minFreeBytes {
		findings = append(findings, finding{
			fmt.Sprintf("data folder %s: %d MiB free, at least %d wanted", folder, free>>20, minFreeBytes>>20),
			"free space, see docs/operate/full-disk.md",
		})
	}
	took, err := syncTime(folder)
	switch {
	case err != nil:
		findings = append(findings, finding{"data folder " + folder + ": " + err.Error(), "make it writable for the user that runs controld"})
	case took > maxSyncTime:
		findings = append(findings, finding{
			fmt.Sprintf("data folder %s: a sync takes %s, at most %s wanted", folder, took.Truncate(time.Microsecond), maxSyncTime),
			"put data_folder on a faster disk; each change waits for it",
		})
	}
	return findings
}

// syncTime returns the median time of a small write with a sync.
func syncTime(folder string) (time.Duration, error) {
	file, err := os.CreateTemp(folder, "doctor-*")
	if err != nil {
		return 0, err
	}
	defer func() {
		_ = file.Close()
		_ = os.Remove(file.Name())
	}()
	var times []time.Duration
	for range syncTrials {
		start := time.Now()
		if _, err := file.WriteString("doctor"); err != nil {
			return 0, err
		}
		if err := file.Sync(); err != nil {
			return 0, err
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	return times[len(times)/2], nil
}

func checkCertificate(path string, now time.Time) []finding {
	text, err := os.ReadFile(path)
	if err != nil {
		return []finding{{err.Error(), "name the certificate of a node on this VM"}}
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return []finding{{path + " is not PEM", "sardctl keys init FOLDER renews certificates"}}
	}
	parsed, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return []finding{{path + ": " + err.Error(), "sardctl keys init FOLDER renews certificates"}}
	}
	if parsed.NotAfter.Sub(now) > expiryWarning {
		return nil
	}
	return []finding{{
		fmt.Sprintf("%s expires on %s", path, parsed.NotAfter.UTC().Format(time.DateOnly)),
		"sardctl keys init FOLDER renews it; nodes read it again by themselves",
	}}
}
