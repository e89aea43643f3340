package pool

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	sardine "sardineswitch.dev/sardine"
)

const (
	// maxUploadLinger is how long the rest of a request is written after the target has
	// ended its answer with its side of the connection.
	maxUploadLinger = 500 * sardine.Millis(1)
	// ackPollInterval is the time between two looks at the unacknowledged bytes.
	ackPollInterval = 5 * sardine.Millis(1)
)

var (
	errUploadCut = errors.New("the connection ended before the target had read the request")
	errNotAcked  = errors.New("the target did not acknowledge the request")
)

// closeDelimited is the body of an answer that ends with its connection. The end of the
// connection is the end of the body only if the request was sent before: after a reset the
// write of the request may have taken the error that the read would have got.
type closeDelimited struct {
	io.ReadCloser
	conn *Conn
}

// isCloseDelimited reports whether an answer has neither a length nor chunks.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Read implements io.Reader.
func (b *closeDelimited) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.conn.awaitSent() != nil {
		return n, errUploadCut
	}
	return n, err
}

// awaitSent waits until the request is written and acknowledged, for maxUploadLinger at
// most. It returns an error if the connection ends before.
func (c *Conn) awaitSent() error {
	end := time.Now().Add(maxUploadLinger.Duration())
	if c.sending != nil {
		_ = c.raw.SetWriteDeadline(end) // fails only on a closed connection, whose write fails too
		err := <-c.sending
		c.sending <- err // for reusable
		if err != nil {
			return err
		}
	}
	raw, ok := socket(c.raw).(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	return awaitAcked(control, end)
}

// awaitAcked waits until the other side has acknowledged all bytes. Without the count of
// the kernel, they count as acknowledged.
func awaitAcked(control syscall.RawConn, end time.Time) error {
	for {
		unacked, failed := 0, 0
		err := control.Control(func(fd uintptr) {
			unacked, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			failed, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		})
		switch {
		case err != nil:
			return err
		case unacked <= 0:
			return nil
		case failed != 0 || time.Now().After(end):
			return errNotAcked
		}
		time.Sleep(ackPollInterval.Duration())
	}
}
