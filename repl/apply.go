package repl

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/state"
)

// Bounds of the commands kept for followers.
const (
	newsItems = 8192
	newsBytes = 4 << 20
)

// Applied is one applied command.
type Applied struct {
	Index   uint64
	At      state.WallTime
	Command state.Command
	bytes   int
}

// applyJob is work for the state's duty, in the order of the fields.
type applyJob struct {
	waiters []*request // calls whose entries are now in the log
	restore *quorum.Snapshot
	entries []quorum.Entry
	reads   []*request // confirmed reads, answered once their index is applied
}

func (j applyJob) empty() bool {
	return len(j.waiters) == 0 && j.restore == nil && len(j.entries) == 0 && len(j.reads) == 0
}

// applied is the replicated state and what was applied last.
type applied struct {
	mu      sync.RWMutex
	machine *state.Machine
	index   uint64
	recent  []Applied // spread commands after floor, oldest first
	bytes   int       // of recent
	floor   uint64
	wake    chan struct{}

	// Only the state's duty uses what follows.
	term    uint64
	members []quorum.Member
	waiters map[uint64]*request
	reads   []*request
	fresh   int // bytes of commands since the last snapshot
	saved   int // bytes of the last snapshot
}

func newApplied(m *state.Machine, s quorum.Snapshot, bytes int) *applied {
	return &applied{
		machine: m,
		index:   s.Index,
		floor:   s.Index,
		wake:    make(chan struct{}),
		term:    s.Term,
		members: s.Members,
		waiters: make(map[uint64]*request),
		saved:   bytes,
	}
}

func (a *applied) view(f func(*state.Machine)) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	f(a.machine)
}

func (a *applied) at() uint64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.index
}

func (a *applied) changed() <-chan struct{} {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.wake
}

func (a *applied) news(after uint64, limit int) (news []Applied, through uint64, ok bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if after < a.floor {
		return nil, 0, false
	}
	first, _ := slices.BinarySearchFunc(a.recent, after+1, func(c Applied, index uint64) int { return cmp.Compare(c.Index, index) })
	rest := a.recent[first:]
	if len(rest) > max(limit, 1) {
		rest = rest[:max(limit, 1)]
		return slices.Clone(rest), rest[len(rest)-1].Index, true
	}
	return slices.Clone(rest), max(a.index, after), true
}

// applyDuty applies committed entries and answers their callers.
func (n *Node) applyDuty() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case job := <-n.applies.Items():
			if err := n.apply(job); err != nil {
				return err
			}
		}
	}
}

func (n *Node) apply(job applyJob) error {
	a := n.applied
	a.expect(job.waiters)
	if job.restore != nil {
		if err := a.restore(*job.restore); err != nil {
			return err
		}
		event.Log(n.settings.logger, event.SnapshotInstall, attrUint("index", job.restore.Index))
	}
	answers, err := a.execute(job.entries)
	if err != nil {
		return err
	}
	for _, answer := range answers {
		answer.request.answer(answer.outcome)
	}
	a.reads = append(a.reads, job.reads...)
	a.answerReads()
	n.saveIfDue()
	return nil
}

// expect notes calls whose entries will be applied. An older call at the same
// index was dropped from this log, but another member may still hold its entry.
func (a *applied) expect(waiters []*request) {
	for _, r := range waiters {
		if old := a.waiters[r.position.Index]; old != nil {
			old.fail(codes.New(codes.OutcomeUnknown, "the entry %d was replaced here in a later term", r.position.Index))
		}
		a.waiters[r.position.Index] = r
	}
}

// restore replaces the state by a snapshot of the leader.
func (a *applied) restore(s quorum.Snapshot) error {
	m, err := restore(s.Data, s.Index)
	if err != nil {
		return err
	}
	for index, r := range a.waiters {
		if index <= s.Index {
			delete(a.waiters, index)
			r.fail(codes.New(codes.OutcomeUnknown, "a snapshot replaced the log beyond entry %d", index))
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Index <= a.index {
		return codes.New(codes.InvariantBroken, "repl: snapshot at %d would turn back the state from %d", s.Index, a.index)
	}
	a.machine = m
	a.index = s.Index
	a.term = s.Term
	a.members = s.Members
	a.recent = nil
	a.bytes = 0
	a.floor = s.Index
	a.fresh = 0
	a.saved = len(s.Data)
	a.notify()
	return nil
}

// answered is an outcome on its way to the caller.
type answered struct {
	request *request
	outcome outcome
}

// execute applies entries in order.
func (a *applied) execute(entries []quorum.Entry) ([]answered, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var answers []answered
	for _, e := range entries {
		if e.Index != a.index+1 {
			return nil, codes.New(codes.InvariantBroken, "repl: entry %d follows entry %d", e.Index, a.index)
		}
		result, err := a.executeEntry(e)
		if err != nil {
			return nil, err
		}
		a.index = e.Index
		a.term = e.Term
		if r := a.waiters[e.Index]; r != nil {
			delete(a.waiters, e.Index)
			answers = append(answers, answered{request: r, outcome: outcomeOf(r, e, result)})
		}
	}
	a.trim()
	a.notify()
	return answers, nil
}

// outcomeOf answers a call by what was committed at its index. Another entry
// there proves that the call's own entry can never be committed.
func outcomeOf(r *request, e quorum.Entry, result state.Result) outcome {
	if r.position.Term != e.Term {
		return outcome{err: codes.New(codes.NotLeader, "a leader of term %d replaced the entry %d", e.Term, e.Index)}
	}
	return outcome{result: result, index: e.Index, term: e.Term}
}

func (a *applied) executeEntry(e quorum.Entry) (state.Result, error) {
	switch e.Kind {
	case quorum.KindMembers:
		a.members = e.Members
	case quorum.KindCommand:
		return a.executeCommand(e)
	}
	a.machine.Skip(e.Index)
	return state.Result{Index: e.Index}, nil
}

func (a *applied) executeCommand(e quorum.Entry) (state.Result, error) {
	at, c, err := state.DecodeCommand(e.Data)
	if err != nil {
		return state.Result{}, codes.Wrap(codes.FormatVersion, err, "a committed command can't be read")
	}
	a.fresh += len(e.Data)
	if state.Spread(c) {
		a.recent = append(a.recent, Applied{Index: e.Index, At: at, Command: c, bytes: len(e.Data)})
		a.bytes += len(e.Data)
	}
	return a.machine.Apply(e.Index, at, c), nil
}

// trim forgets the oldest commands beyond the bounds.
func (a *applied) trim() {
	drop := 0
	for drop < len(a.recent) && (len(a.recent)-drop > newsItems || a.bytes > newsBytes) {
		a.bytes -= a.recent[drop].bytes
		a.floor = a.recent[drop].Index
		drop++
	}
	if drop == 0 {
		return
	}
	if drop > len(a.recent)/2 || cap(a.recent) > 4*newsItems {
		a.recent = append([]Applied(nil), a.recent[drop:]...)
		return
	}
	clear(a.recent[:drop])
	a.recent = a.recent[drop:]
}

func (a *applied) notify() {
	close(a.wake)
	a.wake = make(chan struct{})
}

// answerReads answers the confirmed reads whose index is applied.
func (a *applied) answerReads() {
	kept := a.reads[:0]
	for _, r := range a.reads {
		if r.position.Index > a.index {
			kept = append(kept, r)
			continue
		}
		r.answer(outcome{index: r.position.Index, term: r.position.Term})
	}
	a.reads = kept
}

// saveIfDue has a snapshot saved once the commands since the last one outweigh
// both the limit and that snapshot, so that the cost per command stays bounded
// however large the state is.
func (n *Node) saveIfDue() {
	a := n.applied
	if a.fresh < max(n.settings.snapshotBytes, a.saved) || n.saves.Len() > 0 {
		return
	}
	data, err := a.machine.Snapshot()
	if err != nil {
		event.Log(n.settings.logger, event.DutyFailed, attrError(err))
		return
	}
	snap := quorum.Snapshot{Position: quorum.Position{Index: a.index, Term: a.term}, Members: a.members, Data: data}
	if n.saves.Push(context.Background(), snap) {
		a.fresh = 0
		a.saved = len(data)
	}
}
