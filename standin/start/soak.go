package start

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/standin/soak"
)

// newSoak returns the command that injects faults into the processes of a site
// while a load checks the product's guarantees.
func newSoak() *cobra.Command {
	var o soak.Options
	var runs int
	c := &cobra.Command{
		Use:   "soak",
		Short: "Inject faults into real processes while a load checks the guarantees",
		Long: "Inject faults into real processes while a load checks the guarantees.\n\n" +
			"Each run starts a site of controld and severd, an entryd whose links to targets can\n" +
			"be cut, on loopback, kills and pauses its processes, cuts their connections in a seeded order, and prints one line of JSON.\n" +
			"The logs of a run with violations are kept. The exit code is 1 if there were any.",
		Example: "  standin soak --seed 1 --runs 50 --for 20s",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Programs == "" {
				var err error
				if o.Programs, err = soak.Programs(); err != nil {
					return err
				}
			}
			return runSoak(c, o, runs)
		},
	}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the first run")
	c.Flags().IntVar(&runs, "runs", 1, "number of runs; each uses the next seed")
	c.Flags().DurationVar(&o.Duration, "for", 20*time.Second, "duration of the faults in each run")
	c.Flags().StringVar(&o.Programs, "programs", "", "folder of controld and severd (default: the folder of this program)")
	c.Flags().StringVar(&o.Defect, "defect", "", "inject a known defect that the checks must detect: "+soak.DefectWiped+" or "+soak.DefectTwice)
	return c
}

func runSoak(c *cobra.Command, o soak.Options, runs int) error {
	return playRuns(c, runs, func(ctx context.Context, _ int) (any, bool, error) {
		r, err := soak.Run(ctx, o)
		o.Seed++
		return r, err == nil && len(r.Violations) > 0, err
	})
}
