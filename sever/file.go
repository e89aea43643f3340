package sever

import (
	"context"
	"os"
	"slices"
	"strings"
	"time"
)

// FileSuffix is what the name of the file with the mode of a process's links adds to that
// of its settings file.
const FileSuffix = ".links"

// followInterval is the interval at which Follow reads its file.
const followInterval = 10 * time.Millisecond

// Follow sets the link's mode to the one named in a file until ctx ends. While the file is
// missing or names none, the mode stays.
func (l *Link) Follow(ctx context.Context, path string) {
	for {
		text, _ := os.ReadFile(path) // the next read repeats it
		if i := slices.Index(names, strings.TrimSpace(string(text))); i >= 0 && Mode(i) != l.mode("") {
			l.Set(Mode(i))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(followInterval):
		}
	}
}

// Store names the mode in a file. It replaces the file as a whole.
func Store(path string, m Mode) error {
	part := path + ".part"
	if err := os.WriteFile(part, []byte(m.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(part, path)
}
