// Package oper serves operators' requests to control nodes, apart from settings and
// membership changes: marking a target as leaving, releasing a poison request and
// managing tokens. It holds the HTTP handler, the JSON codec that sardctl also uses
// and the check of tokens.
package oper

import (
	"context"
	"encoding/hex"
	"encoding/json"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// Paths at a control node's address for operators.
const (
	LeavePath  = "/sardine/v1/leave"          // POST ?vm=VM
	PoisonPath = "/sardine/v1/poison/release" // POST ?fingerprint=HEX
	TokensPath = "/sardine/v1/tokens"         // GET, POST a token, DELETE ?hash=HEX
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 10

// hashBytes is the length of a token's hash (SHA-256).
const hashBytes = 32

// Backend is the control node behind the handler.
type Backend interface {
	// Authorise returns codes.KeyRefused or codes.ScopeRefused unless the token
	// covers the team; an empty team requires an operator's token.
	Authorise(ctx context.Context, token string, t sardine.Team) error
	// Open reports whether the site has no token yet, so that everyone is an
	// operator.
	Open() bool
	// Propose returns once the command is committed and applied;
	// codes.NotLeader if this node does not lead.
	Propose(c state.Command) error
	// View calls f with the replicated state, which f must not retain.
	View(f func(m *state.Machine))
}

type tokenMessage struct {
	Hash    string `json:"hash"`
	Scope   string `json:"scope"`
	Name    string `json:"name"`
	Expires int64  `json:"expires_ms"` // since the Unix epoch, 0 for never
}

type faultMessage struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Detail string `json:"detail"`
}

// EncodeToken returns the JSON form of a token, which contains only its hash.
func EncodeToken(t state.Token) ([]byte, error) {
	return json.Marshal(tokenToMessage(t))
}

// DecodeToken decodes the JSON form of a token. Errors carry codes.BadRequest.
func DecodeToken(text []byte) (state.Token, error) {
	var m tokenMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return state.Token{}, codes.Wrap(codes.BadRequest, err, "token")
	}
	return m.token()
}

// EncodeTokens returns the JSON form of a list of tokens.
func EncodeTokens(all []state.Token) ([]byte, error) {
	list := make([]tokenMessage, 0, len(all))
	for _, t := range all {
		list = append(list, tokenToMessage(t))
	}
	return json.MarshalIndent(list, "", "  ")
}

// DecodeTokens decodes the JSON form of a list of tokens. Errors carry
// codes.AnswerInvalid.
func DecodeTokens(text []byte) ([]state.Token, error) {
	var list []tokenMessage
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, codes.Wrap(codes.AnswerInvalid, err, "tokens")
	}
	var all []state.Token
	for _, m := range list {
		t, err := m.token()
		if err != nil {
			return nil, err
		}
		all = append(all, t)
	}
	return all, nil
}

// DecodeFault decodes the error in a response body. A body of another form gives
// codes.AnswerInvalid.
func DecodeFault(text []byte) error {
	var m faultMessage
	if err := json.Unmarshal(text, &m); err != nil || m.Code == 0 {
		return codes.New(codes.AnswerInvalid, "%.200s", text)
	}
	return codes.New(codes.Code(m.Code), "%s", m.Detail)
}

func tokenToMessage(t state.Token) tokenMessage {
	return tokenMessage{Hash: hex.EncodeToString(t.Hash), Scope: t.Scope, Name: t.Name, Expires: int64(t.Expires)}
}

func (m tokenMessage) token() (state.Token, error) {
	hash, err := hex.DecodeString(m.Hash)
	if err != nil || len(hash) != hashBytes {
		return state.Token{}, codes.New(codes.BadRequest, "token: hash: expected %d bytes in hexadecimal", hashBytes)
	}
	if m.Name == "" || m.Scope == "" || m.Expires < 0 {
		return state.Token{}, codes.New(codes.BadRequest, "token: expected a name, a scope and an expiry of 0 or more")
	}
	return state.Token{Hash: hash, Scope: m.Scope, Name: m.Name, Expires: state.WallTime(m.Expires)}, nil
}
