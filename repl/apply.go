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

// Bounds of the recent commands kept for entry nodes.
const (
	maxRecentItems = 8192
	maxRecentBytes = 4 << 20
)

// Applied is one applied command that entry nodes receive.
type Applied struct {
	Index   uint64
	At      state.WallTime
	Command state.Command
	bytes   int
}

// applyJob is work for applyLoop, which handles the fields in this order.
type applyJob struct {
	waiters []*request // calls whose entries are now in the log
	restore *quorum.Snapshot
	entries []quorum.Entry
	reads   []*request // confirmed reads, completed once their index is applied
}

func (j applyJob) empty() bool {
	return len(j.waiters) == 0 && j.restore == nil && len(j.entries) == 0 && len(j.reads) == 0
}

// appliedState is the replicated state with its last applied index and the
// recently applied commands.
type appliedState struct {
	mu          sync.RWMutex
	machine     *state.Machine
	index       uint64
	recent      []Applied // commands for entry nodes after recentAfter, oldest first
	bytes       int       // of recent
	recentAfter uint64
	changedCh   chan struct{}

	// Only applyLoop uses the fields below.
	term               uint64
	members            []quorum.Member
	waiters            map[uint64]*request
	reads              []*request
	bytesSinceSnapshot int // command bytes applied since the last snapshot
	lastSnapshotBytes  int // size of the last snapshot
}

func newApplied(m *state.Machine, s quorum.Snapshot, bytes int) *appliedState {
	return &appliedState{
		machine:           m,
		index:             s.Index,
		recentAfter:       s.Index,
		changedCh:         make(chan struct{}),
		term:              s.Term,
		members:           s.Members,
		waiters:           make(map[uint64]*request),
		lastSnapshotBytes: bytes,
	}
}

func (a *appliedState) view(f func(*state.Machine)) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	f(a.machine)
}

func (a *appliedState) lastIndex() uint64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.index
}

func (a *appliedState) changed() <-chan struct{} {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.changedCh
}

func (a *appliedState) updates(after uint64, limit int) (commands []Applied, through uint64, ok bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if after < a.recentAfter {
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

// applyLoop applies committed entries and replies to their callers.
func (n *Node) applyLoop() error {
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
	a.addWaiters(job.waiters)
	if job.restore != nil {
		if err := a.restoreSnapshot(*job.restore); err != nil {
			return err
		}
		event.Log(n.settings.logger, event.SnapshotInstall, attrUint("index", job.restore.Index))
	}
	answers, err := a.applyEntries(job.entries)
	if err != nil {
		return err
	}
	for _, answer := range answers {
		answer.request.answer(answer.outcome)
	}
	a.reads = append(a.reads, job.reads...)
	a.answerReads()
	n.saveSnapshotIfDue()
	return nil
}

// addWaiters registers calls whose entries are to be applied. The entry of an
// older call at the same index was dropped from this log, but another member may
// still have it and commit it.
func (a *appliedState) addWaiters(waiters []*request) {
	for _, r := range waiters {
		if old := a.waiters[r.position.Index]; old != nil {
			old.fail(codes.New(codes.OutcomeUnknown, "entry %d was replaced on this node in a later term", r.position.Index))
		}
		a.waiters[r.position.Index] = r
	}
}

// restoreSnapshot replaces the state by a snapshot from the leader.
func (a *appliedState) restoreSnapshot(s quorum.Snapshot) error {
	m, err := restoreMachine(s.Data, s.Index)
	if err != nil {
		return err
	}
	for index, r := range a.waiters {
		if index <= s.Index {
			delete(a.waiters, index)
			r.fail(codes.New(codes.OutcomeUnknown, "a snapshot replaced the log including entry %d", index))
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Index <= a.index {
		return codes.New(codes.InvariantBroken, "repl: snapshot at %d is not newer than the applied state at %d", s.Index, a.index)
	}
	a.machine = m
	a.index = s.Index
	a.term = s.Term
	a.members = s.Members
	a.recent = nil
	a.bytes = 0
	a.recentAfter = s.Index
	a.bytesSinceSnapshot = 0
	a.lastSnapshotBytes = len(s.Data)
	a.notify()
	return nil
}

// pendingAnswer is an outcome that has not been sent to its caller yet.
type pendingAnswer struct {
	request *request
	outcome outcome
}

// applyEntries applies entries in order and returns the outcomes for the callers
// that wait for them.
func (a *appliedState) applyEntries(entries []quorum.Entry) ([]pendingAnswer, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var answers []pendingAnswer
	for _, e := range entries {
		if e.Index != a.index+1 {
			return nil, codes.New(codes.InvariantBroken, "repl: entry %d follows entry %d", e.Index, a.index)
		}
		result, err := a.applyEntry(e)
		if err != nil {
			return nil, err
		}
		a.index = e.Index
		a.term = e.Term
		if r := a.waiters[e.Index]; r != nil {
			delete(a.waiters, e.Index)
			answers = append(answers, pendingAnswer{request: r, outcome: outcomeOf(r, e, result)})
		}
	}
	a.trimRecent()
	a.notify()
	return answers, nil
}

// outcomeOf returns the outcome of a call from the entry that was committed at
// its index. An entry of another term proves that the call's own entry can never
// be committed.
func outcomeOf(r *request, e quorum.Entry, result state.Result) outcome {
	if r.position.Term != e.Term {
		return outcome{err: codes.New(codes.NotLeader, "a leader of term %d replaced entry %d", e.Term, e.Index)}
	}
	return outcome{result: result, index: e.Index, term: e.Term}
}

func (a *appliedState) applyEntry(e quorum.Entry) (state.Result, error) {
	switch e.Kind {
	case quorum.KindMembers:
		a.members = e.Members
	case quorum.KindCommand:
		return a.applyCommand(e)
	}
	a.machine.Skip(e.Index)
	return state.Result{Index: e.Index}, nil
}

func (a *appliedState) applyCommand(e quorum.Entry) (state.Result, error) {
	at, c, err := state.DecodeCommand(e.Data)
	if err != nil {
		return state.Result{}, codes.Wrap(codes.FormatVersion, err, "cannot decode a committed command")
	}
	a.bytesSinceSnapshot += len(e.Data)
	if state.SentToEntries(c) {
		a.recent = append(a.recent, Applied{Index: e.Index, At: at, Command: c, bytes: len(e.Data)})
		a.bytes += len(e.Data)
	}
	return a.machine.Apply(e.Index, at, c), nil
}

// trimRecent drops the oldest recent commands beyond the bounds.
func (a *appliedState) trimRecent() {
	drop := 0
	for drop < len(a.recent) && (len(a.recent)-drop > maxRecentItems || a.bytes > maxRecentBytes) {
		a.bytes -= a.recent[drop].bytes
		a.recentAfter = a.recent[drop].Index
		drop++
	}
	if drop == 0 {
		return
	}
	if drop > len(a.recent)/2 || cap(a.recent) > 4*maxRecentItems {
		a.recent = append([]Applied(nil), a.recent[drop:]...)
		return
	}
	clear(a.recent[:drop])
	a.recent = a.recent[drop:]
}

func (a *appliedState) notify() {
	close(a.changedCh)
	a.changedCh = make(chan struct{})
}

// answerReads completes the confirmed reads whose index is applied.
func (a *appliedState) answerReads() {
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

// saveSnapshotIfDue queues a snapshot for saving once the commands since the last
// one are larger than both the limit and that snapshot, so that the cost per
// command stays bounded however large the state is.
func (n *Node) saveSnapshotIfDue() {
	a := n.applied
	if a.bytesSinceSnapshot < max(n.settings.snapshotBytes, a.lastSnapshotBytes) || n.saves.Len() > 0 {
		return
	}
	data, err := a.machine.Snapshot()
	if err != nil {
		event.Log(n.settings.logger, event.DutyFailed, attrError(err))
		return
	}
	snap := quorum.Snapshot{Position: quorum.Position{Index: a.index, Term: a.term}, Members: a.members, Data: data}
	if n.saves.Push(context.Background(), snap) {
		a.bytesSinceSnapshot = 0
		a.lastSnapshotBytes = len(data)
	}
}
