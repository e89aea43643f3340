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
	// toldLimit is the promise: the status is right this long after a failure, and
	// after its end.
	toldLimit = 5 * time.Second
	// overLimit bounds the repair itself, which is judged elsewhere.
	overLimit = 20 * time.Second
	lookEvery = 50 * time.Millisecond
)

// Reporter returns the report that sardctl status prints, asked of the control
// nodes at their operators' addresses.
type Reporter func(controls []string) (status.Report, error)

// FailOptions are the settings of a run with a failure.
type FailOptions struct {
	Name   string // of the failure, see Failures
	Seed   uint64
	JSON   bool
	Report Reporter
	Print  func(status.Report) // for people
}

// failure is one row of the lookup table.
type failure struct {
	name  string
	what  string
	begin func(ctx context.Context, s *stage) (trouble, error)
}

// trouble is a failure that was brought about.
type trouble struct {
	about string
	told  func(status.Report) error       // nil if the report tells the failure rightly
	mend  func(ctx context.Context) error // ends its cause
	over  func() bool                     // by the site itself, not by its report
}

// failures is the lookup table.
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

// Fail runs the site, brings about one failure and checks that the status tells
// it in time, and again once it is over. It fails if the status did not.
func Fail(o FailOptions, out io.Writer) error {
	for _, f := range failures {
		if f.name == o.Name {
			return runFailure(f, o, out)
		}
	}
	return codes.New(codes.UsageError, "--fail %q: expected one of %s", o.Name, strings.Join(Failures(), ", "))
}

func runFailure(f failure, o FailOptions, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	running, err := site.Start(site.WithSeed(o.Seed))
	if err != nil {
		return err
	}
	defer running.Stop()
	w := &watch{stage: &stage{site: running}, options: o, out: out}
	if err := w.run(ctx, f); err != nil {
		return err
	}
	return w.conclude(f)
}

// watch is one run with a failure.
type watch struct {
	stage   *stage
	options FailOptions
	out     io.Writer
	results []result
}

func (w *watch) run(ctx context.Context, f failure) error {
	for _, t := range steps[:3] { // a leader, settings, groups
		if !w.note(perform(ctx, w.stage, t)) {
			return nil
		}
	}
	if !w.look("status: all is well", wellReport) {
		return nil
	}
	begun := time.Now()
	t, err := f.begin(ctx, w.stage)
	if !w.took(f.what+": "+t.about, begun, err) {
		return nil
	}
	if !w.look("status tells the failure", t.told) {
		return nil
	}
	if err := w.show(); err != nil {
		return err
	}
	begun = time.Now()
	if err = t.mend(ctx); err == nil {
		_, err = site.Await(overLimit, "the site has recovered", t.over)
	}
	if w.took("cause mended, the site has recovered", begun, err) {
		w.look("status: all is well again", wellReport)
	}
	return nil
}

func (w *watch) took(name string, begun time.Time, err error) bool {
	r := result{Step: name, Held: err == nil, Figure: milliseconds(time.Since(begun)), Unit: "ms"}
	if err != nil {
		r.Error = err.Error()
	}
	return w.note(r)
}

func (w *watch) note(r result) bool {
	w.results = append(w.results, r)
	if !w.options.JSON {
		printStep(w.out, r)
	}
	return r.Held
}

// look asks for the report until it is right or the promise is broken.
func (w *watch) look(name string, right func(status.Report) error) bool {
	begun := time.Now()
	for {
		r, err := w.options.Report(w.controls())
		if err == nil {
			err = right(r)
		}
		late := time.Since(begun) > toldLimit
		if err == nil && late {
			err = codes.New(codes.Internal, "right only after %s", time.Since(begun))
		}
		if err == nil || late {
			return w.took(name, begun, err)
		}
		time.Sleep(lookEvery)
	}
}

// show prints the status as an operator sees it.
func (w *watch) show() error {
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

// controls returns the operators' addresses of the control nodes that run.
func (w *watch) controls() []string {
	var all []string
	for _, c := range w.stage.site.Controls() {
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

func (w *watch) conclude(f failure) error {
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
		return codes.New(codes.Internal, "the status did not tell %q rightly in time", f.name)
	}
	return nil
}
