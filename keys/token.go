// Package keys provides authentication: a site's own certificate authority, node
// certificates that are reloaded without a restart, and bearer tokens of which only
// hashes are stored.
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
	secretPrefix = "sard_" // lets secret scanners recognize tokens
	redacted     = "[redacted]"
)

// Secret is a token or a private key. It is redacted however it is printed, logged
// or encoded; only Reveal returns its text.
type Secret struct {
	text string
}

// NewSecret returns a Secret with the text.
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

// Hash returns the SHA-256 hash that is stored in place of a token.
//
// Tokens are 256 random bits, so that a slow password hash would add no security
// and cost each request milliseconds.
func (s Secret) Hash() []byte {
	sum := sha256.Sum256([]byte(s.text))
	return sum[:]
}

// Matches reports whether the token has the hash. It compares them in constant
// time.
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

// Scope is what a token permits.
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

// ParseScope parses "operator", "target", "team:TEAM" or "caller:WORKSPACE".
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

// String returns the scope in the form that ParseScope accepts.
func (s Scope) String() string {
	if s.name == "" {
		return string(s.kind)
	}
	return string(s.kind) + ":" + s.name
}

// CanReadStatus reports whether a token of scope s may read the site's status.
func (s Scope) CanReadStatus() bool {
	return s.kind == kindOperator || s.kind == kindTeam
}

// Covers reports whether a token of scope s permits what requires the other scope.
func (s Scope) Covers(other Scope) bool {
	return s.kind == kindOperator || s == other
}
