package gauge

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// countedConn counts the bytes of both directions of one end of a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes received.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// processorTime returns the processor time that this process has used, or 0 if
// the system does not report it.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
