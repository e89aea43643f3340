package start

import (
	"fmt"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
)

// newVersion returns the command that prints the version.
func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  controld version",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			fmt.Fprintf(c.OutOrStdout(), "controld %s\n", sardine.Release)
			return nil
		},
	}
}
