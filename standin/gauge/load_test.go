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
	// loadSeeds is the number of seeds that each pattern is run with.
	loadSeeds = 3
	// leastOfKind is the least part of a kind's served share that its largest
	// requests must get: half of it, as the users' gate has it.
	leastOfKind = 0.5
	// leastOfAll is the least part of all requests' served share that a kind must get.
	leastOfAll = 0.25
)

// TestLargeRequestsAreNotStarved guards against the incident SHORT: of the largest
// tenth of a kind of request fewer than half as many were served as of all.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	runLoads(t, "testdata/load")
}

// TestLargeRequestsAreNotStarvedByOverload guards against the incident SHORT where groups
// are lost and the load is 1.5 times and more what the others can do: their passes become
// so long that the longest answers don't end in their callers' time.
func TestLargeRequestsAreNotStarvedByOverload(t *testing.T) {
	runLoads(t, "testdata/overload")
}

// runLoads prints for each load of a file which kinds are starved.
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

// starvation tells of each kind whether it, or its largest requests, are served too
// rarely, with the figures of each seed for which they are.
func starvation(f *loadFlags) string {
	pattern := loadPatterns[f.pattern](f)
	starved := make([]string, len(pattern.kinds))
	for seed := range uint64(loadSeeds) {
		run := newLoadRun(pattern, seed+1)
		run.run(sardine.Millis(f.seconds) * sardine.Second)
		result := run.result()
		for i, k := range result.Kinds {
			if k.LargestShare() < leastOfKind || k.Served < leastOfAll*result.Served() {
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
