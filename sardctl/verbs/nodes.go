package verbs

import (
	"net"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// nodeAddress returns host:port of a node given by name or by address.
func (c *Call) nodeAddress(name string) (string, error) {
	if _, _, err := net.SplitHostPort(name); err == nil {
		return name, nil
	}
	r, err := c.report()
	if err != nil {
		return "", err
	}
	for _, e := range r.Entries {
		if e.Node == sardine.NodeID(name) {
			return e.Address, nil
		}
	}
	for _, k := range r.Controls {
		if k.Node == sardine.NodeID(name) {
			return k.Address, nil
		}
	}
	return "", codes.New(codes.UnknownMember, "no node %q, see sardctl status", name)
}

// completeNodes returns the names of all nodes.
func completeNodes(c *Call) []string {
	r, err := c.report()
	if err != nil {
		return nil
	}
	var names []string
	for _, e := range r.Entries {
		names = append(names, string(e.Node))
	}
	for _, k := range r.Controls {
		names = append(names, string(k.Node))
	}
	return names
}

// completeTargets returns the names of all targets.
func completeTargets(c *Call) []string {
	r, err := c.report()
	if err != nil {
		return nil
	}
	var names []string
	for _, t := range r.Targets {
		names = append(names, string(t.VM))
	}
	return names
}
