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

// desk is one entry node: its ledger and the log as far as it has followed it.
type desk struct {
	view     *state.Machine
	ledger   *Ledger
	proposed []state.Strike // that the log may not have yet
}

// ledgers runs the ledgers of several nodes on one log.
type ledgers struct {
	now   sardine.Millis
	truth *state.Machine
	log   []state.Command
	desks map[string]*desk
	wait  []func()
}

func newLedgers() *ledgers {
	w := &ledgers{truth: state.NewMachine(), desks: map[string]*desk{}}
	for _, name := range []string{"e1", "e2", "e3"} {
		w.apply(state.JoinEntry{Node: sardine.NodeID(name), Incarnation: 1})
		w.start(name)
	}
	return w
}

// start gives a node a new ledger, as a restart does.
func (w *ledgers) start(name string) {
	view := state.NewMachine()
	w.desks[name] = &desk{view: view, ledger: NewLedger(view)}
	w.follow(name)
}

func (w *ledgers) apply(c state.Command) state.Result {
	w.log = append(w.log, c)
	return w.truth.Apply(uint64(len(w.log)), state.WallTime(w.now), c)
}

func (w *ledgers) follow(name string) {
	d := w.desks[name]
	for i := d.view.Index(); i < uint64(len(w.log)); i++ {
		if state.Spread(w.log[i]) {
			d.view.Apply(i+1, state.WallTime(w.now), w.log[i])
		} else {
			d.view.Skip(i + 1)
		}
	}
	d.ledger.Tick()
}

func markOf(name string) Fingerprint {
	return Of([]byte(name))
}

// step runs one line: NODE VERB REQUEST with arguments.
func (w *ledgers) step(line string) string {
	words := strings.Fields(line)
	switch words[0] {
	case "after":
		var length int
		mustScan(line, "after %d ms", &length)
		w.now += sardine.Millis(length)
		return ""
	case "log": // takes what nodes have proposed
		for _, take := range w.wait {
			take()
		}
		w.wait = nil
		return ""
	case "all": // follow
		for name := range w.desks {
			w.follow(name)
		}
		return ""
	}
	d := w.desks[words[0]]
	switch words[1] {
	case "asks":
		return w.ask(words[0], d, words[2], words[3:])
	case "survived":
		w.survived(d, words[2])
	case "ended":
		return w.ended(d, words)
	case "is": // refused by the log
		for _, s := range d.proposed {
			d.ledger.Struck(s, 0)
		}
		d.proposed, w.wait = nil, nil
	case "restarts":
		w.start(words[0])
	}
	return ""
}

// ask takes "NODE asks REQUEST and lost TARGET".
func (w *ledgers) ask(name string, d *desk, request string, rest []string) string {
	f := markOf(request)
	var own []state.End
	if len(rest) == 3 {
		own = append(own, state.End{VM: sardine.VMID(rest[2]), Incarnation: 1})
	}
	switch d.ledger.Ask(w.now, f, own...) {
	case Allowed:
		return "allowed"
	case Trial:
		if w.apply(d.ledger.TrialClaim(sardine.NodeID(name), 1, f)).Verdict == state.ClaimGranted {
			return "trial"
		}
		return "refused, another node has the trial"
	default:
		return "refused"
	}
}

func (w *ledgers) survived(d *desk, request string) {
	release, struck := d.ledger.Survived(w.now, markOf(request))
	if struck {
		w.wait = append(w.wait, func() { d.ledger.Released(release, w.apply(release).Index) })
	}
}

// ended takes "NODE ended REQUEST under TARGET since MS".
func (w *ledgers) ended(d *desk, words []string) string {
	l := Loss{Fingerprint: markOf(words[2]), End: state.End{VM: sardine.VMID(words[4]), Incarnation: 1}, At: w.now}
	if len(words) > 6 {
		var ago int
		mustScan(words[6], "%d", &ago)
		l.At -= sardine.Millis(ago)
	}
	s, counts := d.ledger.Ended(w.now, l)
	if !counts {
		return "does not count"
	}
	d.proposed = append(d.proposed, s)
	w.wait = append(w.wait, func() { d.ledger.Struck(s, w.apply(s).Index) })
	return fmt.Sprintf("known %d", d.ledger.Known(l.Fingerprint))
}

func mustScan(text, format string, to ...any) {
	if _, err := fmt.Sscanf(text, format, to...); err != nil {
		panic(fmt.Sprintf("%q: %v", text, err))
	}
}

func TestLedger(t *testing.T) {
	datadriven.Walk(t, "testdata/ledger", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			w := newLedgers()
			w.now = 1000
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				if said := w.step(line); said != "" {
					fmt.Fprintf(&out, "%s: %s\n", line, said)
				}
			}
			return out.String()
		})
	})
}

// Guards against memory that grows with the number of different requests.
func TestLedgerIsBounded(t *testing.T) {
	w := newLedgers()
	l := w.desks["e1"].ledger
	for i := range 3 * soundMost {
		w.now++
		l.Survived(w.now, markOf(fmt.Sprint("sound", i)))
		l.Ended(w.now, Loss{Fingerprint: markOf(fmt.Sprint("lost", i)), End: state.End{VM: "t"}, At: w.now})
	}
	require.LessOrEqual(t, len(l.sound.now)+len(l.sound.before), 2*soundMost)
	require.Equal(t, pendingMost, l.waiting)
	require.Len(t, l.pending, pendingMost)
}

// BenchmarkLedger is what each request pays: its fingerprint, a question and a note
// of its end.
func BenchmarkLedger(b *testing.B) {
	w := newLedgers()
	l := w.desks["e1"].ledger
	body := make([]byte, 2000)
	for i := 0; b.Loop(); i++ {
		body[i%len(body)]++
		f := Of(body, "host", "POST", "/path/of/a/request", "workspace")
		l.Ask(1000, f)
		l.Survived(1000, f)
	}
}
