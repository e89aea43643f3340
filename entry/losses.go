package entry

import (
	"context"
	"errors"
	"os"

	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/state"
)

// losses follows the attempts of one request whose targets may have ended under it.
type losses struct {
	node   *Node
	poison guard.Fingerprint
	all    []lost
}

// lost is an attempt that its target did not bring to an end.
type lost struct {
	check *check
	loss  guard.Loss
}

// allow returns nil if the request may be sent to a target, once more or for the
// first time.
func (l *losses) allow() error {
	return l.node.strikes.allow(l.poison, l.ended()...)
}

// ended returns the targets that have ended under this request.
func (l *losses) ended() []state.End {
	var ends []state.End
	for _, one := range l.all {
		if l.node.checks.hasEnded(one.check) {
			ends = append(ends, one.loss.End)
		}
	}
	return ends
}

// lose begins to find out what became of a target that has lost the request, by the
// error of an attempt. ctx is the attempt's: one that its caller or the node has
// ended tells nothing.
func (l *losses) lose(ctx context.Context, d dispatched, err error) {
	if !lostByTarget(ctx) {
		return
	}
	now := l.node.clock.Now()
	k := l.node.checks.begin(d, !errors.Is(err, os.ErrDeadlineExceeded))
	l.all = append(l.all, lost{check: k, loss: guard.Loss{Fingerprint: l.poison, End: state.End(d.candidate.Ref), At: now}})
}

// failed blames the request for the targets that have ended under it, since it did
// not run to its end on another one.
func (l *losses) failed() {
	for _, one := range l.all {
		l.node.checks.blame(one.check, one.loss)
	}
	l.all = nil
}

// survived notes that the request has run to its end.
func (l *losses) survived() {
	l.all = nil
	l.node.strikes.survived(l.poison)
}

// lostByTarget reports whether an attempt with the context ended by its target, not
// by its caller, its deadline or the node.
func lostByTarget(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause == nil || errors.Is(cause, errStalled) || errors.Is(cause, errGroupLost)
}
