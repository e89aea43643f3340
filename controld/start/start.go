// Package start implements the command line of the controld program.
package start

import (
	"io"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/launch"
)

// Main runs the program with its arguments and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	return program().Main(args, out, errs)
}

func program() launch.Program {
	return launch.Program{
		Name:    "controld",
		Short:   "Control node of sardineswitch: replicates the control state and forms groups",
		Example: "  controld check /etc/sardine/controld.toml\n  controld run /etc/sardine/controld.toml",
		Commands: []func() *cobra.Command{
			newRun,
			newCheck,
			newRescue,
			func() *cobra.Command { return launch.NewVersion("controld") },
		},
	}
}
