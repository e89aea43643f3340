package start

import (
	"os"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/standin/vary"
)

func newVary() *cobra.Command {
	f := vary.Factors{EngineTimes: 1, Load: 1, StreamTimes: 1, FirstShare: 1}
	c := &cobra.Command{
		Use:   "vary SITE",
		Short: "Print a site file with scaled engine times, load, objectives and shares",
		Long: `Prints a site file of the users' benchmark with multiplied numbers: the times of engines,
the requests, the objectives, pauses, deadlines and timeouts of streams, and the share of
the work that is announced for the first model.`,
		Example: `  standin vary site.toml --engines 3 --load 0.3 --times 3`,
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if f.EngineTimes <= 0 || f.Load <= 0 || f.StreamTimes <= 0 || f.FirstShare <= 0 {
				return codes.New(codes.UsageError, "factors must be above 0")
			}
			text, err := os.ReadFile(args[0])
			if err != nil {
				return codes.Wrap(codes.UsageError, err, "reading the site file")
			}
			site, err := vary.ScaleSite(string(text), f)
			if err != nil {
				return err
			}
			c.Print(site)
			return nil
		},
	}
	flags := c.Flags()
	flags.Float64Var(&f.EngineTimes, "engines", 1, "factor on the times of engines")
	flags.Float64Var(&f.Load, "load", 1, "factor on the requests")
	flags.Float64Var(&f.FirstShare, "shares", 1, "factor on the announced share of the first model; the others divide the rest")
	flags.Float64Var(&f.StreamTimes, "times", 1, "factor on objectives, pauses, deadlines and timeouts of streams")
	return c
}
