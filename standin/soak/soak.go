// Package soak runs the programs as separate processes on loopback, injects
// faults from outside in a seeded order while a load runs, and checks the
// guarantees to callers and operators. It stops only processes that it has
// started.
package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/standin/pledge"
	"sardineswitch.dev/sardine/standin/site"
)

const (
	// startTimeout is the time that the site gets to start.
	startTimeout = 30 * time.Second
	// recoveryTimeout is the time that the site gets after the last fault until
	// it serves again: an election, the leases of entry nodes and targets, and
	// the loading of weights.
	recoveryTimeout = 30 * time.Second
	// callTimeout is the timeout of one call to the control nodes.
	callTimeout = 5 * time.Second
)

// Options are the settings of a run.
type Options struct {
	Seed     uint64
	Duration time.Duration // time during which faults are injected; the site then gets time to recover
	Programs string        // folder of the programs controld and severd
	Folder   string        // for settings, data and logs; a new temporary one if empty
	Defect   string        // injected to check that it is detected; empty for none
}

// Defects that a run can inject.
const (
	// DefectWiped empties the data folders of two control nodes of three, so
	// that accepted changes are lost.
	DefectWiped = "wiped"
	// DefectTwice sends one booking twice without an idempotency key, so that
	// it runs twice.
	DefectTwice = "twice"
)

// Result holds the outcome of a run.
type Result struct {
	Seed       uint64         `json:"seed"`
	Folder     string         `json:"folder"`
	Seconds    float64        `json:"seconds"`
	Faults     map[string]int `json:"faults"`
	Chats      pledge.Counts  `json:"chats"`
	Bookings   pledge.Counts  `json:"bookings"`
	Changes    int            `json:"changes_accepted"`
	RecoveryMS int64          `json:"mended_ms"` // from the last fault until a chat and a booking are answered
	Violations []string       `json:"violations"`
}

// run is a run in progress.
type run struct {
	options Options
	site    *processSite
	load    *pledge.Load

	mu              sync.Mutex
	faults          map[string]int // number of injected faults by name
	unexpectedExits []string       // descriptions of unexpected exits
}

// Run runs a site under load and faults for the given time, or until ctx ends,
// and returns the outcome. It returns an error only if the site does not
// start. A temporary folder is removed unless there were violations.
func Run(ctx context.Context, o Options) (*Result, error) {
	temporary := o.Folder == ""
	if temporary {
		folder, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return nil, err
		}
		o.Folder = folder
	}
	r := &run{options: o, faults: make(map[string]int)}
	var err error
	if r.site, err = newProcessSite(o.Folder, o.Programs, r.processFailed); err != nil {
		return nil, err
	}
	defer r.site.stop()
	if err := r.prepare(); err != nil {
		return nil, codes.Wrap(codes.Internal, err, "soak: the site did not start, its logs are in "+o.Folder)
	}
	result := r.soak(ctx)
	if temporary && len(result.Violations) == 0 {
		_ = os.RemoveAll(o.Folder) // otherwise left to the cleanup of temporary files
	}
	return result, nil
}

// processFailed records that a process exited unexpectedly.
func (r *run) processFailed(name string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := name + " exited unexpectedly"
	if err != nil {
		text += ": " + err.Error()
	}
	r.unexpectedExits = append(r.unexpectedExits, text)
}

// countFault counts a fault.
func (r *run) countFault(fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[fault]++
}

// prepare stores the team's settings and waits until the site serves.
func (r *run) prepare() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	version, err := r.site.Set(ctx, 0, "begin", "/teams/"+string(site.Team), site.Document(groups, groupSize))
	if err != nil {
		return err
	}
	r.load = pledge.NewLoad(r.site, version)
	if !waitUntil(startTimeout, func() bool { return r.load.Serves() }) {
		return codes.New(codes.NoTarget, "no chat and booking succeeded within %v", startTimeout)
	}
	return nil
}

// soak runs the load and the faults, waits until the site has recovered, and
// checks that the accepted settings were kept.
func (r *run) soak(parent context.Context) *Result {
	started := time.Now()
	ctx, cancel := context.WithCancel(parent)
	var group sync.WaitGroup
	group.Go(func() { r.load.Run(ctx) })
	r.injectFaults(ctx)
	r.injectDefect()
	recoveryStart := time.Now()
	if r.options.Defect == "" && !waitUntil(recoveryTimeout, r.load.Serves) {
		r.load.RecordViolation("the site did not serve within %v after the last fault", recoveryTimeout)
	}
	recovery := time.Since(recoveryStart)
	cancel()
	group.Wait()
	r.checkSettings()
	for _, text := range r.unexpectedExits {
		r.load.RecordViolation("%s", text)
	}
	outcome := r.load.Result()
	return &Result{
		Seed: r.options.Seed, Folder: r.options.Folder, Seconds: time.Since(started).Seconds(), Faults: r.faults,
		Chats: outcome.Chats, Bookings: outcome.Bookings, Changes: outcome.Changes, RecoveryMS: recovery.Milliseconds(), Violations: outcome.Violations,
	}
}

// injectFaults runs all sequences of faults concurrently until the time is
// over.
func (r *run) injectFaults(ctx context.Context) {
	end := time.Now().Add(r.options.Duration)
	var group sync.WaitGroup
	for i, faults := range sequences {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
		group.Go(func() { r.sequence(ctx, end, faults, random) })
	}
	group.Wait()
}

// injectDefect violates a guarantee on purpose, if the options name a defect.
func (r *run) injectDefect() {
	switch r.options.Defect {
	case DefectWiped:
		for _, n := range r.site.controls[1:] {
			n.process.terminate(syscall.SIGKILL)
			if err := emptyDataFolder(n); err != nil {
				r.load.RecordViolation("the folder of %s can't be emptied: %v", n.process.name, err)
			}
		}
		r.site.controls[0].process.terminate(syscall.SIGKILL)
		for _, n := range r.site.controls[1:] {
			r.startProcess(n)
		}
	case DefectTwice:
		r.load.InjectDuplicateBooking()
	}
}

// checkSettings checks that the latest accepted version of the settings can be
// read back.
func (r *run) checkSettings() {
	var version uint64
	var err error
	read := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		version, err = r.site.version(ctx)
		return err == nil || codes.Is(err, codes.UnknownPath) // a quorum has no settings of the team
	}
	if !waitUntil(recoveryTimeout, read) || err != nil {
		r.load.RecordViolation("the settings can't be read back: %v", err)
		return
	}
	if accepted := r.load.Accepted(); version < accepted {
		r.load.RecordViolation("settings of version %d were accepted, version %d is read back", accepted, version)
	}
}

// Programs returns the folder of the running program, into which the other
// programs are built too.
func Programs() (string, error) {
	own, err := os.Executable()
	return filepath.Dir(own), err
}
