package oper

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// node is a Backend that applies commands directly, without a log.
type node struct {
	machine *state.Machine
	leader  bool
	open    bool // accepts any token
}

func (n *node) Authorise(_ context.Context, token string, _ sardine.Team) error {
	if !n.open && token != "right" {
		return codes.New(codes.KeyRefused, "the token is not known")
	}
	return nil
}

func (n *node) Open() bool {
	return n.open && len(n.machine.Tokens()) == 0
}

func (n *node) Propose(c state.Command) error {
	if !n.leader {
		return codes.New(codes.NotLeader, "this control node does not lead")
	}
	return n.machine.Apply(n.machine.Index()+1, 1, c).Err
}

func (n *node) View(f func(m *state.Machine)) {
	f(n.machine)
}

func call(t *testing.T, n *node, method, path, token, body string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	Handler(n).ServeHTTP(w, r)
	text, err := io.ReadAll(w.Result().Body)
	require.NoError(t, err)
	return w.Code, string(text)
}

func TestOperations(t *testing.T) {
	n := &node{machine: state.NewMachine(), leader: true}
	require.NoError(t, n.Propose(state.TargetUp{Target: state.Target{VM: "vm-1", Incarnation: 2, Kind: sardine.KindEngine}}))
	require.NoError(t, n.Propose(state.Strike{Fingerprint: []byte{0xab}, Failure: state.TargetFailure{Group: "g"}}))

	for _, c := range []struct {
		method, path string
		code         codes.Code
	}{
		{http.MethodPost, LeavePath + "?vm=none", codes.UnknownMember},
		{http.MethodPost, LeavePath + "?vm=vm-1", codes.OK},
		{http.MethodPost, PoisonPath + "?fingerprint=xy", codes.BadRequest},
		{http.MethodPost, PoisonPath + "?fingerprint=cd", codes.UnknownMember},
		{http.MethodPost, PoisonPath + "?fingerprint=ab", codes.OK},
		{http.MethodPost, TokensPath, codes.BadRequest},
		{http.MethodDelete, TokensPath + "?hash=ab", codes.BadRequest},
		{http.MethodGet, TokensPath, codes.OK},
	} {
		status, body := call(t, n, c.method, c.path, "right", "{")
		require.Equal(t, c.code.Status(), status, "%s %s: %s", c.method, c.path, body)
		if c.code != codes.OK {
			require.True(t, codes.Is(DecodeFault([]byte(body)), c.code), body)
		}
		refused, _ := call(t, n, c.method, c.path, "wrong", "{")
		require.Equal(t, codes.KeyRefused.Status(), refused)
	}
	target, _ := n.machine.Target("vm-1")
	require.True(t, target.Leaving)
	require.Empty(t, n.machine.Poisons())
}

func TestTokensRoundTrip(t *testing.T) {
	n := &node{machine: state.NewMachine(), leader: true}
	token := state.Token{Hash: bytes.Repeat([]byte{7}, hashBytes), Scope: "operator", Name: "ama", Expires: 99}
	text, err := EncodeToken(token)
	require.NoError(t, err)
	status, _ := call(t, n, http.MethodPost, TokensPath, "right", string(text))
	require.Equal(t, http.StatusOK, status)
	_, body := call(t, n, http.MethodGet, TokensPath, "right", "")
	all, err := DecodeTokens([]byte(body))
	require.NoError(t, err)
	require.Equal(t, []state.Token{token}, all)
	n.leader = false
	status, body = call(t, n, http.MethodDelete, TokensPath+"?hash="+strings.Repeat("07", hashBytes), "right", "")
	require.Equal(t, codes.NotLeader.Status(), status)
	require.True(t, codes.Is(DecodeFault([]byte(body)), codes.NotLeader))
	n.leader = true
	_, _ = call(t, n, http.MethodDelete, TokensPath+"?hash="+strings.Repeat("07", hashBytes), "right", "")
	require.Empty(t, n.machine.Tokens())
}

// TestNoLockOut guards against a site without a usable operator's token: a first
// token of another scope is refused, and so is the revocation of the last operator's
// token by its holder.
func TestNoLockOut(t *testing.T) {
	n := &node{machine: state.NewMachine(), leader: true, open: true}
	put := func(secret, scope, bearer string) int {
		hash := sha256.Sum256([]byte(secret))
		text, err := EncodeToken(state.Token{Hash: hash[:], Scope: scope, Name: secret})
		require.NoError(t, err)
		status, _ := call(t, n, http.MethodPost, TokensPath, bearer, string(text))
		return status
	}
	drop := func(secret, bearer string) int {
		hash := sha256.Sum256([]byte(secret))
		status, _ := call(t, n, http.MethodDelete, TokensPath+"?hash="+hex.EncodeToString(hash[:]), bearer, "")
		return status
	}
	require.Equal(t, codes.ScopeRefused.Status(), put("team", "team:adinkra", ""))
	require.Equal(t, codes.ScopeRefused.Status(), put("team", "team:adinkra", "any token is taken"))
	require.Equal(t, http.StatusOK, put("first", "operator", ""))
	require.Equal(t, http.StatusOK, put("team", "team:adinkra", "first"))
	require.Equal(t, codes.ScopeRefused.Status(), drop("first", "first"))
	require.Equal(t, http.StatusOK, put("second", "operator", "first"))
	require.Equal(t, http.StatusOK, drop("first", "second"))
	require.Equal(t, http.StatusOK, drop("second", "kept in the settings"))
}
