package follow

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/state"
)

// leadingServer returns a server that leads and has one joined entry node, e1.
func leadingServer() *Server {
	ledger := lease.New()
	ledger.Lead(0, 1, 0, []state.JoinEntry{{Node: "e1", Incarnation: 1}})
	s := NewServer(ledger)
	s.Lead(1)
	return s
}

// poll passes a held poll to the server and returns its confirmation's ids.
func (s *Server) poll(t *testing.T, now sardine.Millis, id uint64) []uint64 {
	s.HandleRequest(now, id, Request{From: NodeRef{Node: "e1", Incarnation: 1}, Sequence: id, Have: s.cache.through, Hold: DefaultPollHold})
	ids := s.TakeUnconfirmed(now)
	require.Equal(t, []uint64{id}, ids)
	return ids
}

// Guards against a reply that confirms a state as current as of an instant before which a
// change was accepted that the reply lacks: the change is in the log and not yet among
// the updates, as on a control node with much to do.
func TestReplyConfirmsOnlyWhatItsUpdatesHold(t *testing.T) {
	s := leadingServer()
	s.ConfirmPolls(2, Confirmation{At: 1, Index: 0}, s.poll(t, 0, 1))
	s.ConfirmPolls(595, Confirmation{At: 590, Index: 1}, s.poll(t, 590, 2)) // entry 1 was accepted before
	s.Tick(DefaultPollHold)
	replies := s.TakeReplies()
	require.Len(t, replies, 1, "the second poll waits for entry 1")
	require.Empty(t, replies[0].Reply.Updates)
	require.EqualValues(t, 1, replies[0].Reply.ConfirmedOffset)
	s.Applied(1, 0, state.PutLayout{Number: 1})
	s.Tick(DefaultPollHold + 1)
	replies = s.TakeReplies()
	require.Len(t, replies, 1)
	require.Len(t, replies[0].Reply.Updates, 1)
	require.Zero(t, replies[0].Reply.ConfirmedOffset)
}

// Guards against a reply that counts a leader's word from the reply: a leader that was
// replaced while it held the poll learns of that only by the next quorum round.
func TestReplyConfirmsOnlyAsOfTheLastRound(t *testing.T) {
	s := leadingServer()
	s.ConfirmPolls(2, Confirmation{At: 1, Index: 0}, s.poll(t, 0, 1))
	require.Empty(t, s.TakeUnconfirmed(500))
	require.LessOrEqual(t, s.Wake(), DefaultPollHold-refreshLead)
	require.Equal(t, []uint64{1}, s.TakeUnconfirmed(DefaultPollHold-refreshLead), "a round shortly before the reply")
	s.Tick(DefaultPollHold)
	require.Empty(t, s.TakeReplies(), "the round has not ended")
	s.Tick(s.Wake())
	require.EqualValues(t, 1, s.TakeReplies()[0].Reply.ConfirmedOffset, "the round takes too long")

	s.ConfirmPolls(1002, Confirmation{At: 1001, Index: 0}, s.poll(t, 1000, 2))
	s.ConfirmPolls(1685, Confirmation{At: 1680, Index: 0}, s.TakeUnconfirmed(1680))
	s.Tick(1000 + DefaultPollHold)
	require.EqualValues(t, 680, s.TakeReplies()[0].Reply.ConfirmedOffset)
}

// A poll gets no round of its own if another one's was recent.
func TestPollsShareRecentRounds(t *testing.T) {
	s := leadingServer()
	s.ConfirmPolls(2, Confirmation{At: 1, Index: 0}, s.poll(t, 0, 1))
	s.ConfirmPolls(666, Confirmation{At: 660, Index: 0}, s.poll(t, 660, 2))
	require.Empty(t, s.TakeUnconfirmed(DefaultPollHold-refreshLead+1))
	require.Equal(t, DefaultPollHold, s.Wake())
}

// TestRoundsAreBoundedUnderManyPolls guards against a quorum round for each poll, which
// on a leader with many followers costs more than the polls themselves.
func TestRoundsAreBoundedUnderManyPolls(t *testing.T) {
	s := leadingServer()
	const length = sardine.Second
	rounds, confirmed := 0, 0
	for now := sardine.Millis(0); now < length; now++ {
		s.HandleRequest(now, uint64(now)+1, Request{From: NodeRef{Node: "e1", Incarnation: 1}, Sequence: uint64(now) + 1})
		require.GreaterOrEqual(t, s.Wake(), now)
		if ids := s.TakeUnconfirmed(now); len(ids) > 0 {
			rounds++
			s.ConfirmPolls(now, Confirmation{At: now}, ids)
		}
		s.Tick(now)
		confirmed += len(s.TakeReplies())
	}
	require.LessOrEqual(t, rounds, int(length/RoundInterval))
	require.GreaterOrEqual(t, confirmed, int(length-RoundInterval))
	require.Equal(t, length-length%RoundInterval, s.Wake(), "the last polls wait for the next round alone")
}
