// Package start is the entry point of the entryd program: its command line.
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
		Short:   "Entry node of sardineswitch: takes callers' requests and targets' announcements",
		Example: "  entryd check /etc/sardine/entryd.toml\n  entryd run /etc/sardine/entryd.toml",
		Commands: []func() *cobra.Command{
			newRun,
			newCheck,
			func() *cobra.Command { return launch.NewVersion("entryd") },
		},
	}
}
