package verbs

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/catlog"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/sardctl/cases"
)

// page is one generated page of the documentation.
type page struct {
	name string // argument of sardctl docs
	file string
	text func() (string, error)
}

func pages() []page {
	return []page{
		{"codes", "CODES.md", func() (string, error) { return catlog.Codes(), nil }},
		{"events", "EVENTS.md", func() (string, error) { return catlog.Events(), nil }},
		{"commands", "sardctl.md", commandsPage},
	}
}

func docsVerb() Verb {
	return Verb{
		Use:     "docs codes|events|commands|write|check [FOLDER]",
		Section: SectionOther,
		Short:   "Print, write or check the generated pages of the docs",
		Long: `Prints one generated page, writes all of them to a folder, or checks that those
in a folder are up to date. Exit code 1 if they are not.`,
		Examples: []string{"sardctl docs codes", "sardctl docs write docs", "sardctl docs check docs"},
		Hidden:   true,
		Args:     cobra.RangeArgs(1, 2),
		Run:      runDocs,
	}
}

func runDocs(c *Call) error {
	for _, p := range pages() {
		if p.name == c.args[0] {
			text, err := p.text()
			c.printf("%s", text)
			return err
		}
	}
	if len(c.args) != 2 || c.args[0] != "write" && c.args[0] != "check" {
		return codes.New(codes.UsageError, "expected codes, events, commands, write FOLDER or check FOLDER")
	}
	outdated := 0
	for _, p := range pages() {
		current, err := c.writeOrComparePage(p, filepath.Join(c.args[1], p.file), c.args[0] == "write")
		if err != nil {
			return err
		}
		if !current {
			outdated++
		}
	}
	if outdated > 0 {
		return codes.New(codes.Internal, "%d page(s) are out of date, run: go run ./sardctl docs write docs", outdated)
	}
	return nil
}

// writeOrComparePage writes the page, or reports whether the file is up to date.
func (c *Call) writeOrComparePage(p page, path string, write bool) (bool, error) {
	text, err := p.text()
	if err != nil {
		return false, err
	}
	if write {
		return true, usageError(os.WriteFile(path, []byte(text), publicMode), "page")
	}
	found, err := os.ReadFile(path)
	if err != nil {
		return false, usageError(err, "page")
	}
	if string(found) == text {
		return true, nil
	}
	c.infof("%s\n%s", path, firstDifference(string(found), text))
	return false, nil
}

func firstDifference(found, wanted string) string {
	a, b := strings.Split(found, "\n"), strings.Split(wanted, "\n")
	for i := range max(len(a), len(b)) {
		left, right := lineAt(a, i), lineAt(b, i)
		if left != right {
			return fmt.Sprintf("line %d\n- %s\n+ %s\n", i+1, left, right)
		}
	}
	return ""
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return ""
}

func commandsPage() (string, error) {
	var b strings.Builder
	b.WriteString("# sardctl\n\n<!-- Made by \"sardctl docs write docs\". Change the commands in the code instead. -->\n\n")
	b.WriteString("The operator's tool. Tables are for people; `--json` is for programs. The runs\nbelow are replayed in CI.\n")
	for _, section := range Sections() {
		fmt.Fprintf(&b, "\n## %s\n", section)
		for _, v := range Table() {
			if v.Section != section || v.Hidden {
				continue
			}
			if err := writeVerb(&b, v); err != nil {
				return "", err
			}
		}
	}
	writeSharedFlags(&b)
	writeExits(&b)
	return b.String(), nil
}

func writeVerb(b *strings.Builder, v Verb) error {
	fmt.Fprintf(b, "\n### sardctl %s\n\n%s\n\n```\n%s\n```\n", v.Use, v.Long, strings.Join(v.Examples, "\n"))
	writeFlags(b, v)
	for _, sub := range v.Subs {
		fmt.Fprintf(b, "\n`sardctl %s %s`: %s.\n", v.Name(), sub.Use, sub.Short)
		writeFlags(b, sub)
	}
	run, err := cases.Transcript(v.Name())
	if err != nil {
		return codes.Wrap(codes.Internal, err, "transcript of "+v.Name())
	}
	if run != "" {
		fmt.Fprintf(b, "\nA run:\n\n```\n%s```\n", run)
	}
	return nil
}

func writeFlags(b *strings.Builder, v Verb) {
	if v.Flags == nil {
		return
	}
	flags := pflag.NewFlagSet(v.Name(), pflag.ContinueOnError)
	v.Flags(flags)
	writeFlagSet(b, flags)
}

func writeFlagSet(b *strings.Builder, flags *pflag.FlagSet) {
	b.WriteString("\n| option | |\n| --- | --- |\n")
	flags.VisitAll(func(f *pflag.Flag) {
		fmt.Fprintf(b, "| `--%s` | %s |\n", f.Name, strings.ReplaceAll(f.Usage, "|", `\|`))
	})
}

func writeSharedFlags(b *strings.Builder) {
	b.WriteString("\n## Options of every command\n")
	flags := pflag.NewFlagSet("sardctl", pflag.ContinueOnError)
	NewSession(nil, nil, nil, nil).Flags(flags)
	writeFlagSet(b, flags)
}

func writeExits(b *strings.Builder) {
	b.WriteString("\n## Exit codes\n\n| exit code | meaning | result codes |\n| --- | --- | --- |\n")
	for _, row := range Exits() {
		var names []string
		for _, c := range row.Codes {
			names = append(names, "`"+c.Name()+"`")
		}
		fmt.Fprintf(b, "| %d | %s | %s |\n", int(row.Exit), row.Meaning, strings.Join(names, ", "))
	}
}
