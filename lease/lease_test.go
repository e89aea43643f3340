package lease

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// TestLedgerScripts runs the scripts in testdata, one ledger call a line. The serving
// lease of 1000 ms and the holding lease of 10000 ms count as 1030 ms and 10120 ms,
// with the allowance for drift.
func TestLedgerScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, file string) {
		l := New(WithServing(1000), WithHolding(10000))
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			var b strings.Builder
			for line := range strings.Lines(d.Input) {
				fmt.Fprintf(&b, "%s: %s\n", strings.TrimSpace(line), runCall(t, l, line))
			}
			return b.String()
		})
	})
}

func runCall(t *testing.T, l *Ledger, line string) string {
	var verb, node string
	var now sardine.Millis
	var a, b uint64
	n, _ := fmt.Sscan(line, &verb, &now, &node, &a, &b)
	if n < 2 {
		t.Fatalf("bad line %q", line)
	}
	entry := state.JoinEntry{Node: sardine.NodeID(node), Incarnation: sardine.Incarnation(a), Address: fmt.Sprint(b)}
	switch verb {
	case "lead":
		l.Lead(now, a, b, []state.JoinEntry{{Node: "e1", Incarnation: 1}, {Node: "e2", Incarnation: 1}})
	case "resign":
		l.Resign()
	case "join":
		l.RecordJoin(entry)
	case "left":
		l.RecordLeave(entry.Node, entry.Incarnation)
	case "mayjoin":
		return fmt.Sprint(l.MayJoin(now, entry))
	case "mayremove":
		return fmt.Sprint(l.MayRemove(now, entry.Node))
	case "grant":
		g, err := l.Grant(now, entry.Node, entry.Incarnation, 1, b)
		if err != nil {
			return codes.Of(err).Name()
		}
		return fmt.Sprintf("serving %d holding %d floor %d", g.Serving, g.Holding, g.Floor)
	case "inforce":
		return fmt.Sprintf("%+v", l.InForce(now, a))
	case "inforceteam":
		return fmt.Sprintf("%+v", l.InForceTeam(now, sardine.Team(node), a))
	case "changed":
		l.RecordRevision(sardine.Team(node), a, sardine.CutPolicy(b))
	case "missing":
		return fmt.Sprint(l.Missing(now))
	case "lowest":
		return fmt.Sprint(l.LowestApplied(now))
	default:
		t.Fatalf("unknown verb %s", verb)
	}
	return "ok"
}
