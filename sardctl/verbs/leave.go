package verbs

import (
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/oper"
)

func leaveVerb() Verb {
	return Verb{
		Use:     "leave VM",
		Section: SectionRepair,
		Short:   "Give a target no new work",
		Long: `Marks a target VM as leaving, as if it had announced so itself: it gets no new
work, its group is repaired without it, and it can be stopped once its requests
have ended. The mark lasts until the VM's process starts again.`,
		Examples: []string{"sardctl leave vm-4 --yes"},
		Args:     cobra.ExactArgs(1),
		Complete: completeTargets,
		Run:      runLeave,
	}
}

func runLeave(c *Call) error {
	if err := c.confirm("The group of " + c.args[0] + " is repaired without it."); err != nil {
		return err
	}
	if _, err := c.sendToLeader(http.MethodPost, oper.LeavePath+"?vm="+url.QueryEscape(c.args[0]), nil); err != nil {
		return err
	}
	c.printf("%s gets no new work\n", c.args[0])
	return nil
}
