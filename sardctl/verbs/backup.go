package verbs

import (
	"encoding/json"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/wire"
)

// backupFormat is the version of the backup file's format.
const backupFormat = 1

// backupFile is the JSON form of a backup: every team's newest document and the
// hashes of the tokens.
type backupFile struct {
	Format int             `json:"format"`
	At     int64           `json:"at_ms"`
	Teams  []backupTeam    `json:"teams"`
	Tokens json.RawMessage `json:"tokens"` // as package oper encodes them
}

type backupTeam struct {
	Name     string `json:"name"`
	Version  uint64 `json:"version"`
	Document string `json:"document"`
}

func backupVerb() Verb {
	return Verb{
		Use:     "backup FILE",
		Section: SectionSettings,
		Short:   "Save every team's settings and the tokens' hashes to a file",
		Long: `Saves the newest settings of every team, with their versions, and the hashes of
the tokens, from which no token can be found. Groups, leases and idempotency keys
are not saved: they describe the running site, not its configuration.
Needs an operator's token.`,
		Examples: []string{"sardctl backup site.json", "sardctl backup - | gzip > site.json.gz"},
		Args:     cobra.ExactArgs(1),
		Run:      runBackup,
	}
}

func runBackup(c *Call) error {
	k, err := c.control()
	if err != nil {
		return err
	}
	listed, err := k.settings(&wire.SettingsRequest{Operation: "teams"})
	if err != nil {
		return err
	}
	b := backupFile{Format: backupFormat, At: time.Now().UnixMilli(), Teams: []backupTeam{}}
	for _, name := range listed.GetTeams() {
		reply, err := k.settings(&wire.SettingsRequest{Operation: "get", Path: "/teams/" + name})
		if err != nil {
			return err
		}
		b.Teams = append(b.Teams, backupTeam{Name: name, Version: reply.GetVersion(), Document: reply.GetDocument()})
	}
	tokens, err := c.tokens()
	if err != nil {
		return err
	}
	if b.Tokens, err = oper.EncodeTokens(tokens); err != nil {
		return codes.Wrap(codes.Internal, err, "tokens")
	}
	return c.writeBackup(b, len(tokens))
}

func (c *Call) writeBackup(b backupFile, tokens int) error {
	text, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return codes.Wrap(codes.Internal, err, "backup")
	}
	if c.args[0] == "-" {
		c.printf("%s\n", text)
		return nil
	}
	if err := os.WriteFile(c.args[0], append(text, '\n'), privateMode); err != nil {
		return usageError(err, "backup")
	}
	c.printf("%d team(s) and %d token(s) saved to %s\n", len(b.Teams), tokens, c.args[0])
	return nil
}

func restoreVerb() Verb {
	return Verb{
		Use:     "restore FILE",
		Section: SectionSettings,
		Short:   "Bring back the settings of a backup as new versions",
		Long: `Sends each team's saved document as a new change, based on the newest version.
Versions only rise: a team whose version would end below the saved one, as on an
empty site, is refused, since entry nodes would have to go back. Teams that are
not in the backup stay as they are. Tokens are restored only with --tokens: one
that was revoked since would be valid again.`,
		Examples: []string{"sardctl restore site.json --yes", "sardctl restore site.json --team adinkra --yes"},
		Args:     cobra.ExactArgs(1),
		Flags: func(f *pflag.FlagSet) {
			f.String("team", "", "restore this team only")
			f.Bool("tokens", false, "restore the tokens as well, also those revoked since")
		},
		Run: runRestore,
	}
}

func runRestore(c *Call) error {
	b, err := c.readBackup()
	if err != nil {
		return err
	}
	k, err := c.control()
	if err != nil {
		return err
	}
	if err := c.confirm("This replaces the settings of the teams in the backup."); err != nil {
		return err
	}
	restored := 0
	for _, t := range b.Teams {
		if only := c.stringFlag("team"); only != "" && only != t.Name {
			continue
		}
		if err := c.restoreTeam(k, t, b.At); err != nil {
			return err
		}
		restored++
	}
	c.printf("%d team(s) restored\n", restored)
	if withTokens, _ := c.flags.GetBool("tokens"); !withTokens { // the command defined it
		return nil
	}
	return c.restoreTokens(b)
}

func (c *Call) restoreTokens(b backupFile) error {
	all, err := oper.DecodeTokens(b.Tokens)
	if err != nil {
		return codes.Wrap(codes.UsageError, err, "backup "+c.args[0])
	}
	for _, t := range all {
		if err := c.putToken(t); err != nil {
			return err
		}
	}
	c.printf("%d token(s) restored\n", len(all))
	return nil
}

func (c *Call) readBackup() (backupFile, error) {
	text, err := c.readInput(c.args[0])
	if err != nil {
		return backupFile{}, err
	}
	var b backupFile
	if err := json.Unmarshal([]byte(text), &b); err != nil {
		return backupFile{}, codes.Wrap(codes.UsageError, err, "backup "+c.args[0])
	}
	if b.Format != backupFormat {
		return backupFile{}, codes.New(codes.UsageError, "backup %s has format %d, this program reads %d", c.args[0], b.Format, backupFormat)
	}
	return b, nil
}

func (c *Call) restoreTeam(k *controlClient, t backupTeam, at int64) error {
	path := "/teams/" + t.Name
	current, err := k.settings(&wire.SettingsRequest{Operation: "get", Path: path})
	if err != nil && !codes.Is(err, codes.UnknownPath) {
		return err
	}
	version := current.GetVersion()
	if version < t.Version {
		return codes.New(codes.VersionRace, "%s is at version %d, the backup at %d: the restored version would be lower than one that was in force", path, version, t.Version)
	}
	if current.GetDocument() == t.Document {
		c.printf("%s: version %d already holds the saved settings\n", path, version)
		return nil
	}
	reply, err := k.settings(&wire.SettingsRequest{
		Operation: "set", Path: path, Base: version, Document: t.Document, Author: c.author(),
		ChangeId: "restore-" + t.Name + "-" + formatTime(at) + "-" + formatTime(time.Now().UnixMilli()),
	})
	if err != nil {
		return err
	}
	c.printf("%s: version %d holds the settings of version %d%s\n", path, reply.GetVersion(), t.Version, inForceText(reply.GetInForce()))
	return nil
}
