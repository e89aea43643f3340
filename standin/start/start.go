// Package start holds the command line of the standin program.
package start

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/codes"
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

// playRuns plays so many runs, prints the result of each as a line of JSON, and returns an
// error if some failed, a run could not start or a signal has arrived.
func playRuns(c *cobra.Command, runs int, play func(ctx context.Context, run int) (result any, failed bool, err error)) error {
	ctx, stop := signalContext(c)
	defer stop()
	failedRuns := 0
	for i := range runs {
		if ctx.Err() != nil {
			return codes.New(codes.UsageError, "interrupted by a signal")
		}
		result, failed, err := play(ctx, i)
		if err != nil {
			return err
		}
		line, err := json.Marshal(result)
		if err != nil {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), string(line))
		if failed {
			failedRuns++
		}
	}
	if failedRuns > 0 {
		return codes.New(codes.InvariantBroken, "%d of %d runs failed", failedRuns, runs)
	}
	return nil
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
