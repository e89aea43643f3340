package verbs

import (
	"encoding/hex"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/state"
)

func keysVerb() Verb {
	return Verb{
		Use:     "keys",
		Section: SectionKeys,
		Short:   "Make certificates; add, list, revoke or rotate tokens",
		Long: `A small site makes its own certificate authority and node certificates with
init. Tokens are made here, shown once, and kept by the control nodes as hashes.
Scopes: operator, target, team:TEAM, caller:WORKSPACE.`,
		Examples: []string{
			"sardctl keys init keys --site accra --node osu-entry-1=10.1.1.11 --node osu-control=10.1.1.5",
			"sardctl keys add ama --scope team:adinkra --expires 2160h --out ama.token",
			"sardctl keys rotate ama --overlap 24h --out ama.token",
		},
		Subs: []Verb{keysInitVerb(), keysAddVerb(), keysListVerb(), keysRevokeVerb(), keysRotateVerb()},
	}
}

func keysAddVerb() Verb {
	return Verb{
		Use: "add NAME", Short: "Make a token", Args: cobra.ExactArgs(1),
		Examples: []string{"sardctl keys add ama --scope team:adinkra --expires 2160h --out ama.token"},
		Flags: func(f *pflag.FlagSet) {
			f.String("scope", "", "operator, target, team:TEAM or caller:WORKSPACE")
			f.Duration("expires", 0, "time until it expires, 0 for never")
			f.String("out", "", "file for the token (default: the standard output)")
		},
		Run: runKeysAdd,
	}
}

func keysListVerb() Verb {
	return Verb{
		Use: "list", Short: "List the tokens by their hashes", Args: cobra.NoArgs,
		Examples: []string{"sardctl keys list"}, Run: runKeysList,
	}
}

func keysRevokeVerb() Verb {
	return Verb{
		Use: "revoke NAME", Short: "Revoke every token of a name", Args: cobra.ExactArgs(1),
		Examples: []string{"sardctl keys revoke ama --yes"}, Run: runKeysRevoke,
	}
}

func keysRotateVerb() Verb {
	return Verb{
		Use: "rotate NAME", Short: "Make a new token; the old one stays valid for the overlap", Args: cobra.ExactArgs(1),
		Examples: []string{"sardctl keys rotate ama --overlap 24h --out ama.token"},
		Flags: func(f *pflag.FlagSet) {
			f.Duration("overlap", 24*time.Hour, "time for which the old token stays valid")
			f.Duration("expires", 0, "time until the new token expires, 0 for never")
			f.String("out", "", "file for the token (default: the standard output)")
		},
		Run: runKeysRotate,
	}
}

func runKeysAdd(c *Call) error {
	scope, err := keys.ParseScope(c.stringFlag("scope"))
	if err != nil {
		return codes.Wrap(codes.UsageError, err, "--scope")
	}
	return c.makeToken(c.args[0], scope.String())
}

// makeToken registers a new token's hash before it prints the token or writes it to
// a file: a token that is handed out is valid.
func (c *Call) makeToken(name, scope string) error {
	secret, err := keys.MakeToken()
	if err != nil {
		return err
	}
	expires, _ := c.flags.GetDuration("expires") // the command defined it
	if err := c.putToken(state.Token{Hash: secret.Hash(), Scope: scope, Name: name, Expires: expiryTime(expires)}); err != nil {
		return err
	}
	if workspace, isCaller := strings.CutPrefix(scope, "caller:"); isCaller {
		c.infof("put it in force: sardctl set /teams/TEAM/workspaces/%s/key_hash '\"%x\"'\n", workspace, secret.Hash())
	}
	out := c.stringFlag("out")
	if out == "" {
		c.printf("%s\n", secret.Reveal())
		return nil
	}
	if err := os.WriteFile(out, []byte(secret.Reveal()+"\n"), privateMode); err != nil {
		return usageError(err, "--out")
	}
	c.infof("token of %s (%s) written to %s; it is shown nowhere else\n", name, scope, out)
	return nil
}

// expiryTime returns the time d from now, or 0, which means never, without a
// positive d.
func expiryTime(d time.Duration) state.WallTime {
	if d <= 0 {
		return 0
	}
	return state.WallTime(time.Now().Add(d).UnixMilli())
}

func (c *Call) putToken(t state.Token) error {
	text, err := oper.EncodeToken(t)
	if err != nil {
		return codes.Wrap(codes.Internal, err, "token")
	}
	_, err = c.sendToLeader(http.MethodPost, oper.TokensPath, text)
	return err
}

func (c *Call) tokens() ([]state.Token, error) {
	body, err := c.sendToLeader(http.MethodGet, oper.TokensPath, nil)
	if err != nil {
		return nil, err
	}
	return oper.DecodeTokens(body)
}

func runKeysList(c *Call) error {
	all, err := c.tokens()
	if err != nil {
		return err
	}
	if c.session.json {
		text, err := oper.EncodeTokens(all)
		if err != nil {
			return codes.Wrap(codes.Internal, err, "tokens")
		}
		c.printf("%s\n", text)
		return nil
	}
	var rows [][]string
	for _, t := range all {
		expires := "never"
		if t.Expires != 0 {
			expires = formatTime(int64(t.Expires))
		}
		rows = append(rows, []string{t.Name, t.Scope, expires, hex.EncodeToString(t.Hash)[:12]})
	}
	c.printTable("tokens", []string{"name", "scope", "expires", "hash"}, rows)
	return nil
}

// tokensNamed returns the tokens of a name, and an error if there are none.
func (c *Call) tokensNamed(name string) ([]state.Token, error) {
	all, err := c.tokens()
	if err != nil {
		return nil, err
	}
	var found []state.Token
	for _, t := range all {
		if t.Name == name {
			found = append(found, t)
		}
	}
	if len(found) == 0 {
		return nil, codes.New(codes.UnknownMember, "no token of %q, see sardctl keys list", name)
	}
	return found, nil
}

func runKeysRevoke(c *Call) error {
	found, err := c.tokensNamed(c.args[0])
	if err != nil {
		return err
	}
	if err := c.confirm("Whoever uses the token of " + c.args[0] + " is refused."); err != nil {
		return err
	}
	for _, t := range found {
		if _, err := c.sendToLeader(http.MethodDelete, oper.TokensPath+"?hash="+hex.EncodeToString(t.Hash), nil); err != nil {
			return err
		}
	}
	c.printf("%d token(s) of %s revoked\n", len(found), c.args[0])
	return nil
}

// runKeysRotate makes the new token before it lets the old ones expire, so that a
// failure between the two locks nobody out.
func runKeysRotate(c *Call) error {
	found, err := c.tokensNamed(c.args[0])
	if err != nil {
		return err
	}
	if err := c.makeToken(c.args[0], found[0].Scope); err != nil {
		return err
	}
	overlap, _ := c.flags.GetDuration("overlap") // the command defined it
	until := state.WallTime(time.Now().Add(overlap).UnixMilli())
	for _, t := range found {
		if t.Expires != 0 && t.Expires <= until {
			continue
		}
		t.Expires = until
		if err := c.putToken(t); err != nil {
			return err
		}
	}
	c.infof("the old token of %s counts until %s\n", c.args[0], formatTime(int64(until)))
	return nil
}
