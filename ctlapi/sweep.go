package ctlapi

import (
	"context"
	"errors"
	"slices"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

const (
	// hedgeDelay is how long a call may lack a reply until the next node is called too.
	hedgeDelay = 100 * sardine.Millis(1)
	// maxHedged bounds the calls in flight.
	maxHedged = 8
)

// sweep decides when to call which of several nodes, each at most once, until one has
// the answer. It has neither a clock nor connections.
type sweep struct {
	queue    []string // in the order in which to call them
	seen     map[string]bool
	inFlight int
	nextAt   sardine.Millis // earliest instant of the next call
}

func newSweep(addresses []string) *sweep {
	s := &sweep{seen: make(map[string]bool)}
	for _, address := range addresses {
		if address != "" && !s.seen[address] {
			s.seen[address] = true
			s.queue = append(s.queue, address)
		}
	}
	return s
}

// next returns the node to call at an instant. ok is false if no call is due.
func (s *sweep) next(now sardine.Millis) (address string, ok bool) {
	if len(s.queue) == 0 || s.inFlight >= maxHedged || now < s.nextAt {
		return "", false
	}
	address, s.queue = s.queue[0], s.queue[1:]
	s.inFlight++
	s.nextAt = now + hedgeDelay
	return address, true
}

// failed records that a call has failed, so that the next one is due. A leader that the
// node named is called next, unless it was called before.
func (s *sweep) failed(now sardine.Millis, leader string) {
	s.inFlight--
	s.nextAt = now
	i := slices.Index(s.queue, leader)
	if leader == "" || s.seen[leader] && i < 0 {
		return
	}
	if i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	s.seen[leader] = true
	s.queue = slices.Insert(s.queue, 0, leader)
}

// wait returns the time until the next call is due. ok is false if none is due before
// a call ends.
func (s *sweep) wait(now sardine.Millis) (d sardine.Millis, ok bool) {
	if len(s.queue) == 0 || s.inFlight >= maxHedged {
		return 0, false
	}
	return max(s.nextAt-now, 0), true
}

// ended reports whether every node was called and every call has failed.
func (s *sweep) ended() bool {
	return len(s.queue) == 0 && s.inFlight == 0
}

type sweepReply[R any] struct {
	address string
	answer  R
	err     error
}

// Sweep calls the nodes at the addresses until one call succeeds or ctx ends: the next
// one after each failure, or when a reply is late, and a leader that a node names at
// once. Each call has its own timeout, so that nodes that have failed don't use up the
// time of the others. observe gets the outcome of each call that ended before that; it
// may be nil. Otherwise the error is the last fault that a node replied, else the last
// error.
func Sweep[R any](ctx context.Context, clock sardine.Clock, addresses []string, timeout sardine.Millis,
	call func(ctx context.Context, address string) (R, error), observe func(address string, err error),
) (R, error) {
	var none R
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan sweepReply[R], maxHedged)
	start := func(address string) {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
			defer cancel()
			answer, err := call(ctx, address)
			replies <- sweepReply[R]{address: address, answer: answer, err: err}
		})
	}
	s := newSweep(addresses)
	var failure sweepFailure
	for !s.ended() {
		if address, ok := s.next(clock.Now()); ok {
			start(address)
			continue
		}
		var due <-chan sardine.Millis
		if d, ok := s.wait(clock.Now()); ok {
			due = clock.After(d)
		}
		select {
		case <-due:
		case <-ctx.Done():
			return none, failure.or(codes.Wrap(codes.NoQuorum, ctx.Err(), "no control node answered in time"))
		case r := <-replies:
			if observe != nil {
				observe(r.address, r.err)
			}
			if r.err == nil {
				return r.answer, nil
			}
			failure.record(r.address, r.err)
			s.failed(clock.Now(), namedLeader(r.err))
		}
	}
	return none, failure.or(codes.New(codes.NoQuorum, "no control node is known"))
}

// sweepFailure is the error of a sweep. A fault that a node replied is more informative
// than the error of a call without a reply.
type sweepFailure struct {
	fault error
	lost  error
}

func (f *sweepFailure) record(address string, err error) {
	if Answered(err) {
		f.fault = err
		return
	}
	f.lost = codes.Wrap(codes.NoQuorum, err, "control node "+address+" does not answer")
}

func (f *sweepFailure) or(err error) error {
	switch {
	case f.fault != nil:
		return f.fault
	case f.lost != nil:
		return f.lost
	default:
		return err
	}
}

// Answered reports whether err is a fault that a node replied.
func Answered(err error) bool {
	var coded *codes.Error
	var redirect *NotLeaderError
	return errors.As(err, &coded) || errors.As(err, &redirect)
}

func namedLeader(err error) string {
	var redirect *NotLeaderError
	if errors.As(err, &redirect) {
		return redirect.Leader()
	}
	return ""
}
