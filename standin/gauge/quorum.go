package gauge

import (
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/standin/trial"
)

// QuorumResult sums up randomised runs of the replicated log.
type QuorumResult struct {
	Seeds          string   `json:"seeds"`
	Steps          int      `json:"steps"`
	Violations     int      `json:"violations"`
	Failed         []string `json:"failed"`
	Entries        uint64   `json:"entries"`
	Reads          int      `json:"confirmed_reads"`
	Snapshots      int      `json:"snapshots"`
	Installs       int      `json:"installs"`
	TruncatedTails int      `json:"tail_cuts"`
	RefusedDamaged int      `json:"damaged_refused"`
	LostFolders    int      `json:"folders_emptied"`
	Changes        int      `json:"member_changes"`
	FailoverP50    int64    `json:"failover_p50_ms"`
	FailoverMax    int64    `json:"failover_max_ms"`
}

func quorumMeasure() Measure {
	return Measure{
		Name:    "quorum",
		Short:   "Randomised runs of the replicated log under faults",
		Example: "  standin measure quorum --seeds 0-999",
		Build:   buildQuorum,
	}
}

func buildQuorum(c *cobra.Command) func(io.Writer) (any, error) {
	seeds := c.Flags().String("seeds", "0-199", "first and last seed, A-B")
	steps := c.Flags().Int("steps", 2000, "steps under faults in each run")
	return func(out io.Writer) (any, error) {
		var first, last uint64
		if _, err := fmt.Sscanf(*seeds, "%d-%d", &first, &last); err != nil {
			return nil, err
		}
		return runQuorum(out, first, last, *steps), nil
	}
}

func runQuorum(out io.Writer, first, last uint64, steps int) QuorumResult {
	result := QuorumResult{Seeds: fmt.Sprintf("%d-%d", first, last), Failed: []string{}}
	var failovers []int64
	for seed := first; seed <= last; seed++ {
		r := trial.Run(trial.Options{Seed: seed, Steps: steps})
		result.add(r)
		if r.Failover > 0 {
			failovers = append(failovers, int64(r.Failover))
		}
		if r.Violation != "" {
			fmt.Fprintf(out, "seed %d: %s\n", seed, r.Violation)
		}
	}
	if len(failovers) > 0 {
		slices.Sort(failovers)
		result.FailoverP50 = failovers[len(failovers)/2]
		result.FailoverMax = failovers[len(failovers)-1]
	}
	fmt.Fprintf(out, "%d runs, %d violations, leader loss to next change %d ms at most\n", last-first+1, result.Violations, result.FailoverMax)
	return result
}

func (q *QuorumResult) add(r trial.Report) {
	q.Steps += r.Steps
	q.Entries += r.Entries
	q.Reads += r.Reads
	q.Snapshots += r.Snapshots
	q.Installs += r.Installs
	q.TruncatedTails += r.TailCuts
	q.RefusedDamaged += r.UnusableFolders
	q.LostFolders += r.DataLosses
	q.Changes += r.Changes
	if r.Violation != "" {
		q.Violations++
		q.Failed = append(q.Failed, fmt.Sprintf("%d: %s", r.Seed, r.Violation))
	}
}
