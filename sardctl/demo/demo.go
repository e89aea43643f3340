// Package demo runs a whole site on loopback in one process: real nodes, real
// HTTP, and stand-ins for engines, services and the load balancer. Each step prints
// the figure that it measured.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/standin/site"
)

// Options are the demo's settings.
type Options struct {
	Seed uint64
	JSON bool
	Keep bool // keep the site running until a signal arrives on Stop
	Stop <-chan os.Signal
}

// stepStartLimit is the time after which no step begins. A step takes at most 15 s,
// so that the demo ends within 60 s.
const stepStartLimit = 45 * time.Second

// demoState is shared by the steps.
type demoState struct {
	site *site.Site
	load *load
	base uint64 // version of the team's settings
}

// step is one step of the demo. Its run function returns the figure to print.
type step struct {
	name string
	unit string
	run  func(ctx context.Context, s *demoState) (float64, error)
}

// steps lists the demo's steps in order.
var steps = []step{
	{"control quorum elects a leader", "ms", electLeader},
	{"settings of a team in force on every entry node", "ms", setSettings},
	{"two groups of 4 VMs formed, loaded and serving", "ms", formGroups},
	{"first token of a chat through each entry node", "ms", chatEverywhere},
	{"booking sent twice through two entry nodes runs once", "runs", bookOnce},
	{"a member dies: its group gets no more requests", "ms", killMember},
	{"the group is repaired and serves again", "ms", awaitRepair},
	{"a target leaves: it gets no new requests", "ms", leaveTarget},
	{"a settings change in force on every entry node", "ms", changeSettings},
	{"the control leader dies: next change accepted", "ms", killLeader},
	{"an entry node drains under load, requests cut off", "requests", drainEntry},
	{"answers right under all of this", "answers", checkLoad},
}

// result is the outcome of one step, also as JSON.
type result struct {
	Step   string  `json:"step"`
	Held   bool    `json:"held"`
	Figure float64 `json:"figure"`
	Unit   string  `json:"unit"`
	Error  string  `json:"error,omitempty"`
}

type report struct {
	Seed    uint64   `json:"seed"`
	Held    bool     `json:"held"`
	Seconds float64  `json:"seconds"`
	Steps   []result `json:"steps"`
	Answers tally    `json:"answers"`
}

// Run runs the demo and prints each step. It stops at the first step that fails and
// returns an error.
func Run(options Options, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), stepStartLimit)
	defer cancel()
	started := time.Now()
	running, err := site.Start(site.WithSeed(options.Seed))
	if err != nil {
		return err
	}
	defer running.Stop()
	s := &demoState{site: running}
	r := report{Seed: options.Seed, Held: true}
	for _, t := range steps {
		done := runStep(ctx, s, t)
		r.Steps = append(r.Steps, done)
		r.Held = r.Held && done.Held
		if !options.JSON {
			printStep(out, done)
		}
		if !done.Held {
			break
		}
	}
	if s.load != nil {
		r.Answers = s.load.stop()
	}
	r.Seconds = time.Since(started).Seconds()
	if err := summarize(r, options, out); err != nil {
		return err
	}
	if options.Keep && r.Held {
		keepRunning(running, options, out)
	}
	return nil
}

func runStep(ctx context.Context, s *demoState, t step) result {
	if ctx.Err() != nil {
		return result{Step: t.name, Unit: t.unit, Error: "the demo's time was over before this step"}
	}
	figure, err := t.run(ctx, s)
	done := result{Step: t.name, Held: err == nil, Figure: figure, Unit: t.unit}
	if err != nil {
		done.Error = err.Error()
	}
	return done
}

func printStep(out io.Writer, r result) {
	mark := "ok"
	if !r.Held {
		mark = "FAILED"
	}
	fmt.Fprintf(out, "%-6s %-56s %9.1f %s\n", mark, r.Step, r.Figure, r.Unit)
	if r.Error != "" {
		fmt.Fprintf(out, "       %s\n", r.Error)
	}
}

func summarize(r report, options Options, out io.Writer) error {
	if options.JSON {
		line, err := json.Marshal(r)
		if err != nil {
			return codes.Wrap(codes.Internal, err, "report can't be written")
		}
		fmt.Fprintln(out, string(line))
	} else {
		fmt.Fprintf(out, "\nanswers: %d right, %d wrong, %d refused and not run, %d broken off; first token %d ms (median)\n",
			r.Answers.Right, r.Answers.Wrong, r.Answers.NotRun, r.Answers.Broken, r.Answers.FirstMS)
		fmt.Fprintf(out, "took %.1f s\n", r.Seconds)
	}
	if !r.Held {
		return codes.New(codes.Internal, "a step of the demo did not hold")
	}
	return nil
}

// keepRunning prints commands that work against the site and waits for
// options.Stop.
func keepRunning(s *site.Site, options Options, out io.Writer) {
	fmt.Fprintf(out, "\nThe site is up until you press Ctrl-C. Try:\n\n")
	fmt.Fprintf(out, "curl -N http://%s/v1/chat/completions -H 'Content-Type: application/json' -H 'X-Sardine-Workspace: %s' \\\n"+
		"  -d '{\"model\":\"surtitles\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"line 1\"}]}'\n\n",
		s.Balancer(), site.Workspace)
	fmt.Fprintf(out, "curl http://%s/services/%s/bookings -H 'X-Sardine-Workspace: %s' -H 'Idempotency-Key: seat-7' -d 'seat 7'\n\n",
		s.Balancer(), site.Service, site.Workspace)
	for _, c := range s.Controls() {
		if c.Node() != nil {
			fmt.Fprintf(out, "sardctl --controls %s status\n", c.Node().OperatorAddress())
			break
		}
	}
	<-options.Stop
}
