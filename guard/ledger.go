package guard

import (
	"slices"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// MostEnds is the number of targets that may end under a request before a Ledger
// refuses it. Two may end under a sound one, on both attempts that routes allow as
// a rule, if a domain fails.
const MostEnds = 3

const (
	// soundFor is how long a request counts as sound that has run to its end: what
	// ends its targets at the same moment is taken for something else.
	soundFor = 60 * sardine.Second
	// soundMost bounds the sound requests that are remembered, twice.
	soundMost = 8192
	// pendingMost bounds the ends that await the log.
	pendingMost = 1024
)

// trialAfter is how long a request is refused before it is run once more, by one
// node, to see whether it was refused wrongly. A sender of the same request meets
// no more trials than these while its strikes count.
var trialAfter = [...]sardine.Millis{60 * sardine.Second, 600 * sardine.Second}

// Record tells the strikes that this node has followed. state.Machine is one.
type Record interface {
	// Poison returns what is known of a fingerprint.
	Poison(fingerprint []byte) state.Poison
	// Index returns the index of the last log entry that Poison reflects.
	Index() uint64
}

// Verdict says whether a request may be sent to a target.
type Verdict uint8

// The verdicts.
const (
	Allowed Verdict = iota + 1
	Refused
	Trial // once, by the node that the log grants it to
)

// Loss is an attempt whose target is gone.
type Loss struct {
	Fingerprint Fingerprint
	End         state.End
	At          sardine.Millis // when the answer broke off
}

// pendingEnd is an end that the record does not hold yet.
type pendingEnd struct {
	end   state.End
	at    sardine.Millis // when it counted
	index uint64         // of its strike, 0 until the log has it
}

// refusal is a request that this node refuses.
type refusal struct {
	since  sardine.Millis
	trials int
}

// Ledger counts the targets that ended under each request and refuses those that
// end their targets. It is a pure core as Guard is, for requests of which many
// copies may be at work at once: it holds none of them back. Not safe for
// concurrent use.
type Ledger struct {
	record   Record
	pending  map[Fingerprint][]pendingEnd
	sound    *recent
	refused  map[Fingerprint]*refusal
	released map[Fingerprint]uint64 // index from which the record knows, 0 until the log has it
	waiting  int                    // ends in pending
	seen     uint64                 // index of the record at the last Tick, 0 if something came since
}

// NewLedger returns a ledger that knows what the record holds.
func NewLedger(r Record) *Ledger {
	return &Ledger{
		record:   r,
		pending:  make(map[Fingerprint][]pendingEnd),
		sound:    newRecent(soundFor, soundMost),
		refused:  make(map[Fingerprint]*refusal),
		released: make(map[Fingerprint]uint64),
	}
}

// Known returns the number of targets that have ended under the request, with those
// that its sender knows of.
func (l *Ledger) Known(f Fingerprint, sender ...state.End) int {
	ends := l.record.Poison(f[:]).Ends
	if len(l.pending[f])+len(sender) == 0 {
		return len(ends)
	}
	all := slices.Clone(ends)
	for _, p := range l.pending[f] {
		sender = append(sender, p.end)
	}
	for _, e := range sender {
		if !slices.Contains(all, e) {
			all = append(all, e)
		}
	}
	return len(all)
}

// Ask says whether the request may be sent, with the ends that its sender knows of.
func (l *Ledger) Ask(now sardine.Millis, f Fingerprint, sender ...state.End) Verdict {
	if l.Known(f, sender...) < MostEnds {
		delete(l.refused, f)
		return Allowed
	}
	r := l.refused[f]
	if r == nil {
		r = &refusal{since: now}
		l.refused[f] = r
	}
	if r.trials < len(trialAfter) && now >= r.since+trialAfter[r.trials] {
		r.trials++
		return Trial
	}
	return Refused
}

// TrialClaim returns the command with which a node asks the log for the trial of
// the request that Ask has just offered. The first node gets it; all others are
// refused.
func (l *Ledger) TrialClaim(node sardine.NodeID, i sardine.Incarnation, f Fingerprint) state.ClaimKey {
	key := f.String()
	if ends := l.record.Poison(f[:]).Ends; len(ends) > 0 {
		first := ends[0]                                        // other strikes after a release are another case
		life := uint64(first.Epoch) + uint64(first.Incarnation) // one of them is 0
		key += "/" + first.Target() + "/" + strconv.FormatUint(life, 10)
	}
	trial := 0
	if r := l.refused[f]; r != nil {
		trial = r.trials
	}
	return state.ClaimKey{
		Workspace: permits, Key: key + "/" + strconv.Itoa(trial), Fingerprint: f[:],
		Node: node, Incarnation: i, Attempt: 1,
	}
}

// Ended counts a loss whose target has ended. It returns the strike to propose, or
// false if the loss does not count.
func (l *Ledger) Ended(now sardine.Millis, s Loss) (state.Strike, bool) {
	f := s.Fingerprint
	doubtful := l.sound.has(now, f)
	switch {
	case doubtful && l.sound.at(f) >= s.At:
		return state.Strike{}, false // it has run to its end since
	case doubtful && l.together(now, f):
		return state.Strike{}, false
	case slices.Contains(l.record.Poison(f[:]).Ends, s.End) || l.isPending(f, s.End):
		return state.Strike{}, false
	case l.waiting >= pendingMost:
		return state.Strike{}, false
	}
	l.waiting++
	l.pending[f] = append(l.pending[f], pendingEnd{end: s.End, at: now})
	return state.Strike{Fingerprint: f[:], End: s.End, Limit: MostEnds, Doubtful: doubtful}, true
}

// together reports whether another end has just counted here. The log compares those
// of all nodes.
func (l *Ledger) together(now sardine.Millis, f Fingerprint) bool {
	return slices.ContainsFunc(l.pending[f], func(p pendingEnd) bool { return now-p.at < sardine.Millis(state.StrikesApart) })
}

func (l *Ledger) isPending(f Fingerprint, e state.End) bool {
	return slices.ContainsFunc(l.pending[f], func(p pendingEnd) bool { return p.end == e })
}

// Struck notes that the log has a strike at the index, 0 if it will not take it: then
// the end does not count any more.
func (l *Ledger) Struck(s state.Strike, index uint64) {
	f := Fingerprint(s.Fingerprint)
	l.keep(f, func(p *pendingEnd) bool {
		if p.end == s.End {
			p.index = index
			return index > 0
		}
		return true
	})
	l.seen = 0
}

// keep drops the pending ends of a fingerprint for which wanted is false.
func (l *Ledger) keep(f Fingerprint, wanted func(*pendingEnd) bool) {
	var kept []pendingEnd
	for _, p := range l.pending[f] {
		if wanted(&p) {
			kept = append(kept, p)
		}
	}
	l.waiting -= len(l.pending[f]) - len(kept)
	l.pending[f] = kept
	if len(kept) == 0 {
		delete(l.pending, f)
	}
}

// Survived notes that the request has run to its end, so that it is not what ended
// its targets. It returns the command that takes its strikes back, or false if the
// log has none.
func (l *Ledger) Survived(now sardine.Millis, f Fingerprint) (state.ReleasePoison, bool) {
	l.sound.note(now, f)
	l.waiting -= len(l.pending[f])
	delete(l.pending, f)
	if len(l.record.Poison(f[:]).Ends) == 0 {
		return state.ReleasePoison{}, false
	}
	if _, under := l.released[f]; under {
		return state.ReleasePoison{}, false
	}
	l.released[f] = 0
	return state.ReleasePoison{Fingerprint: f[:]}, true
}

// Released notes that the log has a release at the index, 0 if it did not take it.
func (l *Ledger) Released(r state.ReleasePoison, index uint64) {
	f := Fingerprint(r.Fingerprint)
	if index == 0 {
		delete(l.released, f)
		return
	}
	l.released[f] = index
	l.seen = 0
}

// Tick forgets what the record holds by now.
func (l *Ledger) Tick() {
	index := l.record.Index()
	if index == l.seen {
		return
	}
	l.seen = index
	for f, at := range l.released {
		if at > 0 && at <= index {
			delete(l.released, f)
		}
	}
	for f := range l.pending {
		l.keep(f, func(p *pendingEnd) bool { return p.index == 0 || p.index > index })
	}
	for f := range l.refused {
		if l.Known(f) < MostEnds {
			delete(l.refused, f)
		}
	}
}
