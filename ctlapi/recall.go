package ctlapi

import "slices"

// Recall orders nodes by the outcome of earlier calls, so that nodes that have failed
// are called after all others. The zero value recalls nothing. It is not safe for
// concurrent use.
type Recall struct {
	best     string            // the last node that succeeded or was named as the leader
	failures map[string]uint64 // numbers of the latest failures, by address
	last     uint64            // number of the last failure
}

// Order returns the addresses in the order in which to call them: the best one, those
// without a failure, then the others, the oldest failure first. It forgets the failures
// of all other nodes.
func (r *Recall) Order(addresses []string) []string {
	ordered := slices.Clone(addresses)
	if r.best != "" && !slices.Contains(ordered, r.best) {
		ordered = append(ordered, r.best)
	}
	for address := range r.failures {
		if !slices.Contains(ordered, address) {
			delete(r.failures, address)
		}
	}
	slices.SortStableFunc(ordered, func(a, b string) int {
		switch {
		case a == r.best && b != r.best:
			return -1
		case b == r.best && a != r.best:
			return 1
		default:
			return int(r.failures[a]) - int(r.failures[b])
		}
	})
	return ordered
}

// Best returns the node to call first, empty if none is known.
func (r *Recall) Best() string {
	return r.best
}

// Succeeded records that the node has the answer, or is said to.
func (r *Recall) Succeeded(address string) {
	r.best = address
	delete(r.failures, address)
}

// Answered records that the node replied with a fault.
func (r *Recall) Answered(address string) {
	delete(r.failures, address)
}

// Failed records that the node did not reply.
func (r *Recall) Failed(address string) {
	if r.failures == nil {
		r.failures = make(map[string]uint64)
	}
	r.last++
	r.failures[address] = r.last
	if r.best == address {
		r.best = ""
	}
}

// Record records the outcome of a call, for Sweep.
func (r *Recall) Record(address string, err error) {
	switch {
	case err == nil:
		r.Succeeded(address)
	case Answered(err):
		r.Answered(address)
	default:
		r.Failed(address)
	}
}
