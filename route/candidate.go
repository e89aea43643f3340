// Package route picks the target of a request by its expected time to first
// token. Router does no I/O and reads no clock: the caller passes the time,
// the replicated state and feedback from dispatches, and calls it from one
// goroutine.
package route

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	sardine "sardineswitch.dev/sardine"
)

// Ref identifies a target to route to: a group's epoch, or a plain target's
// incarnation. A re-formed group or a restarted VM is another target, because
// its cache and its queue are lost.
type Ref struct {
	Group       sardine.GroupID // engines only
	Epoch       sardine.Epoch   // engines only
	VM          sardine.VMID    // plain services only
	Incarnation sardine.Incarnation
}

// hash returns a number that is the same on every entry node. It leaves out the
// epoch, so that a re-formed group keeps its place in the rendezvous order.
func (r Ref) hash() uint64 {
	return xxhash.Sum64String(string(r.Group) + "\x00" + string(r.VM))
}

// String returns the form used in debug output.
func (r Ref) String() string {
	if r.Group != "" {
		return string(r.Group) + "@" + strconv.FormatUint(uint64(r.Epoch), 10)
	}
	return string(r.VM) + "@" + strconv.FormatUint(uint64(r.Incarnation), 10)
}

// Candidate is a target that may receive requests of a service.
type Candidate struct {
	Ref
	Service sardine.ServiceName
	Kind    sardine.TargetKind
	Model   sardine.ModelName // engines only
	Version string            // engines only
	Address string            // host:port, of rank 0 for a group
	Head    sardine.VMID      // VM that serves Address
	// HeadIncarnation is the incarnation of the process that serves Address.
	HeadIncarnation sardine.Incarnation
	DataCentre      sardine.DataCentre
	Leaving         bool           // draining, gets no new requests
	LeaseUntil      sardine.Millis // gets no new requests from then on, 0 is no end
}

// Request is what Pick uses of a request.
type Request struct {
	Service      sardine.ServiceName
	Workspace    sardine.Workspace
	Priority     sardine.Priority
	Model        sardine.ModelName // "" accepts any
	Version      string            // "" accepts any
	PrefixHashes []uint64          // hash of the prompt's first 1, 2, 3... blocks of BlockTokens
	Conversation uint64            // hash of the messages up to and including the first user message, 0 is none
	FollowUp     bool              // the conversation already has answers
	PromptTokens int               // estimate, 0 for plain services
	Deadline     sardine.Millis    // for the first token, 0 is none
	Exclude      []Ref             // targets already tried
	Avoid        []sardine.GroupID // groups that failed while running it
	Prefer       sardine.GroupID   // group that already runs a copy of it, "" is none
}

// Choice is a picked target. Pass it back to Started, FirstToken and Ended.
type Choice struct {
	Candidate      Candidate
	Expected       sardine.Millis // expected time to first token
	TargetRequests float64        // number of requests estimated at the target, without this one
	ReportAge      sardine.Millis // age of the load report behind the estimate
	Hinted         bool           // the target probably caches a part of the prefix
	Saturated      bool           // requests have been waiting at the service's engines for longer than a burst

	target       *target
	request      Request
	rank         int     // position in the prefix's rendezvous order, noRank outside of it
	uncached     float64 // expected tokens to prefill
	hintedBlocks int     // prompt blocks that the target probably caches
	startedAt    sardine.Millis
	started      bool
	firstToken   bool
}

// CacheEvent is an engine's report of changes in its prefix cache. It may
// arrive late and be incomplete.
type CacheEvent struct {
	Target  Ref
	Stored  []uint64 // prefix hashes now in the cache
	Evicted []uint64 // prefix hashes dropped
	Cleared bool     // the whole cache was dropped
}
