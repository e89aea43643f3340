package verbs

import (
	"encoding/json"
	"strconv"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/status"
)

func targetsVerb() Verb {
	return Verb{
		Use:      "targets",
		Section:  SectionSite,
		Short:    "List the target VMs",
		Long:     `Lists every engine and plain service VM that has announced itself: its state, its data centre and domain, its group or service, and its load.`,
		Examples: []string{"sardctl targets", "sardctl targets --json"},
		Args:     cobra.NoArgs,
		Run:      runTargets,
	}
}

func runTargets(c *Call) error {
	r, err := c.report()
	if err != nil {
		return err
	}
	if c.session.json {
		return c.printList(status.Report{Targets: r.Targets}, "targets")
	}
	var rows [][]string
	for _, t := range r.Targets {
		belongs := string(t.Group)
		if belongs == "" {
			belongs = string(t.Service)
		}
		rows = append(rows, []string{
			string(t.VM), t.Kind.String(), t.Condition.State, since(r.At, t.Condition.Since), string(t.DataCentre),
			string(t.Domain), belongs, strconv.Itoa(t.Load.Running), strconv.Itoa(t.Load.Queued),
		})
	}
	header := []string{"vm", "kind", "state", "for", "data centre", "domain", "serves", "running", "queued"}
	c.printTable("targets", header, rows)
	return nil
}

// printList prints one list of a report as JSON.
func (c *Call) printList(r status.Report, key string) error {
	list, err := reportList(r, key)
	if err != nil {
		return err
	}
	return c.printJSON(list)
}

// reportList returns one list of a report as JSON.
func reportList(r status.Report, key string) (json.RawMessage, error) {
	text, err := status.Encode(r)
	if err != nil {
		return nil, err
	}
	var parts map[string]json.RawMessage
	err = json.Unmarshal(text, &parts)
	return parts[key], codes.Wrap(codes.Internal, err, "status")
}
