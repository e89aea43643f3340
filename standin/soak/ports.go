package soak

import (
	"fmt"
	"net"

	"sardineswitch.dev/sardine/codes"
)

// Ports of soaks: below those that other tests draw and those that the system
// gives to connections.
const (
	lowestPort = 10000
	blocks     = 90
	blockSize  = 100
)

// ports is a block of ports that belongs to one site. Its first port stays open as
// a lock: a process of the site may be down for seconds, and no other site may
// take its port meanwhile.
type ports struct {
	base int
	lock net.Listener
	next int
}

// takePorts returns a block that no other soak on this machine has.
func takePorts() (*ports, error) {
	for i := range blocks {
		base := lowestPort + i*blockSize
		l, err := net.Listen("tcp", address(base))
		if err == nil {
			return &ports{base: base, lock: l, next: base + 1}, nil
		}
	}
	return nil, codes.New(codes.Internal, "soak: all %d blocks of ports from %d on are in use", blocks, lowestPort)
}

// addresses returns so many addresses on which nobody listens.
func (p *ports) addresses(count int) ([]string, error) {
	var all []string
	for ; len(all) < count && p.next < p.base+blockSize; p.next++ {
		l, err := net.Listen("tcp", address(p.next))
		if err != nil {
			continue // something else has it
		}
		if err := l.Close(); err != nil {
			return nil, err
		}
		all = append(all, address(p.next))
	}
	if len(all) < count {
		return nil, codes.New(codes.Internal, "soak: no free port is left in %d to %d", p.base, p.base+blockSize-1)
	}
	return all, nil
}

// release gives the block back.
func (p *ports) release() {
	_ = p.lock.Close() // nothing has connected to it
}

func address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
