package place

// Ranks of requests at an engine, which serves lower ones first.
const (
	RankProbe   = 0 // others wait until it has begun
	RankOnTime  = 3 // can still start in time
	RankResumed = 5 // continues after an interruption
	RankLate    = 7 // starts late in any case: served when nothing else waits
)

// Shares of an engine's batch up to which requests are accepted.
const (
	// onTimeShare is for requests that can still start in time: a batch turns
	// over in about a second.
	onTimeShare = 1.2
	// burstShare is for all requests while the engines are not saturated.
	// Engines accept a little more.
	burstShare = 2.5
	// lateShare and resumedShare are for late requests and for those whose
	// callers already have a part of the answer, once the engines are
	// saturated. A queue of such requests does not drain by itself and only
	// makes all later requests late.
	lateShare    = 1.0
	resumedShare = 1.5
)

// Request describes a request that is about to be sent to an engine.
type Request struct {
	TargetRequests float64 // at the engine, without this one
	Slots          int     // of the engine's batch
	Saturated      bool    // requests have been waiting at the engines for longer than a burst
	Probe          bool    // other requests wait for its outcome
	Late           bool    // its objective has passed
	Resumed        bool    // it continues after an interruption
	Bound          float64 // share of a batch up to which fresh requests are accepted, see BatchLimiter; 0 is no limit
}

// Rank returns the request's rank at the engine, and whether it may be sent
// there at all.
func Rank(q Request) (rank int, ok bool) {
	utilization := q.TargetRequests / float64(q.Slots)
	switch {
	case q.Probe:
		return RankProbe, utilization < burstShare
	case !q.Resumed && q.Bound > 0 && q.Bound < onTimeShare && utilization >= q.Bound:
		return RankLate, false
	case q.Resumed:
		return RankResumed, utilization < q.maxShare(resumedShare)
	case q.Late:
		return RankLate, utilization < q.maxShare(lateShare)
	case utilization >= onTimeShare:
		return RankLate, utilization < q.maxShare(onTimeShare)
	default:
		return RankOnTime, utilization < q.maxShare(onTimeShare)
	}
}

// maxShare returns the share of a batch up to which the request is accepted.
func (q Request) maxShare(whenSaturated float64) float64 {
	if q.Saturated {
		return whenSaturated
	}
	return burstShare
}
