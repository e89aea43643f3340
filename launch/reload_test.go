package launch

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// syncBuffer is a buffer that may be read while a logger writes to it.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *syncBuffer) has(word string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.text.Bytes(), []byte(word))
}

// TestReload checks that SIGHUP does not terminate the process and reloads even an
// unchanged file, that a changed file is reloaded without a signal, and that a text
// with errors is rejected and logged.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(path, []byte("first"), 0o600))
	r := NewReloader(path, []byte("first"))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP)) // before Run: neither lost nor fatal
	done, ended := make(chan struct{}), make(chan struct{})
	texts := make(chan string, 16)
	var log syncBuffer
	go func() {
		r.Run(done, slog.New(slog.NewTextHandler(&log, nil)), func(text []byte) error {
			texts <- string(text)
			if string(text) == "wrong" {
				return errors.New("wrong settings")
			}
			return nil
		})
		close(ended)
	}()
	next := func() string {
		t.Helper()
		select {
		case text := <-texts:
			return text
		case <-time.After(20 * time.Second):
			t.Fatal("the file was not reloaded")
			return ""
		}
	}
	require.Equal(t, "first", next())
	require.NoError(t, os.WriteFile(path+".new", []byte("wrong"), 0o600))
	require.NoError(t, os.Rename(path+".new", path))
	require.Equal(t, "wrong", next(), "without a signal")
	close(done)
	<-ended
	require.True(t, log.has("settings_read"))
	require.True(t, log.has("wrong settings"))
}
