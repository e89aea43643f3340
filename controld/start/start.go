// Package start is the entry point of the controld program: its command line.
package start

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Main runs the program with its arguments and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	if err := root.Execute(); err != nil {
		fmt.Fprintf(errs, "controld: %v\n", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "controld",
		Short:         "Control node of sardineswitch: keeps the replicated state and forms groups",
		Example:       "  controld check /etc/sardine/controld.toml\n  controld run /etc/sardine/controld.toml",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	for _, build := range commands {
		root.AddCommand(build())
	}
	return root
}

// commands is the lookup table of the program's commands, one file each.
var commands = []func() *cobra.Command{
	newRun,
	newCheck,
	newVersion,
}
