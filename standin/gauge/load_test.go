package gauge

import (
	"cmp"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

const (
	// loadSeeds is the number of seeds with which each pattern is run.
	loadSeeds = 3
	// minShareOfKind is the minimum ratio of the served share of a kind's
	// largest requests to that of the whole kind. The users require half.
	minShareOfKind = 0.5
	// minShareOfAll is the minimum ratio of a kind's served share to that of
	// all requests.
	minShareOfAll = 0.25
)

// TestLargeRequestsAreNotStarved guards against serving small requests at the
// expense of large ones: the served share of the largest tenth of a kind, and of
// the fifth below it, must be at least half of that of the kind.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	runLoads(t, "testdata/load")
}

// TestLargeRequestsAreNotStarvedByOverload guards against starved large requests
// when groups are lost and the load is at least 1.5 times the capacity of the
// others: engine iterations then take so long that the longest answers do not end
// before their callers' timeouts.
func TestLargeRequestsAreNotStarvedByOverload(t *testing.T) {
	runLoads(t, "testdata/overload")
}

// runLoads prints for each load of a testdata file which kinds are starved.
func runLoads(t *testing.T, file string) {
	datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
		f := &loadFlags{pattern: "long", seconds: 40, nodes: 69, groups: 6, every: 3000, away: 8000, rate: 1}
		for name, field := range map[string]*int{"nodes": &f.nodes, "groups": &f.groups, "every": &f.every, "away": &f.away} {
			if d.HasArg(name) {
				d.ScanArgs(t, name, field)
			}
		}
		if d.HasArg("pattern") {
			d.ScanArgs(t, "pattern", &f.pattern)
		}
		if d.HasArg("rate") {
			var text string
			d.ScanArgs(t, "rate", &text)
			_, err := fmt.Sscan(text, &f.rate)
			require.NoError(t, err)
		}
		return starvation(f)
	})
}

// starvation returns a line for each kind that says whether it or its largest
// requests are served too rarely, with the results of each seed for which they
// are.
func starvation(f *loadFlags) string {
	pattern := loadPatterns[f.pattern](f)
	starved := make([]string, len(pattern.kinds))
	for seed := range uint64(loadSeeds) {
		run := newLoadRun(pattern, seed+1)
		run.run(sardine.Millis(f.seconds) * sardine.Second)
		result := run.result()
		for i, k := range result.Kinds {
			if k.LargestShare() < minShareOfKind || k.Served < minShareOfAll*result.Served() {
				starved[i] += fmt.Sprintf(" seed %d: %+v", seed+1, k)
			}
		}
	}
	var out strings.Builder
	for i, k := range pattern.kinds {
		fmt.Fprintf(&out, "%s:%s\n", k.name, cmp.Or(starved[i], " not starved"))
	}
	return out.String()
}
