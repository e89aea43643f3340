// Package cases holds scripted runs of sardctl: a folder for each, with the
// commands (cmd), the expected output (out) and the expected error stream (err).
// A test replays them; runs named like a command are shown in docs/sardctl.md.
package cases

import (
	"embed"
	"errors"
	"io/fs"
)

//go:embed */cmd */out */err
var files embed.FS

// Names returns the names of all runs, sorted.
func Names() ([]string, error) {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Read returns one file of a run.
func Read(name, file string) (string, error) {
	text, err := files.ReadFile(name + "/" + file)
	return string(text), err
}

// Transcript returns the run of a command as shown in the docs, empty if there is
// none.
func Transcript(command string) (string, error) {
	text, err := Read(command, "out")
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	return text, err
}
