package verbs

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/codes"
)

func rollbackVerb() Verb {
	return Verb{
		Use:     "rollback PATH --to VERSION",
		Section: SectionSettings,
		Short:   "Bring back the settings of an earlier version",
		Long: `Makes a new change whose content at PATH is that of an earlier version. The
version rises as with any change, so entry nodes never go back.`,
		Examples: []string{"sardctl rollback /teams/adinkra --to 1 --yes"},
		Args:     cobra.ExactArgs(1),
		Complete: completePaths,
		Flags: func(f *pflag.FlagSet) {
			f.Uint64("to", 0, "version whose content is wanted")
			changeFlags(f)
		},
		Run: runRollback,
	}
}

func runRollback(c *Call) error {
	if c.uintFlag("to") == 0 {
		return codes.New(codes.UsageError, "expected --to with a version, see sardctl history %s", c.args[0])
	}
	old, err := c.getSettings(c.args[0], c.uintFlag("to"))
	if err != nil {
		return err
	}
	if err := c.confirm("This replaces everything at " + c.args[0] + "."); err != nil {
		return err
	}
	return c.change("set", c.args[0], old.GetDocument())
}
