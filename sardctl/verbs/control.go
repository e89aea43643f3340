package verbs

import (
	"time"

	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/wire"
)

// roundPause is the time between two looks at a node that is waited for.
const roundPause = 200 * time.Millisecond

// control calls the leading control node at its operators' address.
type control struct {
	call   *Call
	client *ctlapi.Client
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
	http, scheme, err := c.session.client()
	if err != nil {
		return nil, err
	}
	client := ctlapi.New(nodes, ctlapi.WithHTTP(http, scheme), ctlapi.WithKnownOnly(), ctlapi.WithBrief(c.brief()))
	return &control{call: c, client: client, token: token}, nil
}

// settings sends a settings request. A change carries its change id, so that a
// resend after a lost answer is answered as the first one was.
func (k *control) settings(r *wire.SettingsRequest) (*wire.SettingsReply, error) {
	r.Token = k.token
	ctx, cancel := k.call.limited()
	defer cancel()
	defer k.client.Close()
	return k.client.Settings(ctx, r)
}

// members sends a membership request.
func (k *control) members(r *wire.MembersRequest) (*wire.MembersReply, error) {
	r.Token = k.token
	ctx, cancel := k.call.limited()
	defer cancel()
	defer k.client.Close()
	return k.client.Members(ctx, r)
}
