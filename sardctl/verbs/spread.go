package verbs

import (
	"strconv"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/reach"
)

func spreadVerb() Verb {
	return Verb{
		Use:     "spread LOG...",
		Section: SectionSite,
		Short:   "Show from logs how long layouts took to reach every entry node",
		Long: `Reads log files of control nodes and entry nodes, - for the standard input, and prints
for each accepted layout the time in ms until the first, the median and the slowest
entry node served by it or a later one, and the nodes that never did. Nodes that started
in between are left out. Then it lists the nodes that served by settings which no leader
had confirmed as current for longer than a relay may forward them, and for how long.
Times are those of the nodes' clocks. It contacts no node.`,
		Examples: []string{
			"sardctl spread control-*.log entry-*.log",
			"sardctl spread --over 2500 control-*.log entry-*.log",
		},
		Args: cobra.MinimumNArgs(1),
		Flags: func(f *pflag.FlagSet) {
			f.Int64("over", 0, "only layouts whose slowest node took longer, in ms")
		},
		Run: runSpread,
	}
}

func runSpread(c *Call) error {
	over, err := c.flags.GetInt64("over")
	if err != nil {
		return err
	}
	reader := reach.NewReader()
	if err := c.readLogs(reader); err != nil {
		return err
	}
	report := reach.NewReport(reader)
	c.printf("%d layouts accepted in %d lines\n", len(report.Changes()), reader.Lines())
	if reader.Unparsed() > 0 {
		c.printf("%d lines tell of settings but can't be read\n", reader.Unparsed())
	}
	if slowest, found := report.Slowest(); found {
		c.printf("slowest: number %d on %s after %d ms\n", slowest.Number(), orNone(slowest.Slowest().Node()), slowest.Slowest().Duration())
	}
	if rows := changeRows(report.Changes(), sardine.Millis(over)); len(rows) > 0 {
		c.printf("\n")
		c.printTable("spread", []string{"number", "nodes", "first", "median", "slowest", "on", "never"}, rows)
	}
	if rows := staleRows(report.Stale()); len(rows) > 0 {
		c.printf("\n")
		c.printTable("stale", []string{"stale", "ms"}, rows)
	}
	return nil
}

func changeRows(changes []reach.Change, over sardine.Millis) [][]string {
	var rows [][]string
	for _, x := range changes {
		if x.Slowest().Duration() <= over && over > 0 && len(x.Missing()) == 0 {
			continue
		}
		rows = append(rows, []string{
			strconv.FormatUint(x.Number(), 10), strconv.Itoa(x.Nodes()), millis(x.First().Duration()), millis(x.Median().Duration()),
			millis(x.Slowest().Duration()), orNone(x.Slowest().Node()), orNone(strings.Join(x.Missing(), " ")),
		})
	}
	return rows
}

func staleRows(spans []reach.StalePeriod) [][]string {
	var rows [][]string
	for _, s := range spans {
		lasted := "not renewed"
		if s.Duration() > 0 {
			lasted = millis(s.Duration())
		}
		rows = append(rows, []string{s.Node(), lasted})
	}
	return rows
}

func millis(d sardine.Millis) string {
	return strconv.FormatInt(int64(d), 10)
}
