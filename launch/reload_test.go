package launch

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReloadReadsAfterAHangup: SIGHUP must not end the process, and has the file
// read even if it is the same.
func TestReloadReadsAfterAHangup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(path, []byte("first"), 0o600))
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP) // the test's process lives on whenever Reload begins to listen
	defer signal.Stop(caught)
	done := make(chan struct{})
	texts := make(chan string, 16)
	ended := make(chan struct{})
	go func() {
		Reload(path, done, func(text []byte, err error) {
			if err != nil {
				texts <- err.Error()
				return
			}
			texts <- string(text)
		})
		close(ended)
	}()
	next := func() string {
		t.Helper()
		for end := time.After(20 * time.Second); ; {
			select {
			case text := <-texts:
				return text
			case <-end:
				t.Fatal("nothing was read")
			}
		}
	}
	for read := false; !read; {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		select {
		case text := <-texts:
			require.Equal(t, "first", text)
			read = true
		case <-time.After(50 * time.Millisecond): // it did not listen yet
		}
	}
	require.NoError(t, os.WriteFile(path, []byte("second"), 0o600))
	for text := next(); text != "second"; text = next() {
		require.Equal(t, "first", text, "read again after another signal")
	}
	close(done)
	<-ended
}
