package sardine

import (
	"context"
	"io"
	"net"
)

// Dial connects to a node, as net.Dialer.DialContext does. Its errors must be a
// *net.OpError with the operation "dial", which shows that nothing was sent.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Disk is the file system of a node's data folder. All names are relative to it.
// Implementations: disk.Folder, disk.Memory.
type Disk interface {
	// Create creates or truncates a file for writing.
	Create(name string) (File, error)
	// Append opens a file for writing at its end and creates it if needed.
	Append(name string) (File, error)
	// ReadFile returns the whole content of a file.
	ReadFile(name string) ([]byte, error)
	// Rename replaces newName by oldName atomically.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// Truncate shortens a file to size bytes.
	Truncate(name string, size int64) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
}

// File is an open file of a Disk. Its content is durable once Sync has returned
// without error. After a failed Sync nothing may be assumed about the content.
type File interface {
	io.Writer
	io.Closer
	Sync() error
}

// Random is a source of random numbers, seeded in tests.
type Random interface {
	// Uint64 returns a uniform 64-bit number.
	Uint64() uint64
	// IntN returns a uniform number in [0,n). It panics if n <= 0.
	IntN(n int) int
	// Float64 returns a uniform number in [0,1).
	Float64() float64
}

// EngineClient sends orders to one engine.
type EngineClient interface {
	// Send sends o to the engine at address. A nil error means that the engine
	// accepted the order; codes.EpochRefused means that it has an order with a
	// higher epoch.
	Send(ctx context.Context, address string, o Order) error
}
