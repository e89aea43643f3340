package verbs

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/status"
)

// explainPath is the path at which the leading control node explains a group, by GET.
const explainPath = "/sardine/v1/explain/group/"

func explainVerb() Verb {
	return Verb{
		Use:     "explain request|group|target|code|event NAME",
		Section: SectionSite,
		Short:   "Explain a request, a group, a target, a refusal or a log event",
		Long: `Explains what happened to one request, the state of one group or target, or what a
result code or a log event means and what to do. A request's id is in the header
X-Sardine-Request of its answer and in the logs, and may be given alone; its entry
node keeps the last 4096 requests. Codes and events are found by number or name,
without contacting a node.`,
		Examples: []string{
			"sardctl explain osu-entry-1-19af2c11d05-1f3",
			"sardctl explain group g-17",
			"sardctl explain target vm-4",
			"sardctl explain code no_lease",
			"sardctl explain event 405",
		},
		Args: cobra.RangeArgs(1, 2),
		Complete: func(*Call) []string {
			return []string{"request", "group", "target", "code", "event"}
		},
		Run: runExplain,
	}
}

func runExplain(c *Call) error {
	if len(c.args) == 1 {
		return c.explainRequest(sardine.RequestID(c.args[0]))
	}
	name := c.args[1]
	switch c.args[0] {
	case "request":
		return c.explainRequest(sardine.RequestID(name))
	case "group":
		return c.explainGroup(sardine.GroupID(name))
	case "target":
		return c.explainTarget(sardine.VMID(name))
	case "code":
		return c.explainCode(name)
	case "event":
		return c.explainEvent(name)
	default:
		return codes.New(codes.UsageError, "explain %q: expected request, group, target, code or event", c.args[0])
	}
}

func (c *Call) explainGroup(id sardine.GroupID) error {
	r, err := c.report()
	if err != nil {
		return err
	}
	g, known := r.Group(id)
	if !known {
		return codes.New(codes.UnknownMember, "no group %q, see sardctl groups", id)
	}
	if c.session.json {
		return c.printGroup(r, g)
	}
	c.printf("group %s of %s/%s has been %s for %s, epoch %d, domain %s\n", g.ID, g.Team, g.Service, g.Condition.State, since(r.At, g.Condition.Since), g.Epoch, g.Domain)
	c.printAdvice(g.Condition)
	for _, m := range g.Members {
		t, _ := r.Target(m.VM)
		c.printf("  rank %d: %s, %s for %s\n", m.Rank, m.VM, orDash(t.Condition.State), since(r.At, t.Condition.Since))
	}
	return c.printPlanner(id)
}

// printPlanner prints the leader's explanation of what it plans for a group.
func (c *Call) printPlanner(id sardine.GroupID) error {
	lines, err := c.planner(id)
	for _, line := range lines {
		c.printf("planner: %s\n", line)
	}
	return err
}

// planner fetches the lines of that explanation. Without a leader, nothing is
// planned.
func (c *Call) planner(id sardine.GroupID) ([]string, error) {
	body, err := c.sendToLeader(http.MethodGet, explainPath+url.PathEscape(string(id)), nil)
	if codes.Is(err, codes.NotLeader) || codes.Is(err, codes.NoQuorum) {
		return []string{"no leader answers, nothing is planned"}, nil
	}
	if err != nil {
		return nil, err
	}
	var answer struct {
		Lines []string `json:"lines"`
	}
	err = json.Unmarshal(body, &answer)
	return answer.Lines, codes.Wrap(codes.AnswerInvalid, err, "explanation")
}

type explanationJSON struct {
	Groups  json.RawMessage `json:"groups"`
	Planner []string        `json:"planner"`
}

func (c *Call) printGroup(r status.Report, g status.Group) error {
	lines, err := c.planner(g.ID)
	if err != nil {
		return err
	}
	list, err := reportList(status.Report{At: r.At, Groups: []status.Group{g}}, "groups")
	if err != nil {
		return err
	}
	return c.printJSON(explanationJSON{Groups: list, Planner: lines})
}

func (c *Call) explainTarget(vm sardine.VMID) error {
	r, err := c.report()
	if err != nil {
		return err
	}
	t, known := r.Target(vm)
	if !known {
		return codes.New(codes.UnknownMember, "no target %q, see sardctl targets", vm)
	}
	if c.session.json {
		return c.printList(status.Report{Targets: []status.Target{t}}, "targets")
	}
	c.printf("target %s (%s, %s, %s) has been %s for %s\n", t.VM, t.Kind, t.DataCentre, orDash(string(t.Domain)), t.Condition.State, since(r.At, t.Condition.Since))
	c.printAdvice(t.Condition)
	if t.Group != "" {
		c.printf("it belongs to group %s\n", t.Group)
	}
	return nil
}

func (c *Call) printAdvice(k status.Condition) {
	if k.SystemAction != "" {
		c.printf("the system: %s\n", k.SystemAction)
	}
	if k.OperatorAction != "" {
		c.printf("you: %s\n", k.OperatorAction)
	}
}

func (c *Call) explainCode(name string) error {
	for _, r := range codes.Table() {
		if r.Name == name || strconv.Itoa(int(r.Code)) == name {
			c.printf("%s (%d), HTTP status %d: %s\nwhat to do: %s\n", r.Name, int(r.Code), r.Status, r.Meaning, r.Remedy)
			return nil
		}
	}
	return codes.New(codes.UnknownMember, "no result code %q, see docs/CODES.md", name)
}

func (c *Call) explainEvent(name string) error {
	for _, r := range event.Table() {
		if r.Name == name || strconv.Itoa(int(r.ID)) == name {
			c.printf("%s (%d), level %s: %s\nwhat to do: %s\n", r.Name, int(r.ID), strings.ToLower(r.Level.String()), r.Meaning, r.Remedy)
			return nil
		}
	}
	return codes.New(codes.UnknownMember, "no log event %q, see docs/EVENTS.md", name)
}
