package spread

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// kind tells what a message is.
type kind uint8

const (
	kindVote     kind = iota + 1 // a candidate asks for a vote
	kindVoted                    // and gets it
	kindAppend                   // the leader replicates up to Index, commits up to Commit
	kindAppended                 // a control node holds the entries up to Index
	kindRound                    // the leader asks whether it still leads
	kindRounded                  // and hears that it does
	kindFollow                   // an entry node's poll
	kindFollowed                 // its answer
	kindGone                     // an entry node gave up a poll
	kindSubmit                   // a command for the log
	kindChange                   // an operator's change of settings
	kindRead                     // an operator reads the current version
	kindResult                   // the answer to a command, a change or a read
)

// Message is what the nodes of the simulation exchange.
type Message struct {
	Kind    kind
	Call    uint64 // number of the caller's request
	Term    uint64
	Index   uint64
	Commit  uint64
	Round   uint64
	Body    []byte // encoded poll or answer
	Command state.Command
	Result  result
}

// result answers a command, a change or a read.
type result struct {
	Code    codes.Code
	Version sardine.Version
	Change  string         // change id of Version, for reads and lost races
	Leader  sardine.NodeID // of codes.NotLeader
}
