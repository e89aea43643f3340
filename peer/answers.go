package peer

import (
	"context"
	"slices"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
)

// answerWait is how long a call from another member waits for the answers to its
// messages, so that they need no call of their own. It exceeds the sync of a disk that
// is not overloaded.
const answerWait = 20 * sardine.Millis(1)

// expectsAnswer reports whether the receiver of a message answers it.
func expectsAnswer(m quorum.Message) bool {
	return m.Kind == quorum.Heartbeat || m.Kind == quorum.Append || m.Kind == quorum.Install ||
		m.Kind == quorum.PreVote || m.Kind == quorum.Vote
}

// isAnswer reports whether a message answers another one.
func isAnswer(m quorum.Message) bool {
	return m.Kind == quorum.HeartbeatReply || m.Kind == quorum.AppendReply || m.Kind == quorum.InstallReply ||
		m.Kind == quorum.PreVoteReply || m.Kind == quorum.VoteReply
}

// answers holds the calls of other members that wait for answers, one for each member.
type answers struct {
	mu      sync.Mutex
	waiting map[sardine.NodeID]chan []quorum.Message
}

func newAnswers() *answers {
	return &answers{waiting: make(map[sardine.NodeID]chan []quorum.Message)}
}

// expect registers a call from a member. The earlier call, if one is still waiting,
// ends without answers.
func (a *answers) expect(from sardine.NodeID) chan []quorum.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.waiting[from]; old != nil {
		close(old)
	}
	c := make(chan []quorum.Message, 1)
	a.waiting[from] = c
	return c
}

// offer passes messages to the waiting call of their receiver. It returns false if there
// is no such call, or if some of the messages answer nothing.
func (a *answers) offer(to sardine.NodeID, batch []quorum.Message) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.waiting[to]
	if c == nil || slices.ContainsFunc(batch, func(m quorum.Message) bool { return !isAnswer(m) }) {
		return false
	}
	delete(a.waiting, to)
	c <- batch
	return true
}

// wait returns the answers that are offered to a call within answerWait.
func (a *answers) wait(ctx context.Context, clock sardine.Clock, from sardine.NodeID, c chan []quorum.Message) []quorum.Message {
	select {
	case batch := <-c:
		return batch
	case <-clock.After(answerWait):
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting[from] == c {
		delete(a.waiting, from)
	}
	select { // offered after the wait had ended
	case batch := <-c:
		return batch
	default:
		return nil
	}
}
