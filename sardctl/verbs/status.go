package verbs

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/status"
)

// maxTroubles limits the listed troubles, so that the status of a large site fits
// on one screen.
const maxTroubles = 40

func statusVerb() Verb {
	return Verb{
		Use:     "status",
		Section: SectionSite,
		Short:   "Show on one screen whether all is well",
		Long: `Shows whether every promise is held, what is down, since when, what the system
does about it and what a person should do. Exit code 8 if a promise is not held.`,
		Examples: []string{"sardctl status", "sardctl status --json"},
		Args:     cobra.NoArgs,
		Run:      runStatus,
	}
}

func runStatus(c *Call) error {
	r, err := c.report()
	if err != nil {
		return err
	}
	if c.session.json {
		text, err := status.Encode(r)
		if err != nil {
			return err
		}
		c.printf("%s\n", text)
		return unhealthyUnless(r.AllPassed())
	}
	c.printStatus(r)
	return unhealthyUnless(r.AllPassed())
}

func unhealthyUnless(held bool) error {
	if held {
		return nil
	}
	return &exitError{exit: ExitUnhealthy}
}

func (c *Call) printStatus(r status.Report) {
	c.printf("%s at %s, told by %s; leader %s\n\n", r.Site, formatTime(int64(r.At)), r.Node, orDash(string(r.Leader)))
	var checks [][]string
	for _, k := range r.Checks {
		checks = append(checks, []string{yesNo(k.Passed), k.Name, strings.TrimSuffix(k.Detail, "; ")})
	}
	c.printTable("checks", []string{"held", "promise", "detail"}, checks)
	c.printf("\n")
	c.printTable("teams", []string{"team", "version", "state", "service", "serving", "wanted"}, teamRows(r))
	c.printf("\n%s\n", healthSummary(r))
	troubles := troubleRows(r)
	if len(troubles) == 0 {
		c.printf("nothing is down\n")
		return
	}
	c.printf("\n")
	if hidden := len(troubles) - maxTroubles; hidden > 0 {
		troubles = append(troubles[:maxTroubles], []string{fmt.Sprintf("and %d more", hidden), "", "", "", "see sardctl groups, sardctl targets"})
	}
	c.printTable("troubles", []string{"what", "state", "for", "the system", "you"}, troubles)
}

func teamRows(r status.Report) [][]string {
	var rows [][]string
	for _, t := range r.Teams {
		version := strconv.FormatUint(uint64(t.Version), 10)
		if len(t.Services) == 0 {
			rows = append(rows, []string{string(t.Name), version, t.Condition.State, "", "", ""})
		}
		for _, s := range t.Services {
			wanted := ""
			if s.Wanted > 0 {
				wanted = strconv.Itoa(s.Wanted)
			}
			rows = append(rows, []string{string(t.Name), version, t.Condition.State, string(s.Name), strconv.Itoa(s.Serving), wanted})
		}
	}
	return rows
}

func healthSummary(r status.Report) string {
	good := func(n int, each func(int) bool) string {
		count := 0
		for i := range n {
			if each(i) {
				count++
			}
		}
		return fmt.Sprintf("%d of %d", count, n)
	}
	return fmt.Sprintf("groups %s, targets %s, entry nodes %s, control members %s are well",
		good(len(r.Groups), func(i int) bool { return r.Groups[i].Condition.Healthy }),
		good(len(r.Targets), func(i int) bool { return r.Targets[i].Condition.Healthy }),
		good(len(r.Entries), func(i int) bool { return r.Entries[i].Condition.Healthy }),
		good(len(r.Controls), func(i int) bool { return r.Controls[i].Condition.Healthy }))
}

// troubleRows lists everything unhealthy, control members first because the rest
// depends on them.
func troubleRows(r status.Report) [][]string {
	var rows [][]string
	unknown := 0
	add := func(what string, k status.Condition) {
		if k.State == status.Unknown {
			unknown++
			return
		}
		if !k.Healthy {
			rows = append(rows, []string{what, k.State, since(r.At, k.Since), k.SystemAction, k.OperatorAction})
		}
	}
	for _, k := range r.Controls {
		add("control "+string(k.Node), k.Condition)
	}
	for _, e := range r.Entries {
		add("entry "+string(e.Node), e.Condition)
	}
	for _, t := range r.Teams {
		add("team "+string(t.Name), t.Condition)
	}
	for _, g := range r.Groups {
		add("group "+string(g.ID), g.Condition)
	}
	for _, t := range r.Targets {
		add("target "+string(t.VM), t.Condition)
	}
	for _, p := range r.Poisons {
		add("request "+shortFingerprint(p.Fingerprint), p.Condition)
	}
	if unknown > 0 {
		rows = append(rows, []string{
			fmt.Sprintf("%d other(s)", unknown), status.Unknown, "", "only the leading control node knows them",
			"name all control nodes to sardctl; without a leader see docs/operate/lost-quorum.md",
		})
	}
	return rows
}

// since formats the time from then to now.
func since(now, then state.WallTime) string {
	d := time.Duration(now-then) * time.Millisecond
	if d < time.Second {
		return d.String()
	}
	return d.Truncate(time.Second).String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "NO"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
