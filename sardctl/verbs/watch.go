package verbs

import (
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/status"
)

func watchVerb() Verb {
	return Verb{
		Use:     "watch",
		Section: SectionSite,
		Short:   "Print what changes, as it changes",
		Long: `Polls the status and prints a line for each node, group or target whose state has
changed. Ends after --for, or with Ctrl-C.`,
		Examples: []string{"sardctl watch", "sardctl watch --every 500ms --for 1m"},
		Args:     cobra.NoArgs,
		Flags: func(f *pflag.FlagSet) {
			f.Duration("every", time.Second, "time between polls")
			f.Duration("for", 0, "end after this time, 0 for never")
		},
		Run: runWatch,
	}
}

func runWatch(c *Call) error {
	every, _ := c.flags.GetDuration("every") // the command defined it
	length, _ := c.flags.GetDuration("for")  // the command defined it
	var end <-chan time.Time
	if length > 0 {
		end = time.After(length)
	}
	states := map[string]string{}
	for {
		r, err := c.report()
		if err != nil {
			c.printf("%s no answer: %v\n", time.Now().UTC().Format(time.TimeOnly), err)
		} else {
			c.printChanges(r, states)
		}
		select {
		case <-c.ctx.Done():
			return nil
		case <-end:
			return nil
		case <-time.After(max(every, 10*time.Millisecond)):
		}
	}
}

// printChanges prints what differs from states and records it there.
func (c *Call) printChanges(r status.Report, states map[string]string) {
	seen := map[string]bool{}
	update := func(what, state string) {
		seen[what] = true
		if states[what] == state {
			return
		}
		previous := states[what]
		states[what] = state
		c.printf("%s %s: %s -> %s\n", formatTime(int64(r.At)), what, orDash(previous), state)
	}
	update("leader", orDash(string(r.Leader)))
	for _, k := range r.Controls {
		update("control "+string(k.Node), k.Condition.State)
	}
	for _, e := range r.Entries {
		update("entry "+string(e.Node), e.Condition.State)
	}
	for _, g := range r.Groups {
		update("group "+string(g.ID), g.Condition.State)
	}
	for _, t := range r.Targets {
		update("target "+string(t.VM), t.Condition.State)
	}
	for what := range states {
		if !seen[what] {
			c.printf("%s %s: %s -> gone\n", formatTime(int64(r.At)), what, states[what])
			delete(states, what)
		}
	}
}
