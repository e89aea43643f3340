package conf

import (
	"fmt"
	"net"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/tomlr"
)

// The interfaces that a node may offer to callers, targets and operators.
const (
	InterfaceOwn      = "sardine"
	InterfacePlatform = "platform"
)

// Discovery is how a node finds the control nodes of a site without a list of
// them: by a few seed nodes, which may be removed later.
type Discovery struct {
	seeds     []Peer
	bootstrap bool
}

// readDiscovery reads the table [discovery]. Control nodes that are found this
// way have their IP address as name, so that a seed's name follows from its
// address.
func readDiscovery(t *tomlr.Table) Discovery {
	d := Discovery{bootstrap: t.Bool("found", false)}
	port := t.Int("port", 0, 0, 65535)
	for _, text := range t.Names("seeds") {
		host, _, err := net.SplitHostPort(text)
		if err != nil || net.ParseIP(host) == nil {
			t.ReportProblem("seeds", "an array of IP numbers with ports, such as 10.0.0.7:8080")
			continue
		}
		address := net.JoinHostPort(host, strconv.FormatInt(port, 10))
		d.seeds = append(d.seeds, Peer{node: sardine.NodeID(host), address: address})
	}
	if t.Present() && (len(d.seeds) < 1 || len(d.seeds) > maxControls) {
		t.ReportProblem("seeds", fmt.Sprintf("an array of %s addresses", rangeText(1, maxControls)))
	}
	if t.Present() && port == 0 {
		t.ReportProblem("port", "the port of the seeds' internal servers")
	}
	return d
}

// Seeds returns the control nodes to ask first, with the addresses of their
// internal servers.
func (d Discovery) Seeds() []Peer {
	return append([]Peer(nil), d.seeds...)
}

// Bootstrap reports whether the seeds may bootstrap the site's log. It must be set
// only at the first start of a whole site.
func (d Discovery) Bootstrap() bool {
	return d.bootstrap
}

// Enabled reports whether the node finds the control nodes by seed nodes.
func (d Discovery) Enabled() bool {
	return len(d.seeds) > 0
}
