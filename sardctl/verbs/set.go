package verbs

import (
	"strings"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

func setVerb() Verb {
	return Verb{
		Use:     "set PATH [VALUE]",
		Section: SectionSettings,
		Short:   "Change the settings at a path",
		Long: `Replaces the settings at a path by a TOML value or the content of a file, and
waits until the change is in force on every entry node. A change is based on the
newest version, or on --base; if another change came first it is refused, and
that change is shown. After a lost answer, send the command again with the same
--change-id: the change is made once.`,
		Examples: []string{
			"sardctl set /teams/adinkra/deployments/surtitle/groups 12",
			"sardctl set /teams/adinkra --file adinkra.toml",
			"sardctl set /teams/adinkra/cut_policy '\"hold_changes\"' --base 7",
		},
		Args:     cobra.RangeArgs(1, 2),
		Complete: completePaths,
		Flags: func(f *pflag.FlagSet) {
			f.String("file", "", "file with the new content, - for the standard input")
			changeFlags(f)
		},
		Run: runSet,
	}
}

func changeFlags(f *pflag.FlagSet) {
	f.Uint64("base", 0, "version that the change is based on, 0 for the newest")
	f.String("change-id", "", "id that distinguishes a resend from a new change (default: a new id)")
}

func runSet(c *Call) error {
	fragment, err := c.fragment()
	if err != nil {
		return err
	}
	return c.change("set", c.args[0], fragment)
}

// fragment returns the VALUE argument or the content of --file.
func (c *Call) fragment() (string, error) {
	file := c.stringFlag("file")
	if (file == "") == (len(c.args) < 2) {
		return "", codes.New(codes.UsageError, "expected either VALUE or --file")
	}
	if file == "" {
		return c.args[1], nil
	}
	return c.readInput(file)
}

type changeJSON struct {
	Path     string `json:"path"`
	Version  uint64 `json:"version"`
	InForce  bool   `json:"in_force"`
	Repeat   bool   `json:"repeat"`
	ChangeID string `json:"change_id"`
}

// change sends one change and prints its outcome.
func (c *Call) change(operation, path, document string) error {
	k, err := c.control()
	if err != nil {
		return err
	}
	base, err := c.baseVersion(k, path)
	if err != nil {
		return err
	}
	id := c.stringFlag("change-id")
	if id == "" {
		id = uuid.NewString()
	}
	reply, err := k.settings(&wire.SettingsRequest{
		Operation: operation, Path: path, Base: base, ChangeId: id, Document: document, Author: c.author(),
	})
	if err != nil {
		c.explainFailedChange(reply, id, err)
		return err
	}
	if c.session.json {
		return c.printJSON(changeJSON{
			Path: path, Version: reply.GetVersion(), InForce: reply.GetInForce(), Repeat: reply.GetRepeat(), ChangeID: id,
		})
	}
	repeated := ""
	if reply.GetRepeat() {
		repeated = ", made by an earlier send of this change id"
	}
	c.printf("version %d%s%s\n", reply.GetVersion(), inForceText(reply.GetInForce()), repeated)
	return nil
}

// baseVersion returns the version to base the change on. A team without settings
// is at version 0.
func (c *Call) baseVersion(k *controlClient, path string) (uint64, error) {
	if c.flags.Changed("base") {
		return c.uintFlag("base"), nil
	}
	reply, err := k.settings(&wire.SettingsRequest{Operation: "get", Path: teamPath(path)})
	if codes.Is(err, codes.UnknownPath) {
		return 0, nil
	}
	return reply.GetVersion(), err
}

// explainFailedChange prints what the user needs to continue after a failed change.
func (c *Call) explainFailedChange(reply *wire.SettingsReply, id string, err error) {
	switch codes.Of(err) {
	case codes.VersionRace:
		for _, r := range reply.GetHistory() {
			c.infof("version %d, by %s, changed %s\n", r.GetVersion(), r.GetAuthor(), r.GetPath())
		}
		if reply.GetDocument() != "" {
			c.infof("there now:\n%s\n", trimNewline(reply.GetDocument()))
		}
	case codes.OutcomeUnknown, codes.ChangeHeld, codes.NoQuorum:
		c.infof("send it again with --change-id %s: it is made once\n", id)
	}
}

// teamPath returns the root of the team that a path belongs to.
func teamPath(path string) string {
	parts := strings.Split(path, "/")
	if len(parts) < 3 {
		return path
	}
	return strings.Join(parts[:3], "/")
}
