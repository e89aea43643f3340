package start

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/platform/roll"
	"sardineswitch.dev/sardine/standin/soak"
)

// newCrowd returns the command that lets crowds of clients send large bodies to real
// nodes of the platform's interface.
func newCrowd() *cobra.Command {
	var o roll.CrowdOptions
	var names []string
	var runs int
	c := &cobra.Command{
		Use:   "crowd",
		Short: "Send many large bodies to real processes and check that they stay within their memory",
		Long: "Send many large bodies to real processes and check that they stay within their memory.\n\n" +
			"Each run starts a site of controld and entryd on loopback with settings rendered from\n" +
			"deploy/, lets a crowd of clients send bodies that they mostly don't end, sends ordinary\n" +
			"requests beside it and afterwards, and prints one line of JSON. The exit code is 1 if a\n" +
			"process ended or used more than its memory, or if a caller got no answer.\n\n" +
			"Crowds:\n" + crowdTable(),
		Example: "  standin crowd --names whole,chunks-1 --seed 1 --runs 5",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Programs == "" {
				var err error
				if o.Programs, err = soak.Programs(); err != nil {
					return err
				}
			}
			return runCrowds(c, o, names, runs)
		},
	}
	c.Flags().StringSliceVar(&names, "names", nil, "crowds to play (default: all)")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the first run")
	c.Flags().IntVar(&runs, "runs", 1, "number of runs of each crowd; each uses the next seed")
	c.Flags().DurationVar(&o.Duration, "for", 15*time.Second, "time for which a crowd stays")
	c.Flags().IntVar(&o.MemoryMB, "memory", 284, "memory of each node, in MB")
	c.Flags().IntVar(&o.Scale, "scale", 4, "factor on the sizes of bodies; at 1 the largest has 1 MiB")
	c.Flags().BoolVar(&o.Stops, "stops", false, "also stop and reload nodes and change the layout, in series and overlapping")
	c.Flags().StringVar(&o.Programs, "programs", "", "folder of controld and entryd (default: the folder of this program)")
	c.Flags().StringVar(&o.Templates, "templates", "deploy", "folder of the settings templates")
	return c
}

func crowdTable() string {
	var out strings.Builder
	for _, c := range roll.Crowds {
		fmt.Fprintf(&out, "  %-18s %s\n", c.Name, c.Short)
	}
	return out.String()
}

// chooseCrowds returns the crowds with the names, or all without any.
func chooseCrowds(names []string) ([]roll.Crowd, error) {
	if len(names) == 0 {
		return roll.Crowds, nil
	}
	var chosen []roll.Crowd
	for _, name := range names {
		before := len(chosen)
		for _, c := range roll.Crowds {
			if c.Name == name {
				chosen = append(chosen, c)
			}
		}
		if len(chosen) == before {
			return nil, codes.New(codes.UsageError, "no crowd %q, see standin crowd --help", name)
		}
	}
	return chosen, nil
}

// runCrowds plays each crowd so many times, all with one seed before the next.
func runCrowds(c *cobra.Command, o roll.CrowdOptions, names []string, runs int) error {
	crowds, err := chooseCrowds(names)
	if err != nil {
		return err
	}
	first := o.Seed
	return playRuns(c, runs*len(crowds), func(ctx context.Context, run int) (any, bool, error) {
		o.Seed = first + uint64(run/len(crowds))
		r, err := roll.PlayCrowd(ctx, crowds[run%len(crowds)], o)
		return r, err == nil && (r.Failed() || r.Highest() >= o.MemoryMB<<10), err
	})
}
