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

// entryNode is one entry node: its failure counter and its copy of the state,
// which may lag.
type entryNode struct {
	view     *state.Machine
	counter  *FailureCounter
	segments *SegmentCounter
	proposed []state.Strike // strikes that may not be committed yet
}

// cluster is several nodes with one log.
type cluster struct {
	now         sardine.Millis
	leader      *state.Machine
	log         []state.Command
	times       []state.WallTime // of the log's entries, by the leader's clock
	nodes       map[string]*entryNode
	uncommitted []func()
}

func newCluster() *cluster {
	w := &cluster{leader: state.NewMachine(), nodes: map[string]*entryNode{}}
	for _, name := range []string{"e1", "e2", "e3"} {
		w.apply(state.JoinEntry{Node: sardine.NodeID(name), Incarnation: 1})
		w.start(name)
	}
	return w
}

// start gives a node a new failure counter, as a restart does, and applies the whole log.
func (w *cluster) start(name string) {
	view := state.NewMachine()
	w.nodes[name] = &entryNode{view: view, counter: NewFailureCounter(view), segments: NewSegmentCounter(view)}
	w.follow(name)
}

func (w *cluster) apply(c state.Command) state.Result {
	w.log, w.times = append(w.log, c), append(w.times, state.WallTime(w.now))
	return w.leader.Apply(uint64(len(w.log)), state.WallTime(w.now), c)
}

func (w *cluster) follow(name string) {
	d := w.nodes[name]
	for i := d.view.Index(); i < uint64(len(w.log)); i++ {
		if state.SentToEntries(w.log[i]) {
			d.view.Apply(i+1, w.times[i], w.log[i])
		} else {
			d.view.Skip(i + 1)
		}
	}
	d.counter.Prune()
	d.segments.Prune()
}

func fingerprintOf(name string) Fingerprint {
	return FingerprintOf([]byte(name))
}

// step runs one line, "NODE VERB REQUEST" with arguments or a command without a
// node, and returns its output.
func (w *cluster) step(line string) string {
	words := strings.Fields(line)
	switch words[0] {
	case "after":
		var length int
		mustScan(line, "after %d ms", &length)
		w.now += sardine.Millis(length)
		return ""
	case "log": // commits what the nodes have proposed
		for _, commit := range w.uncommitted {
			commit()
		}
		w.uncommitted = nil
		return ""
	case "all": // nodes apply the log
		for name := range w.nodes {
			w.follow(name)
		}
		return ""
	}
	d := w.nodes[words[0]]
	switch words[1] {
	case "asks":
		return w.ask(words[0], d, words[2], words[3:])
	case "survived":
		w.survived(d, words[2])
	case "ended":
		return w.ended(d, words)
	case "is": // "is refused by the log"
		for _, s := range d.proposed {
			d.counter.StrikeCommitted(s, 0)
		}
		d.proposed, w.uncommitted = nil, nil
	case "restarts":
		w.start(words[0])
	}
	return ""
}

// ask runs "NODE asks REQUEST [and lost TARGET]".
func (w *cluster) ask(name string, d *entryNode, request string, rest []string) string {
	f := fingerprintOf(request)
	var own []state.TargetFailure
	if len(rest) == 3 {
		own = append(own, state.TargetFailure{VM: sardine.VMID(rest[2]), Incarnation: 1})
	}
	switch d.counter.Check(w.now, f, own...) {
	case Allowed:
		return "allowed"
	case Trial:
		if w.apply(d.counter.TrialClaim(sardine.NodeID(name), 1, f)).Verdict == state.ClaimGranted {
			return "trial"
		}
		return "refused, another node has the trial"
	default:
		return "refused"
	}
}

func (w *cluster) survived(d *entryNode, request string) {
	release, struck := d.counter.Completed(w.now, fingerprintOf(request))
	if struck {
		w.uncommitted = append(w.uncommitted, func() { d.counter.ReleaseCommitted(release, w.apply(release).Index) })
	}
}

// ended runs "NODE ended REQUEST under TARGET [since MS]".
func (w *cluster) ended(d *entryNode, words []string) string {
	l := Loss{Fingerprint: fingerprintOf(words[2]), Failure: state.TargetFailure{VM: sardine.VMID(words[4]), Incarnation: 1}, At: w.now}
	if len(words) > 6 {
		var ago int
		mustScan(words[6], "%d", &ago)
		l.At -= sardine.Millis(ago)
	}
	s, counts := d.counter.CountLoss(w.now, l)
	if !counts {
		return "does not count"
	}
	d.proposed = append(d.proposed, s)
	w.uncommitted = append(w.uncommitted, func() { d.counter.StrikeCommitted(s, w.apply(s).Index) })
	return fmt.Sprintf("known %d", d.counter.Count(l.Fingerprint))
}

func mustScan(text, format string, to ...any) {
	if _, err := fmt.Sscanf(text, format, to...); err != nil {
		panic(fmt.Sprintf("%q: %v", text, err))
	}
}

func TestFailureCounter(t *testing.T) {
	datadriven.Walk(t, "testdata/ledger", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			w := newCluster()
			w.now = 1000
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				if output := w.step(line); output != "" {
					fmt.Fprintf(&out, "%s: %s\n", line, output)
				}
			}
			return out.String()
		})
	})
}

// TestFailureCounterIsBounded guards against memory that grows with the number of
// different requests.
func TestFailureCounterIsBounded(t *testing.T) {
	w := newCluster()
	l := w.nodes["e1"].counter
	for i := range 3 * maxCompleted {
		w.now++
		l.Completed(w.now, fingerprintOf(fmt.Sprint("sound", i)))
		l.CountLoss(w.now, Loss{Fingerprint: fingerprintOf(fmt.Sprint("lost", i)), Failure: state.TargetFailure{VM: "t"}, At: w.now})
	}
	require.LessOrEqual(t, len(l.completed.current)+len(l.completed.previous), 2*maxCompleted)
	require.Equal(t, maxPending, l.pendingCount)
	require.Len(t, l.pending, maxPending)
}

// BenchmarkFailureCounter measures the cost per request: fingerprint, Check and Completed.
func BenchmarkFailureCounter(b *testing.B) {
	w := newCluster()
	l := w.nodes["e1"].counter
	body := make([]byte, 2000)
	for i := 0; b.Loop(); i++ {
		body[i%len(body)]++
		f := FingerprintOf(body, "host", "POST", "/path/of/a/request", "workspace")
		l.Check(1000, f)
		l.Completed(1000, f)
	}
}
