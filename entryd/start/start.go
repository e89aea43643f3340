// Package start implements the command line of the entryd program.
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
		Name:    "entryd",
		Short:   "Entry node of sardineswitch: accepts callers' requests and targets' announcements",
		Example: "  entryd check /etc/sardine/entryd.toml\n  entryd run /etc/sardine/entryd.toml",
		Commands: []func() *cobra.Command{
			newRun,
			newCheck,
			func() *cobra.Command { return launch.NewVersion("entryd") },
		},
	}
}
