// Package start is the entry point of the entryd program: its command line.
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
		fmt.Fprintf(errs, "entryd: %v\n", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "entryd",
		Short:         "Entry node of sardineswitch: takes callers' requests and targets' announcements",
		Example:       "  entryd check /etc/sardine/entryd.toml\n  entryd run /etc/sardine/entryd.toml",
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
