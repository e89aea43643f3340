// Package ports reserves separate ports for sites that run on one machine for
// tests.
package ports

import (
	"fmt"
	"net"

	"sardineswitch.dev/sardine/codes"
)

// All blocks are below the operating system's ephemeral ports, so that no
// outgoing connection gets a port of a block while its process is stopped.
const (
	lowestPort = 10000
	blocks     = 220
	blockSize  = 100
)

// Block is a range of ports that is reserved for one site. A listener on its
// first port is the lock: a process of the site may be stopped for seconds, and
// no other site may use its port meanwhile.
type Block struct {
	base int
	lock net.Listener
	next int
}

// Reserve reserves a block that no other site on this machine uses.
func Reserve() (*Block, error) {
	for i := range blocks {
		base := lowestPort + i*blockSize
		l, err := net.Listen("tcp", address(base))
		if err == nil {
			return &Block{base: base, lock: l, next: base + 1}, nil
		}
	}
	return nil, codes.New(codes.Internal, "ports: all %d blocks from %d on are in use", blocks, lowestPort)
}

// Base returns the block's first port, which identifies the block.
func (b *Block) Base() int {
	return b.base
}

// Addresses returns count loopback addresses on which no process listens. It
// returns no address twice.
func (b *Block) Addresses(count int) ([]string, error) {
	var all []string
	for ; len(all) < count && b.next < b.base+blockSize; b.next++ {
		l, err := net.Listen("tcp", address(b.next))
		if err != nil {
			continue // another process uses it
		}
		if err := l.Close(); err != nil {
			return nil, err
		}
		all = append(all, address(b.next))
	}
	if len(all) < count {
		return nil, codes.New(codes.Internal, "ports: no free port is left in %d to %d", b.base, b.base+blockSize-1)
	}
	return all, nil
}

// Release unlocks the block, so that it can be reserved again.
func (b *Block) Release() {
	_ = b.lock.Close() // an error would not matter: the listener has no connections
}

func address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
