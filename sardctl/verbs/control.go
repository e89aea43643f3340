package verbs

import (
	"context"
	"net/http"
	"time"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

const roundPause = 200 * time.Millisecond

// control calls the leading control node. It walks the known control nodes until
// one leads; a call that broke off may have been carried out and is not repeated
// unless it is safe to.
type control struct {
	call   *Call
	nodes  []string
	scheme string
	http   *http.Client
	token  string
}

func (c *Call) control() (*control, error) {
	nodes, err := c.controls()
	if err != nil {
		return nil, err
	}
	token, err := c.session.readToken()
	if err != nil {
		return nil, err
	}
	client, scheme, err := c.session.client()
	if err != nil {
		return nil, err
	}
	return &control{call: c, nodes: nodes, http: client, scheme: scheme, token: token}, nil
}

// repeat tells what may be done about a call whose answer was lost.
type repeat uint8

const (
	repeatRead   repeat = iota + 1 // it changed nothing, so ask again
	repeatChange                   // a resend is recognised, so ask again
	repeatNever                    // it may have been carried out
)

// settings sends a settings request. A change carries its change id, so that a
// resend after a lost answer is answered as the first one was.
func (k *control) settings(r *wire.SettingsRequest) (*wire.SettingsReply, error) {
	r.Token = k.token
	again := repeatRead
	if r.GetChangeId() != "" {
		again = repeatChange
	}
	return walk(k, again, func(ctx context.Context, w wire.Control) (*wire.SettingsReply, *wire.Fault, error) {
		reply, err := w.Settings(ctx, r)
		return reply, reply.GetFault(), err
	})
}

// members sends a membership request.
func (k *control) members(r *wire.MembersRequest) (*wire.MembersReply, error) {
	r.Token = k.token
	again := repeatNever
	if r.GetOperation() == "list" {
		again = repeatRead
	}
	return walk(k, again, func(ctx context.Context, w wire.Control) (*wire.MembersReply, *wire.Fault, error) {
		reply, err := w.Members(ctx, r)
		return reply, reply.GetFault(), err
	})
}

// walk asks one control node after the other until the leader answers or the
// time is up.
func walk[R any](k *control, again repeat, call func(context.Context, wire.Control) (R, *wire.Fault, error)) (R, error) {
	ctx, cancel := k.call.limited()
	defer cancel()
	defer k.http.CloseIdleConnections()
	var last error
	lost := false
	for {
		for _, node := range k.nodes {
			reply, fault, err := callOne(ctx, k, node, again, call)
			if err == nil && !codes.Is(faultError(fault), codes.NotLeader) {
				return reply, faultError(fault)
			}
			if err != nil && !neverSent(err) {
				lost = again != repeatRead
			}
			switch {
			case err == nil:
				last = faultError(fault)
			case last == nil:
				last = err // that a node was silent tells less than what one said
			}
			if lost && again == repeatNever {
				return reply, gaveUp(k.nodes, lost, last)
			}
		}
		select {
		case <-ctx.Done():
			var none R
			return none, gaveUp(k.nodes, lost, last)
		case <-time.After(roundPause):
		}
	}
}

// callOne asks one node. Reads are answered from memory, so that one that hangs is
// left soon; a change may wait until it is in force.
func callOne[R any](ctx context.Context, k *control, node string, again repeat, call func(context.Context, wire.Control) (R, *wire.Fault, error)) (R, *wire.Fault, error) {
	if again == repeatRead {
		brief, cancel := context.WithTimeout(ctx, k.call.brief())
		defer cancel()
		ctx = brief
	}
	return call(ctx, wire.NewControlProtobufClient(k.scheme+"://"+node, k.http))
}

func gaveUp(nodes []string, lost bool, last error) error {
	if lost {
		return codes.New(codes.OutcomeUnknown, "no answer from the control nodes %v: %v", nodes, last)
	}
	return codes.New(codes.NoQuorum, "no control node of %v leads: %v", nodes, last)
}

func faultError(f *wire.Fault) error {
	if f.GetCode() == 0 {
		return nil
	}
	return codes.New(codes.Code(f.GetCode()), "%s", f.GetDetail())
}
