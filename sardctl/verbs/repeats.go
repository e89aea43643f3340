package verbs

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/spend"
)

// defaultWindow is the span over which retries are added up, in seconds. The entry
// nodes' setting has the same default.
const defaultWindow = 10

func repeatsVerb() Verb {
	return Verb{
		Use:     "repeats LOG...",
		Section: SectionSite,
		Short:   "Show from logs how many requests all entry nodes sent again",
		Long: `Reads log files of entry nodes, - for the standard input, and prints for each service the
window in which most requests were sent again, added up over all nodes and all their
restarts: callers' requests, repeats, and how many repeats the limit denied. Nodes that
neither sent nor denied a repeat in that window have not logged their requests, which are
left out. It contacts no node.`,
		Examples: []string{
			"sardctl repeats entry-*.log",
			"sardctl repeats --window 30 entry-*.log",
		},
		Args: cobra.MinimumNArgs(1),
		Flags: func(f *pflag.FlagSet) {
			f.Int64("window", defaultWindow, "span over which repeats are added up, in seconds")
		},
		Run: runRepeats,
	}
}

func runRepeats(c *Call) error {
	window, err := c.flags.GetInt64("window")
	if err != nil {
		return err
	}
	reader := spend.NewReader()
	if err := c.readLogs(reader); err != nil {
		return err
	}
	report := spend.NewReport(reader, sardine.Millis(max(window, 1))*sardine.Second)
	c.printf("%d lines\n", reader.Lines())
	if reader.Unparsed() > 0 {
		c.printf("%d lines tell of repeats but can't be read\n", reader.Unparsed())
	}
	var rows [][]string
	for _, w := range report.Services() {
		rows = append(rows, []string{
			w.Service(), strconv.Itoa(w.Requests()), strconv.Itoa(w.Retries()), strconv.Itoa(w.Denied()),
			strconv.Itoa(w.Nodes()), time.UnixMilli(int64(w.End())).UTC().Format("15:04:05"),
		})
	}
	if len(rows) > 0 {
		c.printf("\n")
		c.printTable("repeats", []string{"service", "requests", "repeats", "denied", "nodes", "until"}, rows)
	}
	return nil
}
