package place

// Ranks of requests at an engine, which takes lower ones first.
const (
	RankPrompt  = 3 // can still begin in time
	RankResumed = 5 // goes on after a break
	RankLate    = 7 // begins late anyhow: served when nothing else waits
)

// Parts of an engine's batch that may wait before it.
const (
	// promptShare is how many may wait so that the last of them still begins
	// within usual objectives: a batch turns over in about a second.
	promptShare = 0.2
	// waitingShare is how many may wait at all. Engines take a little more.
	waitingShare = 1.5
)

// Request is one that looks for a place at an engine.
type Request struct {
	Requests float64 // at the engine, without this one
	Slots    int     // of the engine's batch
	Late     bool    // its objective is over
	Resumed  bool    // it goes on after a break
}

// Rank returns the request's rank at the engine, and whether it may go there at all.
func Rank(q Request) (rank int, ok bool) {
	slots := float64(q.Slots)
	ok = q.Requests < slots*(1+waitingShare)
	switch {
	case q.Resumed:
		return RankResumed, ok
	case q.Late || q.Requests >= slots*(1+promptShare):
		return RankLate, ok
	default:
		return RankPrompt, ok
	}
}
