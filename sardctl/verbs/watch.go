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
		Long: `Asks for the status again and again and prints a line for each thing whose state
has changed. Ends after --for, or with Ctrl-C.`,
		Examples: []string{"sardctl watch", "sardctl watch --every 500ms --for 1m"},
		Args:     cobra.NoArgs,
		Flags: func(f *pflag.FlagSet) {
			f.Duration("every", time.Second, "time between questions")
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
	known := map[string]string{}
	for {
		r, err := c.report()
		if err != nil {
			c.printf("%s no answer: %v\n", time.Now().UTC().Format(time.TimeOnly), err)
		} else {
			c.printChanges(r, known)
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

// printChanges prints what differs from known and keeps it there.
func (c *Call) printChanges(r status.Report, known map[string]string) {
	seen := map[string]bool{}
	note := func(what, state string) {
		seen[what] = true
		if known[what] == state {
			return
		}
		was := known[what]
		known[what] = state
		c.printf("%s %s: %s -> %s\n", stamp(int64(r.At)), what, orDash(was), state)
	}
	note("leader", orDash(string(r.Leader)))
	for _, k := range r.Controls {
		note("control "+string(k.Node), k.Condition.State)
	}
	for _, e := range r.Entries {
		note("entry "+string(e.Node), e.Condition.State)
	}
	for _, g := range r.Groups {
		note("group "+string(g.ID), g.Condition.State)
	}
	for _, t := range r.Targets {
		note("target "+string(t.VM), t.Condition.State)
	}
	for what := range known {
		if !seen[what] {
			c.printf("%s %s: %s -> gone\n", stamp(int64(r.At)), what, known[what])
			delete(known, what)
		}
	}
}
