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
	watchInterval = 20 * time.Millisecond
	// missingMemberLimit is how long an entry node may route to a group after
	// one of its members has failed: the target lease of 3 s, the entry nodes'
	// lease of 3 s in case the leader fails as well, and the election of the
	// next leader.
	missingMemberLimit = 9 * time.Second
)

// watch checks the entry nodes periodically until ctx ends.
func (r *run) watch(ctx context.Context) {
	highest := make(map[string]uint64) // highest version by node and incarnation
	gaps := newGaps()
	for ctx.Err() == nil {
		accepted := r.load.Accepted()
		members := r.members()
		for _, e := range r.site.Entries() {
			if node := e.Node(); node != nil {
				d := node.Dump()
				r.checkEntry(d, accepted, members, highest)
				r.recordGap(gaps.observe(d.Node+"/"+uintText(d.Incarnation), d.Ready, time.Now()))
			}
		}
		time.Sleep(watchInterval)
	}
}

// members returns the members of the groups in the leader's state, by the
// groups' target names.
func (r *run) members() map[string][]string {
	found := make(map[string][]string)
	leader := r.site.LeaderIndex()
	if leader < 0 {
		return found
	}
	node := r.site.Controls()[leader].Node()
	if node == nil {
		return found
	}
	for _, g := range node.Dump().Groups {
		found[targetName(g)] = g.Members
	}
	return found
}

// targetName returns the name under which entry nodes route to a group.
func targetName(g ctrl.GroupDump) string {
	return g.Group + "@" + uintText(g.Epoch)
}

// checkEntry checks that an entry node serves current settings, that its
// version does not decrease, and that the groups it routes to have all
// members.
func (r *run) checkEntry(d entry.Dump, accepted uint64, members map[string][]string, highest map[string]uint64) {
	r.mu.Lock()
	r.result.Checks++
	r.mu.Unlock()
	if d.InvariantViolation != "" {
		r.violate("%s: %s", d.Node, d.InvariantViolation)
	}
	if !d.Ready || len(d.Versions) == 0 {
		return
	}
	version := d.Versions[0].Version
	if version < accepted {
		r.violate("%s serves version %d, but version %d was accepted before", d.Node, version, accepted)
	}
	name := d.Node + "/" + uintText(d.Incarnation)
	if version < highest[name] {
		r.violate("%s went back from version %d to %d", d.Node, highest[name], version)
	}
	highest[name] = version
	for _, c := range d.Candidates {
		if strings.Contains(c.Service, "surtitles") {
			r.checkMembers(d.Node, c.Target, members[c.Target])
		}
	}
}

// checkMembers checks that no member of a routed group has been down for
// longer than missingMemberLimit.
func (r *run) checkMembers(node, target string, members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range members {
		if since, down := r.down[vm]; down && time.Since(since) > missingMemberLimit {
			r.violate("%s routes to %s without its member %s", node, target, vm)
		}
	}
}

func uintText(n uint64) string {
	return strconv.FormatUint(n, 10)
}
