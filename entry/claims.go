package entry

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/wire"
)

// busyPause is how long a resend waits before it asks again for the answer of
// the dispatch that is under way.
const busyPause = 50 * sardine.Millis(1)

// claims claims idempotency keys at the control quorum before their requests
// are dispatched.
type claims struct {
	node    *Node
	control *ctlapi.Client
}

// begin claims the request's key. first tells the caller to dispatch it and to
// call end; otherwise kept is the answer that the first request got.
func (c *claims) begin(ctx context.Context, q *request) (kept state.Answer, first bool, err error) {
	claim := state.ClaimKey{
		Workspace:   q.workspace,
		Key:         q.key,
		Fingerprint: q.fingerprint,
		Node:        c.node.id,
		Incarnation: c.node.incarnation,
	}
	for {
		result, err := c.submit(ctx, claim)
		if err != nil {
			return state.Answer{}, false, err
		}
		switch state.ClaimVerdict(result.Verdict) {
		case state.ClaimGranted:
			return state.Answer{}, true, nil
		case state.ClaimAnswered:
			return state.AnswerFromWire(result.Answer), false, nil
		case state.ClaimLost:
			return state.Answer{}, false, codes.New(codes.OutcomeUnknown, "an earlier request with this key may have run, its answer is lost")
		case state.ClaimReused:
			return state.Answer{}, false, codes.New(codes.KeyReused, "the key was used with another request")
		case state.ClaimExpired:
			return state.Answer{}, false, codes.New(codes.KeyExpired, "the key is past its retention")
		default:
			if err := c.node.sleep(ctx, busyPause); err != nil {
				return state.Answer{}, false, err
			}
		}
	}
}

// end records the outcome of a claimed request. It goes on after its caller has
// left, so that a resend learns the outcome.
func (c *claims) end(q *request, ran sardine.Ran, a state.Answer) {
	ctx, cancel := context.WithTimeout(c.node.life, c.node.timing.Submit.Duration())
	defer cancel()
	command := state.Command(state.FinishClaim{
		Workspace:   q.workspace,
		Key:         q.key,
		Node:        c.node.id,
		Incarnation: c.node.incarnation,
		Ran:         ran,
		Answer:      a,
	})
	if ran == sardine.RanNo {
		command = state.DropClaim{Workspace: q.workspace, Key: q.key, Node: c.node.id, Incarnation: c.node.incarnation}
	}
	if _, err := c.submit(ctx, command); err != nil {
		event.Log(c.node.log, event.RequestFailed, requestAttr(q.id), codeAttr(err))
	}
}

// submit proposes a command until its outcome is known or ctx ends. All commands
// of an entry node may be proposed twice.
func (c *claims) submit(ctx context.Context, command state.Command) (*wire.SubmitReply, error) {
	for {
		answer, err := c.control.Submit(ctx, &wire.SubmitRequest{Command: state.ToWire(0, command)})
		if err == nil || !codes.Is(err, codes.OutcomeUnknown) {
			return answer, err
		}
		if waited := c.node.sleep(ctx, busyPause); waited != nil {
			return nil, err
		}
	}
}
