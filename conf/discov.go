package conf

import (
	"fmt"
	"net"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/tomlr"
)

// The interfaces that a node may speak to callers, targets and operators.
const (
	InterfaceOwn      = "sardine"
	InterfacePlatform = "platform"
)

// Discovery tells how a node finds the control nodes of a site without a list of
// them: a few seeds, which may be gone later.
type Discovery struct {
	seeds []Peer
	found bool
}

// readDiscovery reads the table [discovery]. A control node that is found this
// way is named by its IP number, so that a seed's name follows from its address.
func readDiscovery(t *tomlr.Table) Discovery {
	d := Discovery{found: t.Bool("found", false)}
	port := t.Int("port", 0, 0, 65535)
	for _, text := range t.Names("seeds") {
		host, _, err := net.SplitHostPort(text)
		if err != nil || net.ParseIP(host) == nil {
			t.Refuse("seeds", "an array of IP numbers with ports, such as 10.0.0.7:8080")
			continue
		}
		address := net.JoinHostPort(host, strconv.FormatInt(port, 10))
		d.seeds = append(d.seeds, Peer{node: sardine.NodeID(host), address: address})
	}
	if t.Present() && (len(d.seeds) < 1 || len(d.seeds) > maxControls) {
		t.Refuse("seeds", fmt.Sprintf("an array of %s addresses", span(1, maxControls)))
	}
	if t.Present() && port == 0 {
		t.Refuse("port", "the port of the seeds' internal servers")
	}
	return d
}

// Seeds returns the control nodes to ask first, with the addresses of their
// internal servers.
func (d Discovery) Seeds() []Peer {
	return append([]Peer(nil), d.seeds...)
}

// Found reports whether the seeds may found the site's log, which is right at
// the first start of a whole site only.
func (d Discovery) Found() bool {
	return d.found
}

// Enabled reports whether the node finds the control nodes by seeds.
func (d Discovery) Enabled() bool {
	return len(d.seeds) > 0
}
