package start

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/standin/soak"
)

// newSoak returns the command that breaks real processes from outside.
func newSoak() *cobra.Command {
	var o soak.Options
	var runs int
	c := &cobra.Command{
		Use:   "soak",
		Short: "Break real processes from outside while a load checks what was promised",
		Long: "Break real processes from outside while a load checks what was promised.\n\n" +
			"Each run starts a site of controld and entryd on loopback, kills, pauses and cuts\n" +
			"its processes in a seeded order, and prints one line of JSON. The logs of a run\n" +
			"with violations stay in its folder. The exit code is 1 if there were any.",
		Example: "  standin soak --seed 1 --runs 50 --for 20s",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Programs == "" {
				var err error
				if o.Programs, err = soak.Programs(); err != nil {
					return err
				}
			}
			return soakRuns(c, o, runs)
		},
	}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the first run")
	c.Flags().IntVar(&runs, "runs", 1, "number of runs, with one seed after the other")
	c.Flags().DurationVar(&o.Duration, "for", 20*time.Second, "length of the faults in each run")
	c.Flags().StringVar(&o.Programs, "programs", "", "folder of controld and entryd (default that of this program)")
	c.Flags().StringVar(&o.Defect, "defect", "", "plant a defect that must be found: "+soak.DefectWiped+" or "+soak.DefectTwice)
	return c
}

func soakRuns(c *cobra.Command, o soak.Options, runs int) error {
	ctx, stop := untilSignal(c)
	defer stop()
	broken := 0
	for range runs {
		if ctx.Err() != nil {
			return codes.New(codes.UsageError, "ended by a signal")
		}
		r, err := soak.Run(ctx, o)
		if err != nil {
			return err
		}
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), string(line))
		if len(r.Violations) > 0 {
			broken++
		}
		o.Seed++
	}
	if broken > 0 {
		return codes.New(codes.InvariantBroken, "%d of %d runs broke a promise", broken, runs)
	}
	return nil
}
