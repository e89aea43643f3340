// Package start holds the command line of the standin program.
package start

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/launch"
	"sardineswitch.dev/sardine/standin/gauge"
)

// Main runs the program with its arguments and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	return program().Main(args, out, errs)
}

func program() launch.Program {
	return launch.Program{
		Name:  "standin",
		Short: "Stand-ins and measurements for sardineswitch",
		Example: "  standin load --address 127.0.0.1:8080 --service surtitles --workspace stage-left\n" +
			"  standin measure chaos --seed 1 --for 30s",
		Commands: []func() *cobra.Command{
			newMeasure,
			newEngine,
			newPlain,
			newWeights,
			newVary,
			newLoad,
			newSoak,
			newStop,
			newCrowd,
			newReport,
			func() *cobra.Command { return launch.NewVersion("standin") },
		},
	}
}

// signalContext returns a context that is cancelled on SIGINT or SIGTERM.
func signalContext(c *cobra.Command) (context.Context, context.CancelFunc) {
	parent := c.Context()
	if parent == nil {
		parent = context.Background()
	}
	return signal.NotifyContext(parent, os.Interrupt, syscall.SIGTERM)
}

func newMeasure() *cobra.Command {
	parent := &cobra.Command{
		Use:     "measure",
		Short:   "Run a measurement; the last line of its output is JSON",
		Example: "  standin measure routing --seed 1",
	}
	for _, row := range gauge.Table() {
		parent.AddCommand(row.Command())
	}
	return parent
}
