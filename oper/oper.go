// Package oper is what operators ask of control nodes besides settings and
// members: a target that shall leave, a poison request to release, tokens. It
// holds the HTTP handler and the codec that sardctl shares.
package oper

import (
	"context"
	"encoding/hex"
	"encoding/json"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// The paths, below a control node's operators' address.
const (
	LeavePath  = "/sardine/v1/leave"          // POST ?vm=VM
	PoisonPath = "/sardine/v1/poison/release" // POST ?fingerprint=HEX
	TokensPath = "/sardine/v1/tokens"         // GET, POST a token, DELETE ?hash=HEX
)

// maxBody bounds a request's JSON text, bytes.
const maxBody = 16 << 10

// hashBytes is the length of a token's hash.
const hashBytes = 32

// Backend is the control node behind the handler.
type Backend interface {
	// Authorise returns codes.KeyRefused or codes.ScopeRefused unless the token
	// covers the team; an empty team asks for an operator's token.
	Authorise(ctx context.Context, token string, t sardine.Team) error
	// Open reports whether the site has no token yet, so that everyone is an
	// operator.
	Open() bool
	// Propose returns once the command is committed and applied;
	// codes.NotLeader if this node does not lead.
	Propose(c state.Command) error
	// View shows the replicated state, which f must not keep.
	View(f func(m *state.Machine))
}

type tokenMessage struct {
	Hash    string `json:"hash"`
	Scope   string `json:"scope"`
	Name    string `json:"name"`
	Expires int64  `json:"expires_ms"` // since 1970, 0 never
}

type faultMessage struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Detail string `json:"detail"`
}

// EncodeToken returns the JSON form of a token, which holds its hash only.
func EncodeToken(t state.Token) ([]byte, error) {
	return json.Marshal(tokenToMessage(t))
}

// DecodeToken reads the JSON form of a token. Errors carry codes.BadRequest.
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

// DecodeTokens reads the JSON form of a list of tokens. Errors carry
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

// DecodeFault reads the error of an answer; a body of another form is
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
