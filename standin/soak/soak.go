// Package soak runs the programs as processes of their own on loopback, breaks
// them from outside in a seeded order while a load runs, and checks what was
// promised to callers and operators. It ends only processes that it has started.
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
	// startMost bounds the start of the site.
	startMost = 30 * time.Second
	// mendMost is how long the site may take after the last fault until it serves
	// again: an election, the leases of entry nodes and targets, a load.
	mendMost = 30 * time.Second
	// callMost bounds one call of the control nodes.
	callMost = 5 * time.Second
)

// Options are a run's settings.
type Options struct {
	Seed     uint64
	Length   time.Duration // of the faults; the site then gets time to mend
	Programs string        // folder of controld and entryd
	Folder   string        // for settings, data and logs; a new one if empty
	Defect   string        // planted to see that it is found, empty for none
}

// Defects that a run can plant.
const (
	// DefectWiped empties the data folders of two control nodes of three, so that
	// accepted changes are lost.
	DefectWiped = "wiped"
	// DefectTwice makes a plain service run each booking twice.
	DefectTwice = "twice"
)

// Result is what a run saw.
type Result struct {
	Seed       uint64         `json:"seed"`
	Folder     string         `json:"folder"`
	Seconds    float64        `json:"seconds"`
	Faults     map[string]int `json:"faults"`
	Chats      pledge.Counts  `json:"chats"`
	Bookings   pledge.Counts  `json:"bookings"`
	Changes    int            `json:"changes_accepted"`
	MendedMS   int64          `json:"mended_ms"` // from the last fault until a chat and a booking are answered
	Violations []string       `json:"violations"`
}

// run is one run under way.
type run struct {
	options Options
	place   *place
	load    *pledge.Load

	mu     sync.Mutex
	faults map[string]int
	failed []string // processes that ended by themselves
}

// Run runs a site for the given time, or until ctx ends, and returns what it saw.
// The error concerns the start of the site only. Without violations the folder is removed if the run
// has made it.
func Run(ctx context.Context, o Options) (*Result, error) {
	made := o.Folder == ""
	if made {
		folder, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return nil, err
		}
		o.Folder = folder
	}
	r := &run{options: o, faults: make(map[string]int)}
	var err error
	if r.place, err = newPlace(o.Folder, o.Programs, r.processFailed); err != nil {
		return nil, err
	}
	defer r.place.stop()
	if err := r.begin(); err != nil {
		return nil, codes.Wrap(codes.Internal, err, "soak: the site does not start, its logs are in "+o.Folder)
	}
	result := r.soak(ctx)
	if made && len(result.Violations) == 0 {
		_ = os.RemoveAll(o.Folder) // a folder of the system's temporary files
	}
	return result, nil
}

func (r *run) processFailed(name string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := name + " ended by itself"
	if err != nil {
		text += ": " + err.Error()
	}
	r.failed = append(r.failed, text)
}

func (r *run) note(fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[fault]++
}

// begin sets the team's settings and waits until the site serves.
func (r *run) begin() error {
	ctx, cancel := context.WithTimeout(context.Background(), startMost)
	defer cancel()
	version, err := r.place.Set(ctx, 0, "begin", "/teams/"+string(site.Team), site.Document(groups, groupSize))
	if err != nil {
		return err
	}
	r.load = pledge.NewLoad(r.place, version)
	if !until(startMost, func() bool { return r.load.Serves() }) {
		return codes.New(codes.NoTarget, "no chat and booking was answered within %v", startMost)
	}
	return nil
}

// soak runs the load and the faults, lets the site mend, and checks what stays.
func (r *run) soak(parent context.Context) *Result {
	started := time.Now()
	ctx, cancel := context.WithCancel(parent)
	var group sync.WaitGroup
	group.Go(func() { r.load.Run(ctx) })
	r.breakThings(ctx)
	r.plant()
	mending := time.Now()
	if r.options.Defect == "" && !until(mendMost, r.load.Serves) {
		r.load.Violate("the site does not serve within %v of the last fault", mendMost)
	}
	mended := time.Since(mending)
	cancel()
	group.Wait()
	r.checkSettings()
	for _, text := range r.failed {
		r.load.Violate("%s", text)
	}
	seen := r.load.Result()
	return &Result{
		Seed: r.options.Seed, Folder: r.options.Folder, Seconds: time.Since(started).Seconds(), Faults: r.faults,
		Chats: seen.Chats, Bookings: seen.Bookings, Changes: seen.Changes, MendedMS: mended.Milliseconds(), Violations: seen.Violations,
	}
}

func (r *run) breakThings(ctx context.Context) {
	end := time.Now().Add(r.options.Length)
	var group sync.WaitGroup
	for i, faults := range sequences {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
		group.Go(func() { r.sequence(ctx, end, faults, random) })
	}
	group.Wait()
}

// plant breaks a promise on purpose.
func (r *run) plant() {
	switch r.options.Defect {
	case DefectWiped:
		for _, n := range r.place.controls[1:] {
			n.process.end(syscall.SIGKILL)
			if err := wipe(n); err != nil {
				r.load.Violate("the folder of %s can't be emptied: %v", n.process.name, err)
			}
		}
		r.place.controls[0].process.end(syscall.SIGKILL)
		for _, n := range r.place.controls[1:] {
			r.startAgain(n)
		}
	case DefectTwice:
		r.load.BookTwice()
	}
}

// checkSettings reads back what was accepted.
func (r *run) checkSettings() {
	var version uint64
	var err error
	read := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callMost)
		defer cancel()
		version, err = r.place.version(ctx)
		return err == nil || codes.Is(err, codes.UnknownPath) // a quorum knows of none
	}
	if !until(mendMost, read) || err != nil {
		r.load.Violate("the settings can't be read back: %v", err)
		return
	}
	if accepted := r.load.Accepted(); version < accepted {
		r.load.Violate("settings of version %d were accepted, version %d is read back", accepted, version)
	}
}

// Programs returns the folder of the running program, where the others are built
// too.
func Programs() (string, error) {
	own, err := os.Executable()
	return filepath.Dir(own), err
}
