package verbs

import (
	"encoding/csv"
	"io"
	"os"
	"strconv"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/loss"
)

func lossesVerb() Verb {
	return Verb{
		Use:     "losses LOG...",
		Section: SectionSite,
		Short:   "Show from entry nodes' logs where requests were lost",
		Long: `Reads log files of any number of entry nodes, - for the standard input, and counts
the requests that were refused, failed or left, or answered late: by route, by second
and by target, with the cause of each. Where the logged requests have token counts, a
table by size shows for each route the outcomes of its largest tenth, of the next fifth
and of the rest. Only some served requests are logged, so that their number is an
estimate. A request that a caller sends again counts as a new one. It contacts no node.`,
		Examples: []string{
			"sardctl losses entry-1.log entry-2.log",
			"sardctl losses --plot losses.svg entry-*.log",
			"sardctl losses --csv entry-*.log > losses.csv",
		},
		Args: cobra.MinimumNArgs(1),
		Flags: func(f *pflag.FlagSet) {
			f.Bool("csv", false, "write one line for each route, second, target and node as CSV")
			f.String("plot", "", "also write a plot over time to this SVG file")
		},
		Run: runLosses,
	}
}

// lossTable is one of the tables that losses prints.
type lossTable struct {
	name   string
	counts []loss.Count
}

func runLosses(c *Call) error {
	reader := loss.NewReader()
	if err := c.readLogs(reader); err != nil {
		return err
	}
	report := loss.NewReport(reader.Records())
	if err := plotLosses(report, c.stringFlag("plot")); err != nil {
		return err
	}
	tables := []lossTable{
		{"route", report.ByRoute()},
		{"second", report.BySecond()},
		{"target", report.ByTarget()},
		{"node", report.ByNode()},
	}
	if csv, err := c.flags.GetBool("csv"); err != nil || csv {
		return c.printLossCSV(tables, report.Causes())
	}
	c.printf("%d requests lost in %d lines, %d of them answered late, %d unexplained\n",
		report.Total(), reader.Lines(), report.Late(), report.Unexplained())
	if reader.Unparsed() > 0 {
		c.printf("%d lines tell of a loss but can't be read\n", reader.Unparsed())
	}
	for _, t := range tables {
		c.printf("\n")
		c.printTable("losses", lossHeader(t.name, report.Causes()), lossRows(t.counts, report.Causes()))
	}
	c.printSizes(loss.BySize(reader.Records(), reader.Served()))
	return nil
}

// printSizes prints the outcomes of requests by size.
func (c *Call) printSizes(parts []loss.SizeClass) {
	if len(parts) == 0 {
		return
	}
	rounded := func(n float64) string { return strconv.FormatFloat(n, 'f', 0, 64) }
	var rows [][]string
	for _, p := range parts {
		if p.Requests() == 0 {
			continue
		}
		rows = append(rows, []string{
			p.Route(), p.Name(), rounded(p.Requests()), rounded(p.InTime()), rounded(p.Late()), rounded(p.Refused()),
			rounded(p.Failed()), rounded(p.Left()), strconv.FormatFloat(p.Served(), 'f', 2, 64),
		})
	}
	c.printf("\n")
	c.printTable("sizes", []string{"route", "size", "asked", "in_time", "late", "refused", "failed", "left", "served"}, rows)
}

// logReader reads the lines of one log.
type logReader interface {
	Read(from io.Reader) error
}

// readLogs reads all files that the command names.
func (c *Call) readLogs(reader logReader) error {
	for _, name := range c.args {
		if err := c.readLog(reader, name); err != nil {
			return err
		}
	}
	return nil
}

// readLog reads one file, or the standard input for -.
func (c *Call) readLog(reader logReader, name string) error {
	if name == "-" {
		return reader.Read(c.session.in)
	}
	file, err := os.Open(name)
	if err != nil {
		return codes.Wrap(codes.UsageError, err, "the log can't be read")
	}
	defer file.Close()
	return reader.Read(file)
}

func plotLosses(report *loss.Report, name string) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return codes.Wrap(codes.UsageError, err, "the plot can't be written")
	}
	if err := report.Plot(file); err != nil {
		_ = file.Close() // the first error counts
		return codes.Wrap(codes.UsageError, err, "the plot can't be written")
	}
	return file.Close()
}

func lossHeader(name string, causes []loss.Cause) []string {
	header := []string{name, "lost"}
	for _, cause := range causes {
		header = append(header, string(cause))
	}
	return header
}

func lossRows(counts []loss.Count, causes []loss.Cause) [][]string {
	var rows [][]string
	for _, count := range counts {
		if count.Total() == 0 {
			continue
		}
		row := []string{orNone(count.Name()), strconv.Itoa(count.Total())}
		for _, cause := range causes {
			row = append(row, strconv.Itoa(count.Of(cause)))
		}
		rows = append(rows, row)
	}
	return rows
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}

// printLossCSV writes all tables as one, with the table's name in the first column.
func (c *Call) printLossCSV(tables []lossTable, causes []loss.Cause) error {
	w := csv.NewWriter(c.session.out)
	if err := w.Write(append([]string{"by"}, lossHeader("name", causes)...)); err != nil {
		return err
	}
	for _, t := range tables {
		for _, row := range lossRows(t.counts, causes) {
			if err := w.Write(append([]string{t.name}, row...)); err != nil {
				return err
			}
		}
	}
	w.Flush()
	return w.Error()
}
