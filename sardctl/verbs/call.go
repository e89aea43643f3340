package verbs

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/codes"
)

// Call is one run of a command.
type Call struct {
	session *Session
	flags   *pflag.FlagSet
	args    []string
	ctx     context.Context
}

func newCall(s *Session, c *cobra.Command, args []string) *Call {
	ctx := c.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	return &Call{session: s, flags: c.Flags(), args: args, ctx: ctx}
}

func (c *Call) stringFlag(flag string) string {
	value, _ := c.flags.GetString(flag) // the command defined it
	return value
}

func (c *Call) uintFlag(flag string) uint64 {
	value, _ := c.flags.GetUint64(flag) // the command defined it
	return value
}

func (c *Call) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.session.out, format, args...)
}

// infof writes to the error stream, so that JSON output stays valid.
func (c *Call) infof(format string, args ...any) {
	_, _ = fmt.Fprintf(c.session.errs, format, args...)
}

// printJSON writes v, indented.
func (c *Call) printJSON(v any) error {
	e := json.NewEncoder(c.session.out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable writes rows below a header, or one line if there are no rows.
func (c *Call) printTable(what string, header []string, rows [][]string) {
	if len(rows) == 0 {
		c.printf("no %s\n", what)
		return
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleDefault)
	t.Style().Options = table.OptionsNoBordersAndSeparators
	t.Style().Format.Header = text.FormatDefault
	t.AppendHeader(tableRow(header))
	for _, r := range rows {
		t.AppendRow(tableRow(r))
	}
	for line := range strings.Lines(t.Render() + "\n") {
		c.printf("%s\n", strings.TrimSpace(line))
	}
}

func tableRow(cells []string) table.Row {
	row := make(table.Row, 0, len(cells))
	for _, cell := range cells {
		if cell == "" {
			cell = "-"
		}
		row = append(row, cell)
	}
	return row
}

// confirm asks the user before something is destroyed, unless --yes is given.
func (c *Call) confirm(question string) error {
	if c.session.yes {
		return nil
	}
	c.infof("%s Type yes to go on: ", question)
	answer, _ := bufio.NewReader(c.session.in).ReadString('\n')
	if strings.TrimSpace(answer) == "yes" {
		return nil
	}
	c.infof("\n")
	return &exitError{exit: ExitNotConfirmed, text: "not confirmed, nothing was changed; use --yes to go on without asking"}
}

// author returns the name recorded in the history.
func (c *Call) author() string {
	if c.session.author != "" {
		return c.session.author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// readInput returns the text of the named file, or of the standard input for
// "-".
func (c *Call) readInput(name string) (string, error) {
	if name != "-" {
		content, err := os.ReadFile(name)
		if err != nil {
			return "", usageError(err, "--file")
		}
		return string(content), nil
	}
	var b strings.Builder
	if _, err := bufio.NewReader(c.session.in).WriteTo(&b); err != nil {
		return "", usageError(err, "standard input")
	}
	return b.String(), nil
}

// withTimeout returns a context that ends after --timeout.
func (c *Call) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.ctx, c.session.timeout)
}

// controls returns the operators' addresses of the control nodes.
func (c *Call) controls() ([]string, error) {
	if len(c.session.controls) > 0 {
		return c.session.controls, nil
	}
	if listed := c.session.getenv(EnvControls); listed != "" {
		return strings.Split(listed, ","), nil
	}
	return nil, codes.New(codes.UsageError, "no control node is known, use --controls host:port,... or set %s", EnvControls)
}
