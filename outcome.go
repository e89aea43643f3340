package sardine

// Ran tells whether a caller's request was run by a target.
type Ran uint8

// The three outcomes. The zero value is RanUnknown, so that an outcome nobody
// set never claims to know.
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

// Priority orders requests of one workspace and between workspaces.
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
