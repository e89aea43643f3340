package verbs

import (
	"time"

	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/wire"
)

// pollInterval is the time between two polls of a node whose state is awaited.
const pollInterval = 200 * time.Millisecond

// controlClient calls the leading control node at its operators' address.
type controlClient struct {
	call   *Call
	client *ctlapi.Client
	token  string
}

func (c *Call) control() (*controlClient, error) {
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
	client := ctlapi.New(nodes, ctlapi.WithHTTP(http, scheme), ctlapi.WithKnownOnly(), ctlapi.WithReadTimeout(c.nodeTimeout()))
	return &controlClient{call: c, client: client, token: token}, nil
}

// settings sends a settings request. A change carries its change id, so that a
// resend after a lost reply gets the reply to the first request.
func (k *controlClient) settings(r *wire.SettingsRequest) (*wire.SettingsReply, error) {
	r.Token = k.token
	ctx, cancel := k.call.withTimeout()
	defer cancel()
	defer k.client.Close()
	return k.client.Settings(ctx, r)
}

// members sends a membership request.
func (k *controlClient) members(r *wire.MembersRequest) (*wire.MembersReply, error) {
	r.Token = k.token
	ctx, cancel := k.call.withTimeout()
	defer cancel()
	defer k.client.Close()
	return k.client.Members(ctx, r)
}
