package fake

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// checker compares the groups in the log with the state of the engines.
type checker struct {
	epochs       map[sardine.GroupID]sardine.Epoch
	broken       map[sardine.GroupID]groupFault
	dirty        bool           // the engines or the log have changed since the last check
	leaderlessAt sardine.Millis // last instant without a leader
	bound        sardine.Millis // longest time that a group may be routable without serving
	longest      sardine.Millis
	enabled      bool
}

// groupFault is the reason why a routable group can't serve, and since when.
type groupFault struct {
	at     sardine.Millis
	reason string
}

func newChecker() checker {
	return checker{
		epochs: make(map[sardine.GroupID]sardine.Epoch),
		broken: make(map[sardine.GroupID]groupFault),
	}
}

// WithBound enables the checks of the world. No group may stay routable with a
// member missing for longer than the bound, counted from the loss or, if that
// is later, from the last instant without a leader.
func WithBound(d sardine.Millis) Option {
	return func(w *World) {
		w.checker.bound = d
		w.checker.enabled = true
	}
}

// LongestBroken returns the longest time for which a group was routable with a
// member missing.
func (w *World) LongestBroken() sardine.Millis {
	return w.checker.longest
}

// checkCommit asserts that a committed assignment of a group raises its epoch.
func (c *checker) checkCommit(w *World, command state.Command, r state.Result) {
	assign, ok := command.(state.AssignGroup)
	if !ok || r.Err != nil {
		return
	}
	id := assign.Group.ID
	if r.Epoch <= c.epochs[id] {
		w.fail(codes.New(codes.InvariantBroken, "group %s went from epoch %d to %d", id, c.epochs[id], r.Epoch))
	}
	c.epochs[id] = r.Epoch
}

// check asserts the invariants of the groups against the state of the engines.
func (c *checker) check(w *World) error {
	if !c.enabled {
		return nil
	}
	if w.leader == nil {
		c.leaderlessAt = w.now
	}
	if c.dirty {
		c.dirty = false
		if err := c.checkGroups(w); err != nil {
			return err
		}
	}
	for id, f := range c.broken {
		c.longest = max(c.longest, w.now-f.at)
		if w.now-max(f.at, c.leaderlessAt) > c.bound {
			return codes.New(codes.InvariantBroken, "group %s was routable for %d ms while %s", id, w.now-f.at, f.reason)
		}
	}
	return nil
}

// checkMove asserts that an engine joins another group only when its previous
// group can no longer serve: no engine may have that group open for requests.
func (c *checker) checkMove(w *World, e *Engine, before sardine.CurrentOrder) error {
	if before.Group == "" {
		return nil
	}
	for _, other := range w.engines {
		h := other.currentOrder
		if other.alive && h.Group == before.Group && h.State == sardine.MemberOpen {
			return codes.New(codes.InvariantBroken, "VM %s joined group %s while VM %s serves its group %s", e.VM, e.currentOrder.Group, other.VM, before.Group)
		}
	}
	return nil
}

// checkGroups asserts that no VM is in two groups, and records the routable
// groups that can't serve.
func (c *checker) checkGroups(w *World) error {
	owner := make(map[sardine.VMID]sardine.GroupID)
	broken := make(map[sardine.GroupID]groupFault)
	for _, g := range w.committed.Groups() {
		if g.State == sardine.GroupFenced {
			continue
		}
		for _, m := range g.Members {
			if other, twice := owner[m.VM]; twice {
				return codes.New(codes.InvariantBroken, "VM %s is in groups %s and %s", m.VM, other, g.ID)
			}
			owner[m.VM] = g.ID
		}
		if g.State != sardine.GroupServing {
			continue
		}
		if reason := w.brokenReason(g); reason != "" {
			broken[g.ID] = groupFault{at: w.now, reason: reason}
			if before, known := c.broken[g.ID]; known {
				broken[g.ID] = before
			}
		}
	}
	c.broken = broken
	return nil
}
