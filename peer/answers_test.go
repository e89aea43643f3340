package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/wire"
)

// recorder is a member whose core answers every message with answer, if that is set.
type recorder struct {
	id     sardine.NodeID
	link   *Link
	answer quorum.Kind
	delay  time.Duration

	mu       sync.Mutex
	received []quorum.Message
	calls    int
}

// Deliver records the messages and answers them.
func (r *recorder) Deliver(batch []quorum.Message) {
	r.mu.Lock()
	r.received = append(r.received, batch...)
	r.mu.Unlock()
	if r.answer == 0 {
		return
	}
	go func() {
		time.Sleep(r.delay)
		for _, m := range batch {
			r.link.Send(m.From, []quorum.Message{{Kind: r.answer, From: r.id, To: m.From, Round: m.Round}})
		}
	}()
}

func (r *recorder) messages() []quorum.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]quorum.Message(nil), r.received...)
}

// serve starts the member's server, which counts the calls.
func (r *recorder) serve(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r.link = NewLink("site", r.id, l.Addr().String())
	prefix, h := NewServer("site", r, r.link).Handler()
	mux := http.NewServeMux()
	mux.HandleFunc(prefix, func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		r.calls++
		r.mu.Unlock()
		h.ServeHTTP(w, q)
	})
	s := &http.Server{Handler: mux, Protocols: Protocols()}
	go s.Serve(l) //nolint:errcheck // ends with Close
	t.Cleanup(func() {
		require.NoError(t, r.link.Close())
		require.NoError(t, s.Close())
	})
}

func startPair(t *testing.T, answer quorum.Kind, delay time.Duration) (asks, answers *recorder) {
	asks, answers = &recorder{id: "c1"}, &recorder{id: "c2", answer: answer, delay: delay}
	asks.serve(t)
	answers.serve(t)
	members := []quorum.Member{{Node: "c1", Address: asks.link.address}, {Node: "c2", Address: answers.link.address}}
	asks.link.SetMembers(members)
	answers.link.SetMembers(members)
	return asks, answers
}

// TestAnswersUseTheCallThatAsked guards against a call of its own for each answer, which
// doubles what a quorum round costs the leader.
func TestAnswersUseTheCallThatAsked(t *testing.T) {
	asks, answers := startPair(t, quorum.HeartbeatReply, 0)
	for round := range uint64(100) {
		asks.link.Send("c2", []quorum.Message{{Kind: quorum.Heartbeat, To: "c2", Round: round + 1}})
		require.Eventually(t, func() bool { return len(asks.messages()) == int(round)+1 }, 5*time.Second, time.Millisecond)
	}
	for i, m := range asks.messages() {
		require.Equal(t, quorum.Message{Kind: quorum.HeartbeatReply, From: "c2", To: "c1", Round: uint64(i) + 1}, m)
	}
	require.Zero(t, asks.calls)
	require.Equal(t, 100, answers.calls)
}

// TestLateAnswersArriveByACall checks that an answer which takes longer than the call
// waits, as during a slow sync, is not lost.
func TestLateAnswersArriveByACall(t *testing.T) {
	asks, _ := startPair(t, quorum.AppendReply, 4*answerWait.Duration())
	asks.link.Send("c2", []quorum.Message{{Kind: quorum.Append, To: "c2"}})
	require.Eventually(t, func() bool { return len(asks.messages()) == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, 1, asks.calls)
}

// TestOldMembersGetAnswersByCalls checks a member of an earlier release, which ignores
// messages in an ack.
func TestOldMembersGetAnswersByCalls(t *testing.T) {
	asks, answers := startPair(t, quorum.HeartbeatReply, 0)
	old := wire.NewPeerProtobufClient("http://"+answers.link.address, &http.Client{Transport: NewTransport()})
	ack, err := old.Deliver(context.Background(), &wire.PeerBatch{Site: "site", From: "c1", Messages: []*wire.PeerMessage{
		messageToWire(quorum.Message{Kind: quorum.Heartbeat, To: "c2", Round: 7}),
	}})
	require.NoError(t, err)
	require.Empty(t, ack.GetMessages())
	require.Eventually(t, func() bool { return len(asks.messages()) == 1 }, 5*time.Second, time.Millisecond)
}
