package fleet

import (
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// How long observations of entry nodes count.
const (
	// observationLease is how long an observed answer keeps a silent target
	// alive. It spans several reports of an entry node.
	observationLease = 2 * sardine.Second
	// stallLease is how long the report of a stall counts.
	stallLease = 3 * sardine.Second
	// stallRepeat is the time within which further reports of a stall are expected from
	// the nodes that have requests there. It exceeds the interval of their reports.
	stallRepeat = 1 * sardine.Second
)

// Observation is an observation of a group or a plain target through the requests in
// flight there. It comes from one entry node or is merged from several.
type Observation struct {
	Group       sardine.GroupID // engines only
	Epoch       sardine.Epoch   // engines only
	VM          sardine.VMID    // plain targets only
	Incarnation sardine.Incarnation
	InFlight    int            // requests in flight
	ProgressAge sardine.Millis // age of the last observed progress, negative for none
	Stalled     bool           // silent for longer than its work explains
}

// InFlightCount is how many requests entry nodes have in flight at a group or a plain
// target.
type InFlightCount struct {
	Group       sardine.GroupID
	Epoch       sardine.Epoch
	VM          sardine.VMID
	Incarnation sardine.Incarnation
	Count       int
}

// observedKey identifies the subject of an observation.
type observedKey struct {
	group       sardine.GroupID
	epoch       sardine.Epoch
	vm          sardine.VMID
	incarnation sardine.Incarnation
}

// observed is the merged observation of one group or plain target.
type observed struct {
	aliveAt    sardine.Millis               // last observed progress, 0 for none
	stalledAt  sardine.Millis               // last report of a stall, 0 for none
	reportedAt sardine.Millis               // last call of Merged, which returns a stall once
	byNode     map[sardine.NodeID]nodeCount // requests in flight
	at         sardine.Millis               // last report
}

// nodeCount is one entry node's requests in flight.
type nodeCount struct {
	count int
	at    sardine.Millis
}

func (w *observed) inFlight() int {
	sum := 0
	for _, f := range w.byNode {
		sum += f.count
	}
	return sum
}

// Observations merges the observations of several nodes. It is not safe for
// concurrent use.
type Observations struct {
	all map[observedKey]*observed
}

// NewObservations returns Observations of no node.
func NewObservations() *Observations {
	return &Observations{all: make(map[observedKey]*observed)}
}

// Merge merges a node's observations. It reports whether one of them is of a stall that
// no node has reported in the last stallRepeat.
func (s *Observations) Merge(now sardine.Millis, node sardine.NodeID, observations []Observation) (newStall bool) {
	for _, observation := range observations {
		key := observedKey{group: observation.Group, epoch: observation.Epoch, vm: observation.VM, incarnation: observation.Incarnation}
		w := s.all[key]
		if w == nil {
			w = &observed{byNode: make(map[sardine.NodeID]nodeCount)}
			s.all[key] = w
		}
		w.at = now
		w.byNode[node] = nodeCount{count: observation.InFlight, at: now}
		if observation.ProgressAge >= 0 {
			w.aliveAt = max(w.aliveAt, now-observation.ProgressAge)
		}
		if observation.Stalled {
			newStall = newStall || w.stalledAt == 0 || now-w.stalledAt >= stallRepeat
			w.stalledAt = now
		}
	}
	s.expire(now)
	return newStall
}

// expire removes what was not reported recently.
func (s *Observations) expire(now sardine.Millis) {
	for key, w := range s.all {
		if w.at+max(observationLease, stallLease) <= now {
			delete(s.all, key)
			continue
		}
		for node, f := range w.byNode {
			if f.at+observationLease <= now {
				delete(w.byNode, node)
			}
		}
	}
}

// Merged returns the merged observations of all nodes. Each report of a stall is
// returned once, unless progress was observed later.
func (s *Observations) Merged(now sardine.Millis) []Observation {
	s.expire(now)
	observations := make([]Observation, 0, len(s.all))
	for key, w := range s.all {
		observation := Observation{
			Group:       key.group,
			Epoch:       key.epoch,
			VM:          key.vm,
			Incarnation: key.incarnation,
			InFlight:    w.inFlight(),
			ProgressAge: -1,
			Stalled:     w.stalledAt > max(w.reportedAt, w.aliveAt),
		}
		if w.aliveAt > 0 {
			observation.ProgressAge = now - w.aliveAt
		}
		w.reportedAt = now
		observations = append(observations, observation)
	}
	slices.SortFunc(observations, func(a, b Observation) int {
		if c := strings.Compare(string(a.Group), string(b.Group)); c != 0 {
			return c
		}
		return strings.Compare(string(a.VM), string(b.VM))
	})
	return observations
}

// InFlightCounts returns the requests in flight per group or plain target.
func (s *Observations) InFlightCounts() []InFlightCount {
	counts := make([]InFlightCount, 0, len(s.all))
	for key, w := range s.all {
		counts = append(counts, InFlightCount{Group: key.group, Epoch: key.epoch, VM: key.vm, Incarnation: key.incarnation, Count: w.inFlight()})
	}
	return counts
}

// Observe merges the observations of an entry node, or those that a control
// node has merged from several entry nodes. It reports whether they show a new stall,
// as Observations.Merge does.
func (l *Leader) Observe(now sardine.Millis, node sardine.NodeID, observations []Observation) (newStall bool) {
	return l.observations.Merge(now, node, observations)
}

// InFlightCounts returns the requests that entry nodes have in flight, as recently
// reported.
func (l *Leader) InFlightCounts() []InFlightCount {
	return l.observations.InFlightCounts()
}

// GroupInFlight returns how many requests entry nodes have in flight at a group.
func (l *Leader) GroupInFlight(g sardine.GroupID, e sardine.Epoch) (count int, known bool) {
	w := l.observations.all[observedKey{group: g, epoch: e}]
	if w == nil {
		return 0, false
	}
	return w.inFlight(), true
}

// readServingGroups indexes the log's serving groups by their members.
func (l *Leader) readServingGroups(m *state.Machine) {
	if l.servingGroupsIndex == m.FleetIndex() && l.servingGroups != nil {
		return
	}
	l.servingGroupsIndex = m.FleetIndex()
	l.servingGroups = make(map[sardine.VMID]observedKey)
	for _, g := range m.Groups() {
		if g.State != sardine.GroupServing {
			continue
		}
		for _, member := range g.Members {
			l.servingGroups[member.VM] = observedKey{group: g.ID, epoch: g.Epoch}
		}
	}
}

// observedOf returns the observations of a target, or of the group that it
// serves in; nil for none.
func (l *Leader) observedOf(kind sardine.TargetKind, r Ref) *observed {
	if kind == sardine.KindPlain {
		return l.observations.all[observedKey{vm: r.VM, incarnation: r.Incarnation}]
	}
	key, serves := l.servingGroups[r.VM]
	if !serves {
		return nil
	}
	return l.observations.all[key]
}

// observedAlive reports whether a target without valid announcements is alive.
// A group makes progress only with all its members, so answers from its rank 0
// prove that each of them is alive.
func (l *Leader) observedAlive(now sardine.Millis, kind sardine.TargetKind, r Ref) bool {
	w := l.observedOf(kind, r)
	return w != nil && w.aliveAt > 0 && w.aliveAt+observationLease > now && w.aliveAt > w.stalledAt
}

// observedStalled reports whether a target is lost although its announcement is
// still valid, because its group stalls and its next announcement is overdue.
func (l *Leader) observedStalled(now sardine.Millis, kind sardine.TargetKind, r Ref) bool {
	if l.overdue <= 0 || now-l.leadSince < l.overdue || !l.late(now, r.VM) {
		return false
	}
	w := l.observedOf(kind, r)
	return w != nil && w.stalledAt > 0 && w.stalledAt+stallLease > now && w.stalledAt > w.aliveAt
}

// late reports whether no home has received the target's announcement in time.
func (l *Leader) late(now sardine.Millis, vm sardine.VMID) bool {
	t := l.targets[vm]
	if t == nil {
		return true // a new leader has no reports yet
	}
	for node := range t.confirmedBy {
		if h := l.homes[node]; l.leaseValid(now, h) && !h.overdue[vm] {
			return false
		}
	}
	return true
}
