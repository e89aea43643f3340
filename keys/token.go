// Package keys makes and checks what tells friend from foe: the site's own
// certificate authority, node certificates that are read again without a
// restart, and bearer tokens of which only hashes are kept.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"log/slog"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

const (
	secretBytes  = 32
	secretPrefix = "sard_" // lets scanners of source code find tokens
	redacted     = "[redacted]"
)

// Secret is a token or a private key. Every way of printing it hides it; Reveal
// is the only one that does not.
type Secret struct {
	text string
}

// NewSecret wraps a secret text.
func NewSecret(text string) Secret {
	return Secret{text: text}
}

// MakeToken returns a new random token.
func MakeToken() (Secret, error) {
	random := make([]byte, secretBytes)
	if _, err := rand.Read(random); err != nil {
		return Secret{}, codes.Wrap(codes.Internal, err, "random numbers")
	}
	return Secret{text: secretPrefix + base64.RawURLEncoding.EncodeToString(random)}, nil
}

// Reveal returns the secret text.
func (s Secret) Reveal() string {
	return s.text
}

// Hash returns the SHA-256 hash that is kept in place of a token.
//
// Tokens are random, 256 bits long; a slow hash made for passwords would cost
// each request milliseconds and add nothing.
func (s Secret) Hash() []byte {
	sum := sha256.Sum256([]byte(s.text))
	return sum[:]
}

// Matches compares the token with a kept hash in constant time.
func (s Secret) Matches(hash []byte) bool {
	return subtle.ConstantTimeCompare(s.Hash(), hash) == 1
}

// String hides the secret.
func (Secret) String() string {
	return redacted
}

// GoString hides the secret.
func (Secret) GoString() string {
	return redacted
}

// MarshalText hides the secret in JSON and TOML.
func (Secret) MarshalText() ([]byte, error) {
	return []byte(redacted), nil
}

// LogValue hides the secret in logs.
func (Secret) LogValue() slog.Value {
	return slog.StringValue(redacted)
}

// Scope is what a token covers.
type Scope struct {
	kind scopeKind
	name string
}

type scopeKind string

const (
	kindOperator scopeKind = "operator"
	kindTeam     scopeKind = "team"
	kindTarget   scopeKind = "target"
	kindCaller   scopeKind = "caller"
)

// OperatorScope covers everything.
func OperatorScope() Scope {
	return Scope{kind: kindOperator}
}

// TeamScope covers one team's settings.
func TeamScope(t sardine.Team) Scope {
	return Scope{kind: kindTeam, name: string(t)}
}

// TargetScope covers announcements.
func TargetScope() Scope {
	return Scope{kind: kindTarget}
}

// CallerScope covers requests of one workspace.
func CallerScope(w sardine.Workspace) Scope {
	return Scope{kind: kindCaller, name: string(w)}
}

// ParseScope reads "operator", "target", "team:TEAM" or "caller:WORKSPACE".
// Errors carry codes.BadRequest.
func ParseScope(text string) (Scope, error) {
	kind, name, named := strings.Cut(text, ":")
	s := Scope{kind: scopeKind(kind), name: name}
	switch {
	case !named && (s.kind == kindOperator || s.kind == kindTarget):
		return s, nil
	case name != "" && (s.kind == kindTeam || s.kind == kindCaller):
		return s, nil
	default:
		return Scope{}, codes.New(codes.BadRequest, "scope: found %q, expected operator, target, team:TEAM or caller:WORKSPACE", text)
	}
}

// String returns the scope as ParseScope reads it.
func (s Scope) String() string {
	if s.name == "" {
		return string(s.kind)
	}
	return string(s.kind) + ":" + s.name
}

// Reads reports whether a token of scope s may see how the site fares.
func (s Scope) Reads() bool {
	return s.kind == kindOperator || s.kind == kindTeam
}

// Covers reports whether a token of scope s may do what needs the other scope.
func (s Scope) Covers(other Scope) bool {
	return s.kind == kindOperator || s == other
}
