package gauge

import (
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
	datadriven.RunTest(t, "testdata/load", func(t *testing.T, d *datadriven.TestData) string {
		f := &loadFlags{seconds: 40, groups: 6, every: 3000, away: 8000, rate: 1}
		for name, field := range map[string]*int{"groups": &f.groups, "every": &f.every, "away": &f.away} {
			if d.HasArg(name) {
				d.ScanArgs(t, name, field)
			}
		}
		if d.HasArg("rate") {
			var text string
			d.ScanArgs(t, "rate", &text)
			_, err := fmt.Sscan(text, &f.rate)
			require.NoError(t, err)
		}
		var out strings.Builder
		for i, k := range longPrompts(f).kinds {
			fmt.Fprintf(&out, "%s: %s\n", k.name, starvation(f, i))
		}
		return out.String()
	})
}

// starvation tells whether a kind, or its largest requests, are served too rarely,
// with the figures of each seed for which they are.
func starvation(f *loadFlags, kind int) string {
	var starved []string
	for seed := range uint64(loadSeeds) {
		run := newLoadRun(longPrompts(f), seed+1)
		run.run(sardine.Millis(f.seconds) * sardine.Second)
		result := run.result()
		k := result.Kinds[kind]
		if k.Starved() < leastOfKind || k.Served < leastOfAll*result.Served() {
			starved = append(starved, fmt.Sprintf("seed %d: %+v", seed+1, k))
		}
	}
	if len(starved) == 0 {
		return "not starved"
	}
	return strings.Join(starved, "; ")
}
