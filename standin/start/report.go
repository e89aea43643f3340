package start

import (
	"os"
	"strings"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/standin/report"
)

const reportMode = 0o644

type reportFlags struct {
	out     string
	figures string
	against []string
}

func newReport() *cobra.Command {
	f := &reportFlags{}
	c := &cobra.Command{
		Use:   "report FILES...",
		Short: "Render the results of measures as one page",
		Example: "  standin report .measures/*.json --out report.html\n" +
			"  standin report new/*.json --out report.md --against old/",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error { return f.write(files) },
	}
	c.Flags().StringVar(&f.out, "out", "", "page to write; the name must end in .html or .md")
	c.Flags().StringVar(&f.figures, "figures", "", "page whose tables of figures to replace, such as docs/MEASURES.md")
	c.Flags().StringSliceVar(&f.against, "against", nil, "results of an older version: comma-separated files, or their folder")
	return c
}

func (f *reportFlags) write(files []string) error {
	sections, err := report.LoadAll(files)
	if err != nil {
		return err
	}
	older, err := report.LoadAll(f.against)
	if err != nil {
		return err
	}
	if f.out == "" && f.figures == "" {
		return codes.New(codes.BadRequest, "found neither --out nor --figures, expected one of them")
	}
	if f.out != "" {
		page := report.Page{Sections: sections, Comparisons: report.Compare(older, sections)}
		if err := writePage(f.out, page); err != nil {
			return err
		}
	}
	if f.figures != "" {
		return report.ReplaceTablesInFile(f.figures, sections)
	}
	return nil
}

func writePage(path string, p report.Page) error {
	switch {
	case strings.HasSuffix(path, ".html"):
		return os.WriteFile(path, []byte(p.HTML()), reportMode)
	case strings.HasSuffix(path, ".md"):
		return os.WriteFile(path, []byte(p.Markdown()), reportMode)
	default:
		return codes.New(codes.BadRequest, "found the page %q, expected a name that ends in .html or .md", path)
	}
}
