// Package start is the entry point of the sardctl program: its command line.
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
		fmt.Fprintf(errs, "sardctl: %v\n", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	return &cobra.Command{Use: "sardctl", SilenceErrors: true, SilenceUsage: true}
}
