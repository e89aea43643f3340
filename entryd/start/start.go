// Package start implements the command line of the entryd program.
package start

import (
	"io"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/entry"
	"sardineswitch.dev/sardine/launch"
)

// Main runs the program with its arguments and returns the exit code. The node gets the
// options after those of its settings.
func Main(args []string, out, errs io.Writer, options ...entry.Option) int {
	return program(options...).Main(args, out, errs)
}

func program(options ...entry.Option) launch.Program {
	return launch.Program{
		Name:    "entryd",
		Short:   "Entry node of sardineswitch: accepts callers' requests and targets' announcements",
		Example: "  entryd check /etc/sardine/entryd.toml\n  entryd run /etc/sardine/entryd.toml",
		Commands: []func() *cobra.Command{
			func() *cobra.Command { return newRun(options) },
			newCheck,
			func() *cobra.Command { return launch.NewVersion("entryd") },
		},
	}
}
