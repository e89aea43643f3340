package gauge

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/standin/trial"
)

// SuccessionResult sums up runs in which control nodes are replaced one after the other.
type SuccessionResult struct {
	Seeds      string   `json:"seeds"`
	Failed     []string `json:"failed"`
	LongestGap int64    `json:"longest_gap_ms"` // without an applied change
}

func successionMeasure() Measure {
	return Measure{
		Name:    "succession",
		Short:   "Control nodes replaced one after the other, with an outage at the end",
		Example: "  standin measure succession --seeds 0-49",
		Build:   buildSuccession,
	}
}

func buildSuccession(c *cobra.Command) func(io.Writer) (any, error) {
	seeds := c.Flags().String("seeds", "0-49", "first and last seed, A-B")
	return func(out io.Writer) (any, error) {
		var first, last uint64
		if _, err := fmt.Sscanf(*seeds, "%d-%d", &first, &last); err != nil {
			return nil, err
		}
		return runSuccession(out, first, last), nil
	}
}

func runSuccession(out io.Writer, first, last uint64) SuccessionResult {
	result := SuccessionResult{Seeds: fmt.Sprintf("%d-%d", first, last), Failed: []string{}}
	for seed := first; seed <= last; seed++ {
		p := trial.DrawSuccession(seed)
		r := trial.RunSuccession(p)
		result.LongestGap = max(result.LongestGap, int64(r.LongestGap))
		if r.Failed() {
			result.Failed = append(result.Failed, fmt.Sprintf("%+v: %s", p, r.Violation))
			fmt.Fprintf(out, "%+v: gap %d ms %s\n", p, r.LongestGap, r.Violation)
		}
	}
	fmt.Fprintf(out, "%d runs, %d failed, longest time without a change %d ms\n", last-first+1, len(result.Failed), result.LongestGap)
	return result
}
