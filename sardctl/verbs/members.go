package verbs

import (
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

func membersVerb() Verb {
	return Verb{
		Use:     "members",
		Section: SectionRepair,
		Short:   "List, add, remove or replace control nodes",
		Long: `The control members are changed one at a time. A new member first copies the
state as a learner and is counted for the quorum when it has caught up. To
replace a dead VM, start the new control node first, then use replace.`,
		Examples: []string{
			"sardctl members list",
			"sardctl members add legon-control-2 10.1.3.6:7070",
			"sardctl members replace legon-control legon-control-2 10.1.3.6:7070 --yes",
		},
		Subs: []Verb{
			{
				Use: "list", Short: "List the control members", Examples: []string{"sardctl members list"},
				Args: cobra.NoArgs, Run: runMembersList,
			},
			{
				Use: "add NODE ADDRESS", Short: "Add a control member", Args: cobra.ExactArgs(2),
				Examples: []string{"sardctl members add legon-control-2 10.1.3.6:7070"},
				Run:      func(c *Call) error { return c.changeMember("add", c.args[0], c.args[1]) },
			},
			{
				Use: "remove NODE", Short: "Remove a control member", Args: cobra.ExactArgs(1), Complete: completeNodes,
				Examples: []string{"sardctl members remove legon-control --yes"}, Run: runMembersRemove,
			},
			{
				Use: "replace OLD NEW ADDRESS", Short: "Add a control member, wait for it, remove another",
				Args: cobra.ExactArgs(3), Complete: completeNodes, Run: runMembersReplace,
				Examples: []string{"sardctl members replace legon-control legon-control-2 10.1.3.6:7070 --yes"},
				Flags: func(f *pflag.FlagSet) {
					f.Duration("wait", 5*time.Minute, "give up if the new member has not caught up by then")
				},
			},
		},
	}
}

type memberJSON struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Learner bool   `json:"learner"`
	Leader  bool   `json:"leader"`
}

func runMembersList(c *Call) error {
	reply, err := c.members(&wire.MembersRequest{Operation: "list"})
	if err != nil {
		return err
	}
	return c.printMembers(reply)
}

func (c *Call) members(r *wire.MembersRequest) (*wire.MembersReply, error) {
	k, err := c.control()
	if err != nil {
		return nil, err
	}
	return k.members(r)
}

func (c *Call) printMembers(reply *wire.MembersReply) error {
	rows, list := [][]string{}, []memberJSON{}
	for _, m := range reply.GetMembers() {
		role := "follower"
		switch {
		case m.GetLearner():
			role = "learner"
		case m.GetNode() == reply.GetLeader():
			role = "leader"
		}
		rows = append(rows, []string{m.GetNode(), m.GetAddress(), role})
		list = append(list, memberJSON{Node: m.GetNode(), Address: m.GetAddress(), Learner: m.GetLearner(), Leader: role == "leader"})
	}
	if c.session.json {
		return c.printJSON(list)
	}
	c.printTable("control members", []string{"node", "address", "role"}, rows)
	return nil
}

func (c *Call) changeMember(operation, node, address string) error {
	reply, err := c.members(&wire.MembersRequest{Operation: operation, Node: node, Address: address})
	if err != nil {
		return err
	}
	return c.printMembers(reply)
}

func runMembersRemove(c *Call) error {
	if err := c.confirm("The control node " + c.args[0] + " no longer counts for the quorum."); err != nil {
		return err
	}
	return c.changeMember("remove", c.args[0], "")
}

// runMembersReplace adds the new member before it removes the old one, so that
// the quorum never has fewer members than before.
func runMembersReplace(c *Call) error {
	old, fresh, address := c.args[0], c.args[1], c.args[2]
	if err := c.confirm("The control node " + old + " no longer counts for the quorum once " + fresh + " has caught up."); err != nil {
		return err
	}
	if _, err := c.members(&wire.MembersRequest{Operation: "add", Node: fresh, Address: address}); err != nil {
		return err
	}
	c.tell("%s added as a learner\n", fresh)
	if err := c.awaitVoter(fresh); err != nil {
		return err
	}
	c.tell("%s has caught up\n", fresh)
	return c.changeMember("remove", old, "")
}

func (c *Call) awaitVoter(node string) error {
	wait, _ := c.flags.GetDuration("wait") // the command defined it
	end := time.Now().Add(wait)
	for time.Now().Before(end) {
		reply, err := c.members(&wire.MembersRequest{Operation: "list"})
		if err != nil {
			return err
		}
		for _, m := range reply.GetMembers() {
			if m.GetNode() == node && !m.GetLearner() {
				return nil
			}
		}
		time.Sleep(roundPause)
	}
	return codes.New(codes.MemberBusy, "%s has not caught up in %s; both members are in the list, nothing was removed", node, wait)
}
