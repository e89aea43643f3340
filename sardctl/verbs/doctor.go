package verbs

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/status"
)

const (
	maxClockSkew  = 2 * time.Second
	maxSyncTime   = 50 * time.Millisecond
	minFreeBytes  = 1 << 30
	healthPath    = "/healthz"
	expiryWarning = 30 * 24 * time.Hour
	syncTrials    = 9
	dialTimeout   = 2 * time.Second
	noFindingText = "no findings"
)

func doctorVerb() Verb {
	return Verb{
		Use:     "doctor",
		Section: SectionSite,
		Short:   "Look for what is wrong, and name the command that mends it",
		Long: `Asks every control node and, through them, every entry node; compares clocks; and
checks settings files, a data folder and a certificate of this VM when they are
named. Each finding names the command that mends it. Exit code 8 if there are any.`,
		Examples: []string{
			"sardctl doctor",
			"sardctl doctor --settings /etc/sardine/entry.toml --data-folder /var/lib/sardine/control",
		},
		Args: cobra.NoArgs,
		Flags: func(f *pflag.FlagSet) {
			f.StringArray("settings", nil, "settings file of an entry or control node to check; may be repeated")
			f.String("data-folder", "", "data folder to check: free space, and how long a sync takes")
			f.String("certificate", "", "certificate file to check")
		},
		Run: runDoctor,
	}
}

// finding is one problem and the way to fix it.
type finding struct {
	What string `json:"what"`
	Mend string `json:"mend"`
}

func runDoctor(c *Call) error {
	findings := []finding{}
	findings = append(findings, c.checkNodes()...)
	findings = append(findings, c.checkFiles()...)
	if c.session.json {
		if err := c.printJSON(findings); err != nil {
			return err
		}
		return unhealthyUnless(len(findings) == 0)
	}
	for _, f := range findings {
		c.printf("%s\n  mend: %s\n", f.What, f.Mend)
	}
	if len(findings) == 0 {
		c.printf("%s\n", noFindingText)
	}
	return unhealthyUnless(len(findings) == 0)
}

// checkNodes checks the control nodes, then the entry nodes listed in their report.
func (c *Call) checkNodes() []finding {
	nodes, err := c.controls()
	if err != nil {
		return []finding{{"no control node is known", "set " + EnvControls + " to the operators' addresses of the control nodes"}}
	}
	var findings []finding
	var best status.Report
	leaders := map[string]bool{}
	for _, node := range nodes {
		asked := time.Now()
		t := c.reportOf(node)
		if t.err != nil {
			findings = append(findings, finding{fmt.Sprintf("control node %s: %v", node, t.err), nodeRemedy(node, t.err)})
			continue
		}
		r := t.report
		findings = append(findings, checkClock(r, asked, time.Now())...)
		if r.Leader != "" {
			leaders[string(r.Leader)] = true
		}
		if r.Leader == r.Node || best.Node == "" {
			best = r
		}
	}
	if len(leaders) == 0 {
		findings = append(findings, finding{"no control node knows a leader", "start enough control nodes, see docs/operate/lost-quorum.md"})
	}
	return append(findings, c.checkReport(best)...)
}

func nodeRemedy(node string, err error) string {
	if codes.Is(err, codes.AnswerInvalid) {
		return "check that " + node + " is an operators' address"
	}
	return "check that controld runs there: sardctl dump " + node
}

// checkClock compares the node's clock with this VM's. It allows for an error of
// half the request's round trip.
func checkClock(r status.Report, asked, answered time.Time) []finding {
	middle := asked.Add(answered.Sub(asked) / 2)
	gap := time.UnixMilli(int64(r.At)).Sub(middle).Abs()
	if gap-answered.Sub(asked)/2 <= maxClockSkew {
		return nil
	}
	return []finding{{
		fmt.Sprintf("the clock of %s differs from this VM's by %s; tokens expire by it", r.Node, gap.Truncate(time.Millisecond)),
		"set up time synchronisation there, such as: systemctl enable --now systemd-timesyncd",
	}}
}

func (c *Call) checkReport(r status.Report) []finding {
	var findings []finding
	for _, e := range r.Entries {
		if err := c.probe(e.Address); err != nil {
			findings = append(findings, finding{fmt.Sprintf("entry node %s (%s): %v", e.Node, e.Address, err), "start entryd there, or check the network between the VMs"})
		}
	}
	for _, k := range r.Checks {
		if !k.Passed {
			findings = append(findings, finding{"not held: " + k.Name + ": " + strings.TrimSuffix(k.Detail, "; "), "sardctl status"})
		}
	}
	return findings
}

func (c *Call) probe(address string) error {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return err
	}
	_ = conn.Close()
	_, err = c.send(http.MethodGet, address, healthPath, nil)
	return err
}
