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

// Tokens maps hashes to the tokens that a node accepts. It is not changed once it is
// shared.
type Tokens map[string]state.Token

// TokensOf returns the tokens of the replicated state.
func TokensOf(m *state.Machine) Tokens {
	known := make(Tokens)
	for _, t := range m.Tokens() {
		known[string(t.Hash)] = t
	}
	return known
}

// Authoriser authorizes requests at one node by their tokens. It is safe for concurrent
// use.
type Authoriser struct {
	firstHash []byte // hash of the first operator's token, from the settings
	clock     sardine.Clock
	log       *slog.Logger
	throttle  *keys.Throttle
}

// NewAuthoriser returns the access check of a node. first is the hash of the first
// operator's token as set in the node's settings, empty if not set.
func NewAuthoriser(first []byte, c sardine.Clock, l *slog.Logger) *Authoriser {
	return &Authoriser{firstHash: first, clock: c, log: l, throttle: keys.NewThrottle()}
}

// Requirement reports whether a token's scope is sufficient for a request.
type Requirement func(keys.Scope) bool

// RequireScope requires a token that covers the scope.
func RequireScope(wanted keys.Scope) Requirement {
	return func(s keys.Scope) bool { return s.Covers(wanted) }
}

// RequireOperator requires an operator's token.
func RequireOperator() Requirement {
	return RequireScope(keys.OperatorScope())
}

// RequireReader requires a token that may read the site's status.
func RequireReader() Requirement {
	return keys.Scope.CanReadStatus
}

// Check returns codes.KeyRefused or codes.ScopeRefused unless the token covers
// what is needed, and codes.KeysTried once the source has sent too many rejected
// tokens. As long as a site has no tokens at all, everyone is an operator.
//
// A valid token is accepted even from a source that has sent too many rejected
// ones: behind a load balancer or on a shared machine, one program with an old
// token must not lock out the others, and 2^256 possible tokens can't be guessed.
func (a *Authoriser) Check(token, source string, needed Requirement, known Tokens) error {
	sum := sha256.Sum256([]byte(token))
	if len(a.firstHash) > 0 && subtle.ConstantTimeCompare(sum[:], a.firstHash) == 1 {
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

// Open reports whether everyone is an operator, since the site has no token.
func (a *Authoriser) Open(known Tokens) bool {
	return len(a.firstHash) == 0 && len(known) == 0
}

// Refuse counts and logs a rejected token and returns the error for it. If the
// source has sent too many of them, it logs nothing and returns codes.KeysTried in
// place of the reason.
func (a *Authoriser) Refuse(source string, refusal error) error {
	now := a.clock.Now()
	blocked := a.throttle.Blocked(now, source)
	a.throttle.CountRejected(now, source)
	if blocked {
		return codes.New(codes.KeysTried, "too many refused tokens came from this address")
	}
	event.Log(a.log, event.KeyRefused,
		slog.String("source", source), slog.Int("code", int(codes.Of(refusal))), slog.String("reason", refusal.Error()))
	return refusal
}

// Guard calls next for requests whose token is sufficient, and refuse with the error
// for all others. tokens returns the currently valid tokens.
func (a *Authoriser) Guard(needed Requirement, tokens func() Tokens, refuse func(http.ResponseWriter, error), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := a.Check(Bearer(r), SourceOf(r), needed, tokens()); err != nil {
			refuse(w, err)
			return
		}
		next(w, r)
	}
}

// Bearer returns the bearer token of a request, empty if there is none.
func Bearer(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// SourceOf returns the IP address from which a request came.
func SourceOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

type sourceKey struct{}

// WithSource adds the request's source address to its context, for RPC handlers,
// which do not get the HTTP request.
func WithSource(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), sourceKey{}, SourceOf(r))))
	})
}

// Source returns the address that WithSource added to ctx, empty if there is none.
func Source(ctx context.Context) string {
	source, _ := ctx.Value(sourceKey{}).(string)
	return source
}
