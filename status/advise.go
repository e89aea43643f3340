package status

import (
	"fmt"
	"strings"
	"time"

	sardine "sardineswitch.dev/sardine"
)

// advice is what the system does about a state and what an operator should do.
type advice struct {
	good   bool
	system string
	person string
}

// Unknown is the state of items that only the leader can report.
const Unknown = "unknown"

// adviseUnknown directs the operator to the leader.
func adviseUnknown() advice {
	return advice{system: "only the leading control node knows", person: "name all control nodes to sardctl; without a leader see docs/operate/lost-quorum.md"}
}

func adviseGroup(s sardine.GroupState, missing int) advice {
	switch s {
	case sardine.GroupServing:
		if missing > 0 {
			return advice{system: fmt.Sprintf("stops serving, %d member(s) missing", missing)}
		}
		return advice{good: true}
	case sardine.GroupAssigned, sardine.GroupLoading:
		return advice{system: "loads the model on its members", person: "wait; if it takes minutes, check the weight store"}
	case sardine.GroupDegraded:
		return advice{system: "looks for a spare in its fabric domain", person: "check the missing VM"}
	case sardine.GroupFenced:
		return advice{system: "waits until its old members are provably free", person: "check VMs that do not answer"}
	default:
		return advice{good: true}
	}
}

func targetState(present, leaving bool, kind sardine.TargetKind, group sardine.GroupID) string {
	switch {
	case !present:
		return "lost"
	case leaving:
		return "leaving"
	case kind == sardine.KindPlain:
		return "serving"
	case group != "":
		return "assigned"
	default:
		return "free"
	}
}

func adviseTarget(name string) advice {
	switch name {
	case Unknown:
		return adviseUnknown()
	case "lost":
		return advice{system: "sends it no work and repairs its group", person: "check that VM and its network"}
	case "leaving":
		return advice{system: "sends it no new work", person: "nothing; stop the VM once its requests have ended"}
	default:
		return advice{good: true}
	}
}

func adviseEntry(name string) advice {
	if name == "serving" {
		return advice{good: true}
	}
	if name == Unknown {
		return adviseUnknown()
	}
	return advice{system: "the node refuses new requests", person: "check that VM and its network to the control nodes"}
}

func (b builder) peerState(p Peer) string {
	switch {
	case !p.Reachable:
		return "unreachable"
	case !p.Observed && !b.hasReports() && p.Node != b.in.Node:
		return Unknown
	case p.Leader:
		return "leading"
	case p.Learner:
		return "learning"
	case b.in.Leader == "":
		return "leaderless"
	default:
		return "following"
	}
}

func adviseControl(name string, led bool) advice {
	switch name {
	case Unknown:
		return adviseUnknown()
	case "unreachable":
		if !led {
			return advice{system: "waits for a majority, nothing can be changed", person: "start that VM again, see docs/operate/lost-quorum.md"}
		}
		return advice{system: "the other members continue without it", person: "restart that VM, or replace it: sardctl members replace"}
	case "leaderless":
		return advice{good: true, system: "requests votes to elect a leader"}
	case "learning":
		return advice{good: true, system: "copies the state to it"}
	default:
		return advice{good: true}
	}
}

func adviseTeam(rollout string, services []Service) advice {
	if rollout == Unknown {
		return adviseUnknown()
	}
	if rollout != "in_force" {
		return advice{system: "distributes the newest version to all entry nodes", person: "wait; see entry nodes that are cut off"}
	}
	for _, s := range services {
		if s.Serving < s.Wanted {
			return advice{
				system: fmt.Sprintf("forms groups of %s, %d of %d serve", s.Name, s.Serving, s.Wanted),
				person: "see the groups below; add VMs if none are free",
			}
		}
	}
	return advice{good: true}
}

func advisePoison(name string) advice {
	if name == "refused" {
		return advice{system: "refuses the request", person: "find its sender, or release it: sardctl poison release"}
	}
	return advice{good: true, system: "counts the targets that fail while they run it"}
}

// checks evaluates the system's guarantees. A group that is serving in the log while
// a member is missing violates none of them: entry nodes route by announcements
// and send it nothing. Routing to such a group would be a violation, but that is
// asserted where requests are dispatched.
func (b builder) checks(r Report) []Check {
	return []Check{
		b.checkQuorum(r),
		checkLeases(r),
		checkOwners(r),
		checkInForce(r),
		b.checkWanted(r),
	}
}

func (b builder) checkQuorum(r Report) Check {
	voters, reachable := 0, 0
	var silent []string
	for _, p := range b.in.Peers {
		if p.Learner {
			continue
		}
		voters++
		if p.Reachable {
			reachable++
		} else {
			silent = append(silent, string(p.Node))
		}
	}
	c := Check{Name: "settings can be changed", Passed: r.Leader != "" && reachable*2 > voters}
	if !b.hasReports() && r.Leader != "" {
		c.Passed, c.Detail = false, fmt.Sprintf("%s leads, but %s was asked", r.Leader, r.Node)
		return c
	}
	if !c.Passed {
		c.Detail = fmt.Sprintf("%d of %d control members reachable, %d needed, leader %q", reachable, voters, voters/2+1, r.Leader)
		if b.in.LeaderlessFor > 0 {
			c.Detail += fmt.Sprintf(", none for %s", b.in.LeaderlessFor.Duration().Truncate(time.Second))
		}
		if len(silent) > 0 {
			c.Detail += "; no answer from " + strings.Join(silent, ", ")
		}
	}
	return c
}

func checkLeases(r Report) Check {
	c := Check{Name: "every entry node serves", Passed: true}
	for _, e := range r.Entries {
		if !e.Condition.Healthy {
			c.Passed = false
			c.Detail += string(e.Node) + " is " + strings.ReplaceAll(e.Condition.State, "_", " ") + "; "
		}
	}
	return c
}

func checkOwners(r Report) Check {
	c := Check{Name: "each VM is in one group", Passed: true}
	owner := map[sardine.VMID]sardine.GroupID{}
	for _, g := range r.Groups {
		if g.Condition.State == sardine.GroupFenced.String() {
			continue
		}
		for _, m := range g.Members {
			if other, taken := owner[m.VM]; taken {
				c.Passed = false
				c.Detail += fmt.Sprintf("%s is in %s and %s; ", m.VM, other, g.ID)
			}
			owner[m.VM] = g.ID
		}
	}
	return c
}

func checkInForce(r Report) Check {
	c := Check{Name: "accepted settings are in force", Passed: true}
	for _, t := range r.Teams {
		if t.Condition.State != "in_force" {
			c.Passed = false
			c.Detail += fmt.Sprintf("version %d of %s is %s; ", t.Version, t.Name, t.Condition.State)
		}
	}
	return c
}

func (b builder) checkWanted(r Report) Check {
	c := Check{Name: "every wanted group serves", Passed: true}
	if !b.hasReports() {
		c.Passed, c.Detail = false, "only the leader knows whether members are missing"
		return c
	}
	for _, t := range r.Teams {
		for _, s := range t.Services {
			if s.Serving < s.Wanted {
				c.Passed = false
				c.Detail += fmt.Sprintf("%s/%s: %d of %d; ", t.Name, s.Name, s.Serving, s.Wanted)
			}
		}
	}
	return c
}
