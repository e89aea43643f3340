package start

import (
	"context"
	"time"

	"github.com/spf13/cobra"

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
			"With --faulty some workers send bytes that are no answer, which no caller may get.\n" +
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
	c.Flags().IntVar(&o.Faulty, "faulty", 0, "number of workers that spoil some of their answers, beside long uploads")
	c.Flags().StringVar(&o.Programs, "programs", "", "folder of controld, entryd and severd (default: the folder of this program)")
	c.Flags().StringVar(&o.Templates, "templates", "deploy", "folder of the settings templates")
	return c
}

func runStop(c *cobra.Command, o roll.Options, runs int) error {
	return playRuns(c, runs, func(ctx context.Context, _ int) (any, bool, error) {
		r, err := roll.Run(ctx, o)
		o.Seed++
		return r, err == nil && r.Failed(), err
	})
}
