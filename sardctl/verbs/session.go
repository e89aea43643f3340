package verbs

import (
	"io"
	"os"
	"time"

	"github.com/spf13/pflag"
)

// Environment variables that replace flags.
const (
	EnvControls = "SARDCTL_CONTROLS"
	EnvToken    = "SARDCTL_TOKEN"
)

const defaultTimeout = 20 * time.Second

// Session is one run of the program: its streams, its environment and the flags
// that all commands share.
type Session struct {
	in     io.Reader
	out    io.Writer
	errs   io.Writer
	getenv func(string) string

	controls  []string
	tokenFile string
	json      bool
	yes       bool
	timeout   time.Duration
	author    string
	authority string
}

// NewSession returns a session with the given streams.
func NewSession(in io.Reader, out, errs io.Writer, getenv func(string) string) *Session {
	return &Session{in: in, out: out, errs: errs, getenv: getenv}
}

// Flags adds the flags that all commands share.
func (s *Session) Flags(f *pflag.FlagSet) {
	f.StringSliceVar(&s.controls, "controls", nil, "operators' addresses of the control nodes, host:port,... (or "+EnvControls+")")
	f.StringVar(&s.tokenFile, "token-file", "", "file that holds the operator's or the team's token (or the token itself in "+EnvToken+")")
	f.StringVar(&s.authority, "authority", "", "file of the site's CA certificate; without it sardctl speaks plain HTTP")
	f.StringVar(&s.author, "author", "", "name kept in the history (default: the user's name)")
	f.BoolVar(&s.json, "json", false, "print JSON for programs")
	f.BoolVar(&s.yes, "yes", false, "do not ask before destroying anything")
	f.DurationVar(&s.timeout, "timeout", defaultTimeout, "give up after this time")
}

// readToken returns the token from the file or the environment, empty without one.
func (s *Session) readToken() (string, error) {
	if s.tokenFile == "" {
		return s.getenv(EnvToken), nil
	}
	text, err := os.ReadFile(s.tokenFile)
	if err != nil {
		return "", usageError(err, "--token-file")
	}
	return trimNewline(string(text)), nil
}
