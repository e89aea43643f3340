package fake

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// checker compares what the log says with what the engines really do.
type checker struct {
	epochs   map[sardine.GroupID]sardine.Epoch
	brokenAt map[sardine.GroupID]sardine.Millis
	ledAt    sardine.Millis // last instant without a settled leader
	bound    sardine.Millis // for a member that is missing unseen
	longest  sardine.Millis
	enabled  bool
}

func newChecker() checker {
	return checker{
		epochs:   make(map[sardine.GroupID]sardine.Epoch),
		brokenAt: make(map[sardine.GroupID]sardine.Millis),
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
	owner := make(map[sardine.VMID]sardine.GroupID)
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
		if err := c.checkRoutable(w, g); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) checkRoutable(w *World, g sardine.Group) error {
	lack := ""
	if g.State == sardine.GroupServing {
		lack = w.broken(g)
	}
	if lack == "" {
		delete(c.brokenAt, g.ID)
		return nil
	}
	if _, known := c.brokenAt[g.ID]; !known {
		c.brokenAt[g.ID] = w.now
	}
	c.longest = max(c.longest, w.now-c.brokenAt[g.ID])
	from := max(c.brokenAt[g.ID], c.ledAt)
	if w.now-from <= c.bound {
		return nil
	}
	return codes.New(codes.InvariantBroken, "group %s was routable for %d ms while %s", g.ID, w.now-c.brokenAt[g.ID], lack)
}
