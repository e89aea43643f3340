// Package ports gives sites that run on one machine for tests ports of their own.
package ports

import (
	"fmt"
	"net"

	"sardineswitch.dev/sardine/codes"
)

// All blocks lie below the ports that the system gives to connections, so that
// none takes a port while its process is stopped.
const (
	lowestPort = 10000
	blocks     = 220
	blockSize  = 100
)

// Block is a range of ports that belongs to one site. Its first port stays open as
// a lock: a process of the site may be down for seconds, and no other site may
// take its port meanwhile.
type Block struct {
	base int
	lock net.Listener
	next int
}

// Take returns a block that no other site on this machine has.
func Take() (*Block, error) {
	for i := range blocks {
		base := lowestPort + i*blockSize
		l, err := net.Listen("tcp", address(base))
		if err == nil {
			return &Block{base: base, lock: l, next: base + 1}, nil
		}
	}
	return nil, codes.New(codes.Internal, "ports: all %d blocks from %d on are in use", blocks, lowestPort)
}

// Base returns the block's first port, which names it.
func (b *Block) Base() int {
	return b.base
}

// Addresses returns so many loopback addresses on which nobody listens. None of
// them is returned twice.
func (b *Block) Addresses(count int) ([]string, error) {
	var all []string
	for ; len(all) < count && b.next < b.base+blockSize; b.next++ {
		l, err := net.Listen("tcp", address(b.next))
		if err != nil {
			continue // something else has it
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

// Release gives the block back.
func (b *Block) Release() {
	_ = b.lock.Close() // nothing has connected to it
}

func address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
