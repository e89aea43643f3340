package guard

import (
	"slices"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// MaxFailures is the number of target failures after which a FailureCounter refuses a
// request. Routes usually allow two attempts, and if a fabric domain fails, both
// attempts of a harmless request may fail with it.
const MaxFailures = 3

const (
	// harmlessFor is how long a completed request is presumed harmless: target
	// failures at nearly the same time are attributed to another cause.
	harmlessFor = 60 * sardine.Second
	// maxCompleted is the number of completed requests per generation of recent,
	// which keeps two generations.
	maxCompleted = 8192
	// maxPending bounds the failures that the log does not have yet.
	maxPending = 1024
)

// trialDelays holds the delays after which a refused request is run once more,
// by one node, to find out whether it was refused wrongly. While its strikes
// count, a request gets no more trials than these.
var trialDelays = [...]sardine.Millis{60 * sardine.Second, 600 * sardine.Second}

// PoisonReader reads the strikes from this node's copy of the replicated state.
// state.Machine implements it.
type PoisonReader interface {
	// Poison returns the strikes of a fingerprint.
	Poison(fingerprint []byte) state.Poison
	// Index returns the index of the last log entry that Poison reflects.
	Index() uint64
	// Time returns the highest timestamp applied, by the leader's clock.
	Time() state.WallTime
}

// Verdict says whether a request may be sent to a target.
type Verdict uint8

// The verdicts.
const (
	Allowed Verdict = iota + 1
	Refused
	Trial // may be sent once, by the node that the log grants the trial to
	Probe // may be sent by the node that the log grants the probe to
	Wait  // may not be sent yet: the verdict depends on a probe
)

// Loss is an attempt that ended because its target failed.
type Loss struct {
	Request     sardine.RequestID
	Service     sardine.ServiceName
	Segments    []Segment // shared segments of the prompt
	Events      int       // events of the answer that arrived from the target
	Fingerprint Fingerprint
	Failure     state.TargetFailure
	At          sardine.Millis // when the answer broke off
}

// pendingFailure is a target failure that the replicated state does not have yet.
type pendingFailure struct {
	failure state.TargetFailure
	at      sardine.Millis // when it was counted
	index   uint64         // log index of its strike, 0 until it is committed
}

// refusal is the state of a request that this node refuses.
type refusal struct {
	since  sardine.Millis // of the first refusal
	trials int            // trials offered so far
}

// FailureCounter counts the targets that failed while they ran each request, and
// refuses requests with too many failures. Like Guard it has no I/O or clock. It is
// for requests of which many copies may run at once, and delays none of them. It is
// not safe for concurrent use.
type FailureCounter struct {
	reader       PoisonReader
	pending      map[Fingerprint][]pendingFailure
	completed    *recent
	refused      map[Fingerprint]*refusal
	released     map[Fingerprint]uint64 // log index of the release, 0 until it is committed
	pendingCount int                    // total number of failures in pending
	pruneIndex   uint64                 // index of the replicated state at the last Prune, 0 if there were changes since
}

// NewFailureCounter returns a counter of the failures in the replicated state, which it
// reads by r, and of the failures that it counts itself.
func NewFailureCounter(r PoisonReader) *FailureCounter {
	return &FailureCounter{
		reader:    r,
		pending:   make(map[Fingerprint][]pendingFailure),
		completed: newRecent(harmlessFor, maxCompleted),
		refused:   make(map[Fingerprint]*refusal),
		released:  make(map[Fingerprint]uint64),
	}
}

// Count returns the number of targets that failed while they ran the request:
// those in the replicated state, those pending here and the given ones that its
// sender observed.
func (l *FailureCounter) Count(f Fingerprint, sender ...state.TargetFailure) int {
	failures := l.reader.Poison(f[:]).Failures
	if len(l.pending[f])+len(sender) == 0 {
		return len(failures)
	}
	all := slices.Clone(failures)
	for _, p := range l.pending[f] {
		sender = append(sender, p.failure)
	}
	for _, e := range sender {
		if !slices.Contains(all, e) {
			all = append(all, e)
		}
	}
	return len(all)
}

// Check decides whether the request may be sent to a target. sender holds the
// failures that its sender observed.
func (l *FailureCounter) Check(now sardine.Millis, f Fingerprint, sender ...state.TargetFailure) Verdict {
	if l.Count(f, sender...) < MaxFailures {
		delete(l.refused, f)
		return Allowed
	}
	r := l.refused[f]
	if r == nil {
		r = &refusal{since: now}
		l.refused[f] = r
	}
	if r.trials < len(trialDelays) && now >= r.since+trialDelays[r.trials] {
		r.trials++
		return Trial
	}
	return Refused
}

// TrialClaim returns the command that claims the trial of a request for which
// Check returned Trial. The log grants it to the first node and refuses all
// others.
func (l *FailureCounter) TrialClaim(node sardine.NodeID, i sardine.Incarnation, f Fingerprint) state.ClaimKey {
	key := f.String()
	if failures := l.reader.Poison(f[:]).Failures; len(failures) > 0 {
		first := failures[0]                                      // strikes after a release get another key
		number := uint64(first.Epoch) + uint64(first.Incarnation) // one of them is 0
		key += "/" + first.Target() + "/" + strconv.FormatUint(number, 10)
	}
	trial := 0
	if r := l.refused[f]; r != nil {
		trial = r.trials
	}
	return state.ClaimKey{
		Workspace: permitWorkspace, Key: key + "/" + strconv.Itoa(trial), Fingerprint: f[:],
		Node: node, Incarnation: i, Attempt: 1,
	}
}

// CountLoss counts a loss whose target is known to have failed. It returns the
// strike to propose, or false if the loss does not count.
func (l *FailureCounter) CountLoss(now sardine.Millis, s Loss) (state.Strike, bool) {
	f := s.Fingerprint
	recentlyCompleted := l.completed.has(now, f)
	switch {
	case recentlyCompleted && l.completed.at(f) >= s.At:
		return state.Strike{}, false // the request has completed since
	case recentlyCompleted && l.hasRecent(now, f):
		return state.Strike{}, false
	case slices.Contains(l.reader.Poison(f[:]).Failures, s.Failure) || l.isPending(f, s.Failure):
		return state.Strike{}, false
	case l.pendingCount >= maxPending:
		return state.Strike{}, false
	}
	l.pendingCount++
	l.pending[f] = append(l.pending[f], pendingFailure{failure: s.Failure, at: now})
	return state.Strike{Fingerprint: f[:], Failure: s.Failure, Limit: MaxFailures, Doubtful: recentlyCompleted}, true
}

// hasRecent reports whether this node has a pending failure of the request that
// was counted less than state.MinStrikeInterval ago. The log compares the failures of
// all nodes.
func (l *FailureCounter) hasRecent(now sardine.Millis, f Fingerprint) bool {
	return slices.ContainsFunc(l.pending[f], func(p pendingFailure) bool { return now-p.at < sardine.Millis(state.MinStrikeInterval) })
}

func (l *FailureCounter) isPending(f Fingerprint, e state.TargetFailure) bool {
	return slices.ContainsFunc(l.pending[f], func(p pendingFailure) bool { return p.failure == e })
}

// StrikeCommitted records the index at which a strike was committed. Index 0 means
// that the log refused it: the failure no longer counts.
func (l *FailureCounter) StrikeCommitted(s state.Strike, index uint64) {
	f := Fingerprint(s.Fingerprint)
	l.filterPending(f, func(p *pendingFailure) bool {
		if p.failure == s.Failure {
			p.index = index
			return index > 0
		}
		return true
	})
	l.pruneIndex = 0
}

// filterPending removes the pending failures of a fingerprint for which wanted
// is false.
func (l *FailureCounter) filterPending(f Fingerprint, wanted func(*pendingFailure) bool) {
	var kept []pendingFailure
	for _, p := range l.pending[f] {
		if wanted(&p) {
			kept = append(kept, p)
		}
	}
	l.pendingCount -= len(l.pending[f]) - len(kept)
	l.pending[f] = kept
	if len(kept) == 0 {
		delete(l.pending, f)
	}
}

// Completed records that the request completed, which shows that it does not make
// its targets fail. It returns the command that removes its strikes, or false if
// the replicated state has none or their removal is already proposed.
func (l *FailureCounter) Completed(now sardine.Millis, f Fingerprint) (state.ReleasePoison, bool) {
	l.completed.add(now, f)
	l.pendingCount -= len(l.pending[f])
	delete(l.pending, f)
	if len(l.reader.Poison(f[:]).Failures) == 0 {
		return state.ReleasePoison{}, false
	}
	if _, proposed := l.released[f]; proposed {
		return state.ReleasePoison{}, false
	}
	l.released[f] = 0
	return state.ReleasePoison{Fingerprint: f[:]}, true
}

// ReleaseCommitted records the index at which a release was committed, 0 if the log
// refused it.
func (l *FailureCounter) ReleaseCommitted(r state.ReleasePoison, index uint64) {
	f := Fingerprint(r.Fingerprint)
	if index == 0 {
		delete(l.released, f)
		return
	}
	l.released[f] = index
	l.pruneIndex = 0
}

// Prune drops the entries that the replicated state has caught up with.
func (l *FailureCounter) Prune() {
	index := l.reader.Index()
	if index == l.pruneIndex {
		return
	}
	l.pruneIndex = index
	for f, at := range l.released {
		if at > 0 && at <= index {
			delete(l.released, f)
		}
	}
	for f := range l.pending {
		l.filterPending(f, func(p *pendingFailure) bool { return p.index == 0 || p.index > index })
	}
	for f := range l.refused {
		if l.Count(f) < MaxFailures {
			delete(l.refused, f)
		}
	}
}
