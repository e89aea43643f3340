package verbs

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/status"
)

func poisonVerb() Verb {
	return Verb{
		Use:     "poison",
		Section: SectionRepair,
		Short:   "List or release requests that crash their targets",
		Long: `A request that has made two groups fail, or three targets behind a layout's routes
or of a plain service, is refused at every entry node. list shows such requests by
their fingerprint, release lets one run again; the first digits of a fingerprint
suffice.`,
		Examples: []string{"sardctl poison list", "sardctl poison release 9f86d081 --yes"},
		Subs: []Verb{
			{
				Use: "list", Short: "List suspected and refused requests",
				Examples: []string{"sardctl poison list"}, Args: cobra.NoArgs, Run: runPoisonList,
			},
			{
				Use: "release FINGERPRINT", Short: "Let a refused request run again",
				Examples: []string{"sardctl poison release 9f86d081 --yes"}, Args: cobra.ExactArgs(1), Run: runPoisonRelease,
			},
		},
	}
}

func runPoisonList(c *Call) error {
	r, err := c.report()
	if err != nil {
		return err
	}
	if c.session.json {
		return c.printList(status.Report{Poisons: r.Poisons}, "poisons")
	}
	var rows [][]string
	for _, p := range r.Poisons {
		rows = append(rows, []string{shortFingerprint(p.Fingerprint), p.Condition.State, since(r.At, p.Condition.Since), strings.Join(p.Targets, " ")})
	}
	c.printTable("poison requests", []string{"fingerprint", "state", "for", "targets it cost"}, rows)
	return nil
}

func runPoisonRelease(c *Call) error {
	if err := c.confirm("The request may end as many targets again."); err != nil {
		return err
	}
	fingerprint, err := c.findFingerprint(c.args[0])
	if err != nil {
		return err
	}
	if _, err := c.sendToLeader(http.MethodPost, oper.PoisonPath+"?fingerprint="+url.QueryEscape(fingerprint), nil); err != nil {
		return err
	}
	c.printf("%s may run again\n", shortFingerprint(fingerprint))
	return nil
}

// findFingerprint returns the one listed fingerprint that begins with prefix.
func (c *Call) findFingerprint(prefix string) (string, error) {
	r, err := c.report()
	if err != nil {
		return "", err
	}
	var found []string
	for _, p := range r.Poisons {
		if strings.HasPrefix(p.Fingerprint, prefix) {
			found = append(found, p.Fingerprint)
		}
	}
	if len(found) != 1 {
		return "", codes.New(codes.UnknownMember, "%d requests begin with %q, see sardctl poison list", len(found), prefix)
	}
	return found[0], nil
}

// shortFingerprint returns the first digits, enough to distinguish requests.
func shortFingerprint(full string) string {
	return full[:min(len(full), 12)]
}
