package spread

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// kind is the type of a message.
type kind uint8

const (
	kindVote        kind = iota + 1 // a candidate requests a vote
	kindVoteReply                   // the vote is granted
	kindAppend                      // the leader has entries up to Index, committed up to Commit
	kindAppendReply                 // a control node holds the entries up to Index
	kindRound                       // the leader starts a quorum round
	kindRoundReply                  // a control node is still in the term of the leader
	kindFollow                      // an entry node's poll
	kindFollowReply                 // the reply to a poll
	kindCancel                      // an entry node cancels a poll
	kindSubmit                      // a command for the log
	kindChange                      // an operator's change of settings
	kindRead                        // an operator reads the current version
	kindResult                      // the reply to a command, a change or a read
)

// Message is a message between simulated nodes.
type Message struct {
	Kind    kind
	Call    uint64 // number of the call at the caller
	Term    uint64
	Index   uint64
	Commit  uint64
	Round   uint64
	Body    []byte // encoded poll or reply
	Command state.Command
	Result  result
}

// result is the reply to a command, a change or a read.
type result struct {
	Code    codes.Code
	Version sardine.Version
	Change  string         // id of the change that made Version, for reads and lost races
	Leader  sardine.NodeID // for codes.NotLeader
}
