package chaos

import (
	"context"
	"strconv"
	"strings"
	"time"

	"sardineswitch.dev/sardine/ctrl"
	"sardineswitch.dev/sardine/entry"
)

const (
	watchPause = 20 * time.Millisecond
	// missingBound is how long a group may stay in the routes after a member is
	// gone: the target lease of 3 s, the entry nodes' lease of 3 s in case the
	// leader is lost as well, and its election.
	missingBound = 9 * time.Second
)

// watch looks at the entry nodes until ctx ends.
func (r *run) watch(ctx context.Context) {
	seen := make(map[string]uint64) // highest version by node and incarnation
	gaps := newGaps()
	for ctx.Err() == nil {
		accepted := r.load.Accepted()
		members := r.members()
		for _, e := range r.site.Entries() {
			if node := e.Node(); node != nil {
				d := node.Dump()
				r.look(d, accepted, members, seen)
				r.noteGap(gaps.look(d.Node+"/"+uintText(d.Incarnation), d.Ready, time.Now()))
			}
		}
		time.Sleep(watchPause)
	}
}

// members returns the groups as the leader knows them, by their target's name.
func (r *run) members() map[string][]string {
	found := make(map[string][]string)
	leader := r.site.Leader()
	if leader < 0 {
		return found
	}
	node := r.site.Controls()[leader].Node()
	if node == nil {
		return found
	}
	for _, g := range node.Dump().Groups {
		found[target(g)] = g.Members
	}
	return found
}

func target(g ctrl.GroupDump) string {
	return g.Group + "@" + uintText(g.Epoch)
}

// look checks what one entry node serves.
func (r *run) look(d entry.Dump, accepted uint64, members map[string][]string, seen map[string]uint64) {
	r.mu.Lock()
	r.result.Looks++
	r.mu.Unlock()
	if d.Breach != "" {
		r.violate("%s: %s", d.Node, d.Breach)
	}
	if !d.Ready || len(d.Versions) == 0 {
		return
	}
	version := d.Versions[0].Version
	if version < accepted {
		r.violate("%s serves version %d, %d was accepted before", d.Node, version, accepted)
	}
	name := d.Node + "/" + uintText(d.Incarnation)
	if version < seen[name] {
		r.violate("%s went back from version %d to %d", d.Node, seen[name], version)
	}
	seen[name] = version
	for _, c := range d.Candidates {
		if strings.Contains(c.Service, "surtitles") {
			r.checkWhole(d.Node, c.Target, members[c.Target])
		}
	}
}

// checkWhole checks that no member of a routed group has been gone for longer
// than the bound.
func (r *run) checkWhole(node, target string, members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range members {
		if since, down := r.down[vm]; down && time.Since(since) > missingBound {
			r.violate("%s routes to %s without %s", node, target, vm)
		}
	}
}

func uintText(n uint64) string {
	return strconv.FormatUint(n, 10)
}
