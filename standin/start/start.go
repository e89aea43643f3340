// Package start is the entry point of the standin program: its command line.
package start

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/standin/gauge"
)

// Main runs the program with its arguments and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	if err := root.Execute(); err != nil {
		fmt.Fprintf(errs, "standin: %v\n", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins and measurements for sardineswitch",
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
	newMeasure,
	newEngine,
	newPlain,
	newWeights,
	newLoad,
	newReport,
}

// untilSignal returns a context that ends with SIGINT or SIGTERM.
func untilSignal(c *cobra.Command) (context.Context, context.CancelFunc) {
	parent := c.Context()
	if parent == nil {
		parent = context.Background()
	}
	return signal.NotifyContext(parent, os.Interrupt, syscall.SIGTERM)
}

func newMeasure() *cobra.Command {
	parent := &cobra.Command{
		Use:   "measure",
		Short: "Run a measurement; the last line of its output is JSON",
	}
	for _, row := range gauge.Table() {
		parent.AddCommand(row.Command())
	}
	return parent
}
