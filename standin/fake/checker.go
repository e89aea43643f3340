package fake

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// checker compares what the log says with what the engines really do.
type checker struct {
	epochs  map[sardine.GroupID]sardine.Epoch
	broken  map[sardine.GroupID]fault
	dirty   bool           // engines or the log changed since the last check
	ledAt   sardine.Millis // last instant without a settled leader
	bound   sardine.Millis // for a member that is missing unseen
	longest sardine.Millis
	enabled bool
}

// fault is what a routable group lacks, and since when.
type fault struct {
	at   sardine.Millis
	lack string
}

func newChecker() checker {
	return checker{
		epochs: make(map[sardine.GroupID]sardine.Epoch),
		broken: make(map[sardine.GroupID]fault),
	}
}

// WithBound makes the world check that no group stays routable with a member
// missing for longer than a time after the leader could know.
func WithBound(d sardine.Millis) Option {
	return func(w *World) {
		w.checker.bound = d
		w.checker.enabled = true
	}
}

// LongestBroken returns the longest time for which a group was routable while a
// member was missing.
func (w *World) LongestBroken() sardine.Millis {
	return w.checker.longest
}

// commit checks a command that took effect.
func (c *checker) commit(w *World, command state.Command, r state.Result) {
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

// check asserts the promises about groups as the engines really are.
func (c *checker) check(w *World) error {
	if !c.enabled {
		return nil
	}
	if w.leader == nil {
		c.ledAt = w.now
	}
	if c.dirty {
		c.dirty = false
		if err := c.look(w); err != nil {
			return err
		}
	}
	for id, f := range c.broken {
		c.longest = max(c.longest, w.now-f.at)
		if w.now-max(f.at, c.ledAt) > c.bound {
			return codes.New(codes.InvariantBroken, "group %s was routable for %d ms while %s", id, w.now-f.at, f.lack)
		}
	}
	return nil
}

// moved asserts that an engine takes a place in another group only once the group
// that it held can serve no more: it has left, or no rank 0 is open.
func (c *checker) moved(w *World, e *Engine, before sardine.CurrentOrder) error {
	if before.Group == "" {
		return nil
	}
	for _, head := range w.engines {
		h := head.holding
		if head.alive && h.Group == before.Group && h.State == sardine.MemberOpen {
			return codes.New(codes.InvariantBroken, "VM %s joined group %s while VM %s serves its group %s", e.VM, e.holding.Group, head.VM, before.Group)
		}
	}
	return nil
}

// look compares the log's groups with the engines.
func (c *checker) look(w *World) error {
	owner := make(map[sardine.VMID]sardine.GroupID)
	broken := make(map[sardine.GroupID]fault)
	for _, g := range w.truth.Groups() {
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
		if lack := w.broken(g); lack != "" {
			broken[g.ID] = fault{at: w.now, lack: lack}
			if before, known := c.broken[g.ID]; known {
				broken[g.ID] = before
			}
		}
	}
	c.broken = broken
	return nil
}
