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
				Run:      runMembersAdd,
				Flags:    waitFlag,
			},
			{
				Use: "remove NODE", Short: "Remove a control member", Args: cobra.ExactArgs(1), Complete: completeNodes,
				Examples: []string{"sardctl members remove legon-control --yes"}, Run: runMembersRemove,
			},
			{
				Use: "replace OLD NEW ADDRESS", Short: "Add a control member, wait for it, remove another",
				Args: cobra.ExactArgs(3), Complete: completeNodes, Run: runMembersReplace,
				Examples: []string{"sardctl members replace legon-control legon-control-2 10.1.3.6:7070 --yes"},
				Flags:    waitFlag,
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
		case reply.GetLeader() != "" && m.GetAddress() == reply.GetLeader():
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

func waitFlag(f *pflag.FlagSet) {
	f.Duration("wait", 5*time.Minute, "give up if the new member has not caught up by then")
}

func runMembersAdd(c *Call) error {
	reply, err := c.addMember(c.args[0], c.args[1])
	if err != nil {
		return err
	}
	return c.printMembers(reply)
}

func runMembersRemove(c *Call) error {
	if err := c.confirm("The control node " + c.args[0] + " no longer counts for the quorum."); err != nil {
		return err
	}
	return c.removeMember(c.args[0])
}

// runMembersReplace adds the new member before it removes the old one, so that
// the quorum never has fewer members than before.
func runMembersReplace(c *Call) error {
	old, replacement, address := c.args[0], c.args[1], c.args[2]
	if err := c.confirm("The control node " + old + " no longer counts for the quorum once " + replacement + " has caught up."); err != nil {
		return err
	}
	if _, err := c.addMember(replacement, address); err != nil {
		return err
	}
	return c.removeMember(old)
}

func (c *Call) removeMember(node string) error {
	reply, err := c.members(&wire.MembersRequest{Operation: "remove", Node: node})
	if err != nil {
		return err
	}
	return c.printMembers(reply)
}

// addMember adds a learner and gives it a vote once it has caught up. It may be
// called again after an interruption.
func (c *Call) addMember(node, address string) (*wire.MembersReply, error) {
	listed, err := c.members(&wire.MembersRequest{Operation: "list"})
	if err != nil {
		return nil, err
	}
	if found := findMember(listed, node); found == nil {
		if _, err := c.members(&wire.MembersRequest{Operation: "add", Node: node, Address: address}); err != nil {
			return nil, err
		}
		c.infof("%s added as a learner\n", node)
	}
	wait, _ := c.flags.GetDuration("wait") // the command defined it
	for end := time.Now().Add(wait); ; time.Sleep(pollInterval) {
		reply, err := c.promote(node, address)
		if err == nil {
			c.infof("%s has caught up and votes\n", node)
			return reply, nil
		}
		if !codes.Is(err, codes.MemberBusy) || time.Now().After(end) {
			return nil, codes.Wrap(codes.Of(err), err, node+" stays a learner, nothing was removed; send the command again")
		}
	}
}

// promote gives a learner its vote. A member that already votes is left unchanged,
// so that a resend after a lost reply is harmless.
func (c *Call) promote(node, address string) (*wire.MembersReply, error) {
	listed, err := c.members(&wire.MembersRequest{Operation: "list"})
	if err != nil {
		return nil, err
	}
	if found := findMember(listed, node); found != nil && !found.GetLearner() {
		return listed, nil
	}
	return c.members(&wire.MembersRequest{Operation: "promote", Node: node, Address: address})
}

func findMember(reply *wire.MembersReply, node string) *wire.QuorumMember {
	for _, m := range reply.GetMembers() {
		if m.GetNode() == node {
			return m
		}
	}
	return nil
}
