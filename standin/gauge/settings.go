package gauge

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/standin/spread"
)

// settleTime is the time after the faults within which all nodes serve again.
const settleTime = 15 * sardine.Second

// SettingsResult sums up randomised runs of settings and spread.
type SettingsResult struct {
	Seeds      string   `json:"seeds"`
	Steps      int      `json:"steps"`
	Failed     []string `json:"failed"`
	Admissions int      `json:"admissions"`
	Refusals   int      `json:"refusals_without_lease"`
	Accepted   int      `json:"changes_accepted"`
	Resent     int      `json:"of_these_resent"`
	LostRaces  int      `json:"races_lost"`
	Unanswered int      `json:"unanswered"`
}

func settingsMeasure() Measure {
	return Measure{
		Name:    "settings",
		Short:   "Randomised runs of settings, leases and spread under faults",
		Example: "  standin measure settings --seeds 0-999 --steps 20000",
		Build: func(c *cobra.Command) func(io.Writer) (any, error) {
			seeds := c.Flags().String("seeds", "0-199", "first and last seed, A-B")
			steps := c.Flags().Int("steps", 4000, "steps in each run")
			return func(out io.Writer) (any, error) {
				var first, last uint64
				if _, err := fmt.Sscanf(*seeds, "%d-%d", &first, &last); err != nil {
					return nil, fmt.Errorf("found the seeds %q, expected A-B: %w", *seeds, err)
				}
				return runSettings(out, first, last, *steps), nil
			}
		},
	}
}

func runSettings(out io.Writer, first, last uint64, steps int) SettingsResult {
	result := SettingsResult{Seeds: fmt.Sprintf("%d-%d", first, last), Steps: steps, Failed: []string{}}
	for seed := first; seed <= last; seed++ {
		w := spread.New(spread.RandomOptions(seed))
		w.Run(steps)
		settled := w.Settle(settleTime)
		switch {
		case !settled && len(w.Violations) == 0:
			result.Failed = append(result.Failed, fmt.Sprintf("seed %d: entry nodes do not serve again after the faults", seed))
		case len(w.Violations) > 0:
			result.Failed = append(result.Failed, fmt.Sprintf("seed %d: %s", seed, w.Violations[0]))
		case !w.Linearizable():
			result.Failed = append(result.Failed, fmt.Sprintf("seed %d: the history is not linearizable", seed))
		}
		result.add(w)
	}
	fmt.Fprintf(out, "%d runs of %d steps, %d failed\n", last-first+1, steps, len(result.Failed))
	return result
}

func (r *SettingsResult) add(w *spread.World) {
	r.Admissions += w.Admitted
	r.Refusals += w.Refused
	for _, o := range w.History {
		switch {
		case o.Return == 0:
			r.Unanswered++
		case o.Accepted:
			r.Accepted++
			if o.Resends > 0 {
				r.Resent++
			}
		case !o.Read:
			r.LostRaces++
		}
	}
}
