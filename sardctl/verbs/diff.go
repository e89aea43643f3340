package verbs

import (
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/team"
)

func diffVerb() Verb {
	return Verb{
		Use:     "diff PATH",
		Section: SectionSettings,
		Short:   "Show what differs between two versions, or from a file",
		Long: `Lists each leaf below PATH that differs between two versions of a team's
settings, or between a version and a file that holds the team's whole document.`,
		Examples: []string{
			"sardctl diff /teams/adinkra --from 1 --to 2",
			"sardctl diff /teams/adinkra --file adinkra.toml",
		},
		Args:     cobra.ExactArgs(1),
		Complete: completePaths,
		Flags: func(f *pflag.FlagSet) {
			f.Uint64("from", 0, "older version, 0 for the newest")
			f.Uint64("to", 0, "newer version, 0 for the newest")
			f.String("file", "", "file to compare with --from instead of --to, - for the standard input")
		},
		Run: runDiff,
	}
}

type differenceJSON struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

func runDiff(c *Call) error {
	root := teamPath(c.args[0])
	from, err := c.getSettings(root, c.uintFlag("from"))
	if err != nil {
		return err
	}
	to, err := c.otherDocument(root)
	if err != nil {
		return err
	}
	all, err := team.Diff(root, from.GetDocument(), to)
	if err != nil {
		return err
	}
	rows, list := [][]string{}, []differenceJSON{}
	for _, d := range all {
		if d.Path != c.args[0] && !strings.HasPrefix(d.Path, strings.TrimSuffix(c.args[0], "/")+"/") {
			continue
		}
		rows = append(rows, []string{d.Path, d.Old, d.New})
		list = append(list, differenceJSON{Path: d.Path, Old: d.Old, New: d.New})
	}
	if c.session.json {
		return c.printJSON(list)
	}
	c.printTable("differences", []string{"path", "old", "new"}, rows)
	return nil
}

func (c *Call) otherDocument(root string) (string, error) {
	file := c.stringFlag("file")
	if file == "" {
		reply, err := c.getSettings(root, c.uintFlag("to"))
		return reply.GetDocument(), err
	}
	if c.flags.Changed("to") {
		return "", codes.New(codes.UsageError, "expected either --to or --file")
	}
	return c.readInput(file)
}
