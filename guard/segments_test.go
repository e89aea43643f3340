package guard

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

const testService sardine.ServiceName = "team/model"

// segmentsOf returns the segments of a list like "a,d" at one deployment. A list like
// "a,d@NAME" is of a request to the deployment NAME, with all that is judged for it.
func segmentsOf(list string) []Segment {
	list, service, named := strings.Cut(list, "@")
	var ids []sardine.SegmentID
	var all []Segment
	for id := range strings.SplitSeq(list, ",") {
		ids = append(ids, sardine.SegmentID(id))
		all = append(all, newSegment(testService, sardine.SegmentID(id)))
	}
	if named {
		return SegmentsOf(sardine.ServiceName(service), ids)
	}
	return all
}

// segmentStep runs one line, "NODE VERB SEGMENT,SEGMENT" or a line of step.
func (w *cluster) segmentStep(line string) string {
	words := strings.Fields(line)
	if len(words) < 3 || w.nodes[words[0]] == nil {
		return w.step(line)
	}
	d, segments := w.nodes[words[0]], segmentsOf(words[2])
	switch words[1] {
	case "asks":
		return w.askSegments(words[0], d, segments)
	case "worked":
		for _, release := range d.segments.Proven(w.now, testService, segments) {
			w.uncommitted = append(w.uncommitted, func() { d.segments.ReleaseCommitted(release, w.apply(release).Index) })
		}
	case "got": // "NODE got SEGMENTS 30 times"
		var count int
		mustScan(words[3], "%d", &count)
		for range count {
			d.segments.Arrived(testService, segments)
		}
	case "lost":
		return w.lostSegments(d, segments, words)
	}
	return ""
}

// askSegments claims what the verdict requires, as a request does.
func (w *cluster) askSegments(name string, d *entryNode, segments []Segment) string {
	v := d.segments.Check(w.now, testService, segments)
	switch v.Verdict {
	case Allowed:
		return "allowed"
	case Refused:
		return fmt.Sprintf("refused for %s", v.Segment.ID)
	case Wait:
		return fmt.Sprintf("waits for %s", v.Segment.ID)
	}
	for _, c := range v.Claims {
		if w.apply(d.segments.Claim(w.now, sardine.NodeID(name), 1, c)).Verdict != state.ClaimGranted {
			return fmt.Sprintf("waits for %s, which another node probes", c.segment.ID)
		}
	}
	if v.Verdict == Trial {
		return "trial"
	}
	return "probe"
}

// lostSegments runs "NODE lost SEGMENTS under TARGET [after N events]".
func (w *cluster) lostSegments(d *entryNode, segments []Segment, words []string) string {
	l := Loss{Service: testService, Segments: segments, Failure: state.TargetFailure{VM: sardine.VMID(words[4]), Incarnation: 1}, At: w.now}
	if len(words) > 6 {
		mustScan(words[6], "%d", &l.Events)
	}
	var struck []string
	for _, s := range d.segments.CountLoss(w.now, l) {
		struck = append(struck, fmt.Sprintf("%s %d", s.Segment.ID, s.Known))
		w.uncommitted = append(w.uncommitted, func() { d.segments.StrikeCommitted(s.Strike, w.apply(s.Strike).Index) })
	}
	if struck == nil {
		return "no strike"
	}
	return "known: " + strings.Join(struck, ", ")
}

func TestSegmentCounter(t *testing.T) {
	datadriven.Walk(t, "testdata/segments", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			w := newCluster()
			w.now = 1000
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				if output := w.segmentStep(line); output != "" {
					fmt.Fprintf(&out, "%s: %s\n", line, output)
				}
			}
			return out.String()
		})
	})
}

// TestSegmentCounterIsBounded guards against memory that grows with the number of
// different segments.
func TestSegmentCounterIsBounded(t *testing.T) {
	w := newCluster()
	c := w.nodes["e1"].segments
	for i := range 3 * maxCompleted {
		w.now++
		sound, lost := segmentsOf(fmt.Sprint("sound", i)), segmentsOf(fmt.Sprint("lost", i))
		c.Arrived(testService, append(sound, lost...))
		c.Proven(w.now, testService, sound)
		c.CountLoss(w.now, Loss{Service: testService, Segments: lost, Failure: state.TargetFailure{VM: "t"}, At: w.now})
		c.Check(w.now, testService, lost)
	}
	u := c.usage.services[testService]
	require.LessOrEqual(t, len(u.current.segments)+len(u.previous.segments), 2*maxUsageSegments)
	require.LessOrEqual(t, len(c.failures.completed.current)+len(c.failures.completed.previous), 2*maxCompleted)
	require.LessOrEqual(t, len(c.suspects), maxPending)
}

// BenchmarkSegmentCounter measures the cost per request with three segments.
func BenchmarkSegmentCounter(b *testing.B) {
	c := newCluster().nodes["e1"].segments
	for b.Loop() {
		segments := SegmentsOf(testService, []sardine.SegmentID{"5c1e07a2", "91bd3f06", "e4402b7d"})
		c.Arrived(testService, segments)
		c.Check(1000, testService, segments)
		c.Proven(1000, testService, segments)
	}
}
