package start

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/platform/roll"
	"sardineswitch.dev/sardine/standin/soak"
)

// newStop returns the command that stops and reloads real nodes of the platform's
// interface under load.
func newStop() *cobra.Command {
	var o roll.Options
	var runs int
	c := &cobra.Command{
		Use:   "stop",
		Short: "Stop and reload real processes under load and check that no request is lost",
		Long: "Stop and reload real processes under load and check that no request is lost.\n\n" +
			"Each run starts a site of controld and entryd on loopback with settings rendered from\n" +
			"deploy/, sends SIGTERM and SIGHUP to its nodes in a seeded order while callers keep\n" +
			"their connections and workers are silent now and then, and prints one line of JSON.\n" +
			"With --cuts it also cuts entry nodes from all workers for some seconds.\n" +
			"The logs of a run with losses are kept. The exit code is 1 if a rule is broken.",
		Example: "  standin stop --seed 1 --runs 50",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Programs == "" {
				var err error
				if o.Programs, err = soak.Programs(); err != nil {
					return err
				}
			}
			return runStop(c, o, runs)
		},
	}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the first run")
	c.Flags().IntVar(&runs, "runs", 1, "number of runs; each uses the next seed")
	c.Flags().DurationVar(&o.Duration, "for", 15*time.Second, "time in which planned work begins in each run")
	c.Flags().DurationVar(&o.Grace, "grace", 8*time.Second, "time from SIGTERM to SIGKILL")
	c.Flags().IntVar(&o.Callers, "callers", 0, "number of callers (default: as many as the play has)")
	c.Flags().BoolVar(&o.Cuts, "cuts", false, "also cut entry nodes from all workers")
	c.Flags().StringVar(&o.Programs, "programs", "", "folder of controld, entryd and severd (default: the folder of this program)")
	c.Flags().StringVar(&o.Templates, "templates", "deploy", "folder of the settings templates")
	return c
}

func runStop(c *cobra.Command, o roll.Options, runs int) error {
	ctx, stop := signalContext(c)
	defer stop()
	failedRuns := 0
	for range runs {
		if ctx.Err() != nil {
			return codes.New(codes.UsageError, "interrupted by a signal")
		}
		r, err := roll.Run(ctx, o)
		if err != nil {
			return err
		}
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), string(line))
		if r.Failed() {
			failedRuns++
		}
		o.Seed++
	}
	if failedRuns > 0 {
		return codes.New(codes.InvariantBroken, "%d of %d runs broke a rule", failedRuns, runs)
	}
	return nil
}
