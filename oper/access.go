package oper

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/state"
)

// Tokens are those that a node knows, by their hashes. They are never changed once
// they are shared.
type Tokens map[string]state.Token

// TokensOf returns the tokens of the replicated state.
func TokensOf(m *state.Machine) Tokens {
	known := make(Tokens)
	for _, t := range m.Tokens() {
		known[string(t.Hash)] = t
	}
	return known
}

// Access decides who may do what at one node. It is safe for concurrent use.
type Access struct {
	first    []byte // hash of the first operator's token, from the settings
	clock    sardine.Clock
	log      *slog.Logger
	throttle *keys.Throttle
}

// NewAccess returns the access to a node whose settings name the hash of the
// first operator's token, or an empty one.
func NewAccess(first []byte, c sardine.Clock, l *slog.Logger) *Access {
	return &Access{first: first, clock: c, log: l, throttle: keys.NewThrottle()}
}

// Need tells whether a token's scope is enough for what is asked.
type Need func(keys.Scope) bool

// NeedScope needs a token that covers the scope.
func NeedScope(wanted keys.Scope) Need {
	return func(s keys.Scope) bool { return s.Covers(wanted) }
}

// NeedOperator needs an operator's token.
func NeedOperator() Need {
	return NeedScope(keys.OperatorScope())
}

// NeedReader needs a token that may see how the site fares.
func NeedReader() Need {
	return keys.Scope.Reads
}

// Check returns codes.KeyRefused or codes.ScopeRefused unless the token covers
// what is needed, and codes.KeysTried once its source has shown too many that do
// not. As long as a site has no tokens at all, everyone is an operator.
//
// A right token counts also from a source that has shown wrong ones: behind a
// balancer or on a shared machine, one program with an old token must not shut
// the others out, and no guessing finds one of 2^256 tokens.
func (a *Access) Check(token, source string, needed Need, known Tokens) error {
	sum := sha256.Sum256([]byte(token))
	if len(a.first) > 0 && subtle.ConstantTimeCompare(sum[:], a.first) == 1 {
		return nil
	}
	if a.Open(known) {
		return nil
	}
	found, is := known[string(sum[:])]
	if !is || (found.Expires != 0 && found.Expires <= state.WallTime(time.Now().UnixMilli())) {
		return a.Refuse(source, codes.New(codes.KeyRefused, "the token is missing, unknown or expired"))
	}
	scope, err := keys.ParseScope(found.Scope)
	if err == nil && needed(scope) {
		return nil
	}
	return a.Refuse(source, codes.New(codes.ScopeRefused, "the token %q covers %s", found.Name, found.Scope))
}

// Open reports whether the site takes anyone, since it has no token.
func (a *Access) Open(known Tokens) bool {
	return len(a.first) == 0 && len(known) == 0
}

// Refuse counts and logs a refused token and returns its error. From a source
// that has shown too many, it is neither logged nor told more.
func (a *Access) Refuse(source string, refusal error) error {
	now := a.clock.Now()
	blocked := a.throttle.Blocked(now, source)
	a.throttle.Refused(now, source)
	if blocked {
		return codes.New(codes.KeysTried, "too many refused tokens came from this address")
	}
	event.Log(a.log, event.KeyRefused,
		slog.String("source", source), slog.Int("code", int(codes.Of(refusal))), slog.String("reason", refusal.Error()))
	return refusal
}

// Guard passes requests on whose token is enough, and gives the refusal of others
// to refuse. Tokens returns those that count now.
func (a *Access) Guard(needed Need, tokens func() Tokens, refuse func(http.ResponseWriter, error), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := a.Check(Bearer(r), SourceOf(r), needed, tokens()); err != nil {
			refuse(w, err)
			return
		}
		next(w, r)
	}
}

// Bearer returns the token of a request, empty without one.
func Bearer(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// SourceOf returns the IP number that a request came from.
func SourceOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

type sourceKey struct{}

// WithSource lets handlers below it find the request's source in its context, as
// RPC handlers have no request.
func WithSource(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), sourceKey{}, SourceOf(r))))
	})
}

// Source returns what WithSource has noted, empty without it.
func Source(ctx context.Context) string {
	source, _ := ctx.Value(sourceKey{}).(string)
	return source
}
