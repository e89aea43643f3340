package place

// Ranks of requests at an engine, which takes lower ones first.
const (
	RankPrompt  = 3 // can still begin in time
	RankResumed = 5 // goes on after a break
	RankLate    = 7 // begins late anyhow: served when nothing else waits
)

// Parts of an engine's batch up to which requests are taken.
const (
	// promptShare is for those that can still begin in time: a batch turns over in about
	// a second.
	promptShare = 1.2
	// burstShare is for all while requests wait for a moment only. Engines take a little
	// more.
	burstShare = 2.5
	// lateShare and resumedShare are for those that are late and for those whose callers
	// have a part of the answer, once requests have been waiting for long. Such a queue
	// does not end by itself: it only makes all that come late.
	lateShare    = 1.0
	resumedShare = 1.5
)

// Request is one that looks for a place at an engine.
type Request struct {
	Requests float64 // at the engine, without this one
	Slots    int     // of the engine's batch
	Standing bool    // requests have been waiting at the engines for long
	Late     bool    // its objective is over
	Resumed  bool    // it goes on after a break
	Bound    float64 // part of the batch up to which fresh requests are taken, by the pace of events; 0 for any
}

// Rank returns the request's rank at the engine, and whether it may go there at all.
func Rank(q Request) (rank int, ok bool) {
	filled := q.Requests / float64(q.Slots)
	switch {
	case !q.Resumed && q.Bound > 0 && q.Bound < promptShare && filled >= q.Bound:
		return RankLate, false
	case q.Resumed:
		return RankResumed, filled < q.most(resumedShare)
	case q.Late:
		return RankLate, filled < q.most(lateShare)
	case filled >= promptShare:
		return RankLate, filled < q.most(promptShare)
	default:
		return RankPrompt, filled < q.most(promptShare)
	}
}

// most returns the part of a batch up to which the request is taken.
func (q Request) most(standing float64) float64 {
	if q.Standing {
		return standing
	}
	return burstShare
}
