package gauge

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/logs"
	"sardineswitch.dev/sardine/standin/chaos"
)

func chaosMeasure() Measure {
	return Measure{
		Name:    "chaos",
		Short:   "Break a site of real nodes under load and check the promises from outside",
		Example: "  standin measure chaos --seed 1 --for 30s",
		Build: func(c *cobra.Command) func(io.Writer) (any, error) {
			var o chaos.Options
			c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the faults' order")
			c.Flags().DurationVar(&o.Duration, "for", 30*time.Second, "how long things are broken")
			c.Flags().BoolVar(&o.EpochChecks, "fenced", true, "engines refuse old epochs")
			verbose := c.Flags().Bool("log", false, "write the nodes' events to standard error")
			return func(out io.Writer) (any, error) {
				o.Logger = logs.Discard()
				if *verbose {
					o.Logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
				}
				r, err := chaos.Run(o)
				if err != nil {
					return nil, err
				}
				for _, v := range r.Violations {
					fmt.Fprintln(out, "violation:", v)
				}
				if len(r.Violations) > 0 {
					return r, codes.New(codes.InvariantBroken, "seed %d: %d violations, the first: %s", o.Seed, len(r.Violations), r.Violations[0])
				}
				return r, nil
			}
		},
	}
}
