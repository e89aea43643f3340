package sardine

// Ran reports whether a target ran a caller's request.
type Ran uint8

// The values of Ran. The zero value is RanUnknown, so that an unset outcome
// makes no claim.
const (
	RanUnknown Ran = iota // a target may have run it
	RanNo                 // no target ran it
	RanYes                // a target ran it
)

// String returns the word used in answers to callers.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Priority orders the requests of one workspace and of different workspaces.
type Priority uint8

// The priority classes, lowest first.
const (
	PriorityBatch  Priority = iota + 1 // drafts, background work
	PriorityNormal                     // chats
	PriorityLive                       // live cues
)

// String returns the word used in the X-Sardine-Priority header.
func (p Priority) String() string {
	switch p {
	case PriorityBatch:
		return "batch"
	case PriorityLive:
		return "live"
	default:
		return "normal"
	}
}

// Rank returns the rank of the priority as targets get it, 0 for the most
// urgent.
func (p Priority) Rank() int {
	return int(PriorityLive) - int(p)
}

// PriorityOfRank returns the priority of a rank. Ranks out of range count as the
// nearest one.
func PriorityOfRank(rank int) Priority {
	return Priority(int(PriorityLive) - min(max(rank, 0), int(PriorityLive-PriorityBatch)))
}
