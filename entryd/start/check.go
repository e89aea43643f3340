package start

import (
	"fmt"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/conf"
)

// newCheck returns the command that checks a settings file without running the node.
func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file and list all its errors",
		Example: "  entryd check /etc/sardine/entryd.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			settings, err := conf.LoadEntry(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: settings of entry node %s are valid\n", args[0], settings.Node())
			return nil
		},
	}
}
