package paths

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// TestLookups runs the lookups of testdata.
func TestLookups(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var table *Table
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "table":
				table = readTable(t, d.Input)
				return ""
			case "find":
				var out strings.Builder
				for _, line := range strings.Split(d.Input, "\n") {
					fmt.Fprintf(&out, "%s: %s\n", line, lookup(table, strings.Fields(line)))
				}
				return out.String()
			default:
				t.Fatalf("unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}

// readTable parses lines of the forms "route NAME HOST PREFIX [public]" and
// "key WORKSPACE KEY...".
func readTable(t *testing.T, text string) *Table {
	var l sardine.Layout
	for _, line := range strings.Split(text, "\n") {
		f := strings.Fields(line)
		switch f[0] {
		case "route":
			l.Routes = append(l.Routes, sardine.Route{Name: f[1], Host: f[2], Prefix: f[3], Public: len(f) > 4})
		case "key":
			l.Tenants = append(l.Tenants, sardine.KeyTenant{Name: sardine.Workspace(f[1]), Keys: f[2:]})
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	return New(l)
}

// lookup returns the route and workspace of a request HOST PATH [KEY].
func lookup(table *Table, f []string) string {
	r, err := table.Route(f[0], f[1])
	if err != nil {
		return codes.Of(err).Name()
	}
	key := ""
	if len(f) > 2 {
		key = f[2]
	}
	k, err := table.Tenant(r, key)
	switch {
	case err != nil:
		return r.Name + " " + codes.Of(err).Name()
	case k == nil:
		return r.Name + " nobody"
	default:
		return r.Name + " " + string(k.Name)
	}
}

func TestSplitFollowsItsWeights(t *testing.T) {
	r := &sardine.Route{Split: []sardine.WeightedService{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	counts := map[sardine.ServiceName]int{}
	for i := range 1000 {
		counts[PickService(r, float64(i)/1000)]++
	}
	require.Equal(t, map[sardine.ServiceName]int{"a": 900, "b": 100}, counts)
}
