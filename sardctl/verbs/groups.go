package verbs

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/status"
)

func groupsVerb() Verb {
	return Verb{
		Use:      "groups",
		Section:  SectionSite,
		Short:    "List the groups and their members",
		Long:     `Lists every group: its state, since when, its epoch and which members are there.`,
		Examples: []string{"sardctl groups", "sardctl groups --json"},
		Args:     cobra.NoArgs,
		Run:      runGroups,
	}
}

func runGroups(c *Call) error {
	r, err := c.report()
	if err != nil {
		return err
	}
	if c.session.json {
		return c.printList(status.Report{Groups: r.Groups}, "groups")
	}
	var rows [][]string
	for _, g := range r.Groups {
		rows = append(rows, []string{
			string(g.ID), string(g.Team), string(g.Service), g.Condition.State, since(r.At, g.Condition.Since),
			strconv.FormatUint(uint64(g.Epoch), 10), string(g.Domain), memberText(g),
		})
	}
	c.printTable("groups", []string{"group", "team", "service", "state", "for", "epoch", "domain", "members"}, rows)
	return nil
}

// memberText lists a group's VMs by rank, those that are missing in brackets.
func memberText(g status.Group) string {
	text := ""
	for i, m := range g.Members {
		if i > 0 {
			text += " "
		}
		if m.Present {
			text += string(m.VM)
			continue
		}
		text += fmt.Sprintf("[%s]", m.VM)
	}
	return text
}
