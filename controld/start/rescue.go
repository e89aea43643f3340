package start

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/conf"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/repl"
)

// newRescue returns the command that makes a survivor the only control node, after a
// majority of the voters is lost for good.
func newRescue() *cobra.Command {
	var lost []string
	var survivors map[string]string
	c := &cobra.Command{
		Use:   "rescue FILE",
		Short: "Go on without a quorum that is lost for good, from this node's data folder",
		Long: "Go on without a quorum that is lost for good, from this node's data folder.\n\n" +
			"controld must be stopped on all survivors. Without flags, the command only tells what the\n" +
			"folder holds; run it on each survivor. Then run it with flags on the one with the newest\n" +
			"last entry. It becomes the only control node; the others join it when they start.\n" +
			"Changes that only lost nodes had are gone. A lost node must never start again with its\n" +
			"old data folder. See docs/operate/lost-quorum.md.",
		Example: "  controld rescue /etc/sardine/controld.toml\n" +
			"  controld rescue /etc/sardine/controld.toml --lost osu-control,tema-control --survivor legon-control=4:1207",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			settings, err := conf.LoadControl(args[0])
			if err != nil {
				return err
			}
			others, err := parseSurvivors(survivors)
			if err != nil {
				return err
			}
			return rescue(c.OutOrStdout(), settings, nodeIDs(lost), others)
		},
	}
	c.Flags().StringSliceVar(&lost, "lost", nil, "every voter whose data folder is lost")
	c.Flags().StringToStringVar(&survivors, "survivor", nil, "every other voter that is left, and its last entry: NODE=TERM:INDEX")
	return c
}

func rescue(out io.Writer, s *conf.Control, lost []sardine.NodeID, others map[sardine.NodeID]quorum.Position) error {
	release, err := claimFolder(s)
	if err != nil {
		return err
	}
	defer release()
	folder, err := disk.NewFolder(s.DataFolder())
	if err != nil {
		return err
	}
	if len(lost) == 0 && len(others) == 0 {
		r, err := repl.Inspect(folder, s.Site(), s.Node())
		if err == nil {
			printRemains(out, r)
		}
		return err
	}
	r, err := repl.Rescue(folder, s.Site(), s.Node(), lost, others)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s is the only control node, with all entries up to %s; start it, then the other survivors\n", r.Node, formatPosition(r.Last))
	return nil
}

// claimFolder makes sure that the folder exists and that no controld runs with these
// settings, until release is called.
func claimFolder(s *conf.Control) (release func(), err error) {
	if _, err := os.Stat(s.DataFolder()); err != nil {
		return nil, codes.Wrap(codes.BadSettings, err, "data folder")
	}
	listener, err := net.Listen("tcp", s.ListenInternal())
	if err != nil {
		return nil, codes.Wrap(codes.BadRequest, err, "stop controld first, and run this on its VM")
	}
	return func() { _ = listener.Close() }, nil
}

func printRemains(out io.Writer, r repl.Remains) {
	written := "never"
	if r.Time > 0 {
		written = time.UnixMilli(int64(r.Time)).Format(time.DateTime)
	}
	fmt.Fprintf(out, "%s: last entry %s, last change %s\n", r.Node, formatPosition(r.Last), written)
	fmt.Fprintf(out, "the other voters: %s\n", joinIDs(r.Voters()))
	if !r.Settled {
		fmt.Fprintln(out, "the folder may replace a lost one and lack entries: rescue another survivor")
	}
}

func joinIDs(all []sardine.NodeID) string {
	names := make([]string, 0, len(all))
	for _, n := range all {
		names = append(names, string(n))
	}
	return strings.Join(names, ", ")
}

func nodeIDs(names []string) []sardine.NodeID {
	all := make([]sardine.NodeID, 0, len(names))
	for _, n := range names {
		all = append(all, sardine.NodeID(n))
	}
	return all
}

// formatPosition returns the text form of a log position, TERM:INDEX.
func formatPosition(p quorum.Position) string {
	return fmt.Sprintf("%d:%d", p.Term, p.Index)
}

func parseSurvivors(texts map[string]string) (map[sardine.NodeID]quorum.Position, error) {
	all := make(map[sardine.NodeID]quorum.Position)
	for node, text := range texts {
		term, index, _ := strings.Cut(text, ":")
		t, termErr := strconv.ParseUint(term, 10, 64)
		i, indexErr := strconv.ParseUint(index, 10, 64)
		if termErr != nil || indexErr != nil {
			return nil, codes.New(codes.UsageError, "--survivor %s=%s: expected NODE=TERM:INDEX, as controld rescue prints it there", node, text)
		}
		all[sardine.NodeID(node)] = quorum.Position{Term: t, Index: i}
	}
	return all, nil
}
