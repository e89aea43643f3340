package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/standin/site"
	"sardineswitch.dev/sardine/status"
)

const (
	// reportLimit is the guaranteed time within which the status is correct after a
	// failure and after its end.
	reportLimit = 5 * time.Second
	// recoveryLimit bounds the repair itself, whose duration is checked elsewhere.
	recoveryLimit = 20 * time.Second
	pollInterval  = 50 * time.Millisecond
)

// Reporter returns the report that sardctl status prints, fetched from the control
// nodes at the given operators' addresses.
type Reporter func(controls []string) (status.Report, error)

// FailOptions are the settings of a run with an injected failure.
type FailOptions struct {
	Name   string // of the failure, see Failures
	Seed   uint64
	JSON   bool
	Report Reporter
	Print  func(status.Report) // prints the report for people
}

// failure is one kind of failure that the demo can inject.
type failure struct {
	name        string
	description string
	inject      func(ctx context.Context, s *demoState) (injectedFailure, error)
}

// injectedFailure is a failure that has been injected into the site.
type injectedFailure struct {
	subject     string
	check       func(status.Report) error       // returns nil if the report shows the failure correctly
	removeCause func(ctx context.Context) error // such as a restart of the dead VM
	recovered   func() bool                     // reports whether the site itself, not its report, has recovered
}

// failures lists the failures that sardctl demo --fail accepts.
var failures = []failure{
	{"member", "one VM of a serving group dies", failMember},
	{"domain", "all VMs of one fabric domain die", failDomain},
	{"control", "the leading control node dies", failControl},
	{"entry", "an entry node dies", failEntry},
	{"poison", "a request crashes every target that runs it", failPoison},
}

// Failures returns the names of the failures, in the order of the table.
func Failures() []string {
	var names []string
	for _, f := range failures {
		names = append(names, f.name)
	}
	return names
}

// RunWithFailure runs the site, injects one failure and checks that the status reports it in
// time, and its end as well. It returns an error if the status does not.
func RunWithFailure(o FailOptions, out io.Writer) error {
	for _, f := range failures {
		if f.name == o.Name {
			return runFailure(f, o, out)
		}
	}
	return codes.New(codes.UsageError, "--fail %q: expected one of %s", o.Name, strings.Join(Failures(), ", "))
}

func runFailure(f failure, o FailOptions, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), stepStartLimit)
	defer cancel()
	running, err := site.Start(site.WithSeed(o.Seed))
	if err != nil {
		return err
	}
	defer running.Stop()
	w := &failureRun{state: &demoState{site: running}, options: o, out: out}
	if err := w.run(ctx, f); err != nil {
		return err
	}
	return w.summarize(f)
}

// failureRun is one run with an injected failure.
type failureRun struct {
	state   *demoState
	options FailOptions
	out     io.Writer
	results []result
}

func (w *failureRun) run(ctx context.Context, f failure) error {
	for _, t := range steps[:3] { // a leader, settings, groups
		if !w.record(runStep(ctx, w.state, t)) {
			return nil
		}
	}
	if !w.awaitReport("status: all is well", checkHealthy) {
		return nil
	}
	begun := time.Now()
	t, err := f.inject(ctx, w.state)
	if !w.recordTimed(f.description+": "+t.subject, begun, err) {
		return nil
	}
	if !w.awaitReport("status tells the failure", t.check) {
		return nil
	}
	if err := w.printStatus(); err != nil {
		return err
	}
	begun = time.Now()
	if err = t.removeCause(ctx); err == nil {
		_, err = site.Await(recoveryLimit, "the site has recovered", t.recovered)
	}
	if w.recordTimed("cause mended, the site has recovered", begun, err) {
		w.awaitReport("status: all is well again", checkHealthy)
	}
	return nil
}

func (w *failureRun) recordTimed(name string, begun time.Time, err error) bool {
	r := result{Step: name, Held: err == nil, Figure: milliseconds(time.Since(begun)), Unit: "ms"}
	if err != nil {
		r.Error = err.Error()
	}
	return w.record(r)
}

func (w *failureRun) record(r result) bool {
	w.results = append(w.results, r)
	if !w.options.JSON {
		printStep(w.out, r)
	}
	return r.Held
}

// awaitReport polls the report until right returns nil or reportLimit has passed.
func (w *failureRun) awaitReport(name string, right func(status.Report) error) bool {
	begun := time.Now()
	for {
		r, err := w.options.Report(w.controls())
		if err == nil {
			err = right(r)
		}
		late := time.Since(begun) > reportLimit
		if err == nil && late {
			err = codes.New(codes.Internal, "right only after %s", time.Since(begun))
		}
		if err == nil || late {
			return w.recordTimed(name, begun, err)
		}
		time.Sleep(pollInterval)
	}
}

// printStatus prints the status as an operator sees it.
func (w *failureRun) printStatus() error {
	if w.options.JSON {
		return nil
	}
	r, err := w.options.Report(w.controls())
	if err != nil {
		return err
	}
	fmt.Fprintln(w.out)
	w.options.Print(r)
	fmt.Fprintln(w.out)
	return nil
}

// controls returns the operators' addresses of the running control nodes.
func (w *failureRun) controls() []string {
	var all []string
	for _, c := range w.state.site.Controls() {
		if c.Node() != nil {
			all = append(all, c.Node().OperatorAddress())
		}
	}
	return all
}

// failReport is a run's outcome as JSON.
type failReport struct {
	Failure string   `json:"failure"`
	Seed    uint64   `json:"seed"`
	Held    bool     `json:"held"`
	Steps   []result `json:"steps"`
}

func (w *failureRun) summarize(f failure) error {
	r := failReport{Failure: f.name, Seed: w.options.Seed, Held: true, Steps: w.results}
	for _, s := range w.results {
		r.Held = r.Held && s.Held
	}
	if w.options.JSON {
		line, err := json.Marshal(r)
		if err != nil {
			return codes.Wrap(codes.Internal, err, "report can't be written")
		}
		fmt.Fprintln(w.out, string(line))
	}
	if !r.Held {
		return codes.New(codes.Internal, "the status did not report failure %q correctly in time", f.name)
	}
	return nil
}
