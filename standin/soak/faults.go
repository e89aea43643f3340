package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// Lengths of a fault and of the quiet after it.
const (
	shortestFault = 200 * time.Millisecond
	longestFault  = 5 * time.Second
	longestQuiet  = 1500 * time.Millisecond
)

// fault breaks one thing, waits and mends it.
type fault struct {
	name string
	run  func(r *run, random *rand.Rand)
}

// sequences lists what is broken. One fault of each sequence is under way at any
// time. Control nodes have one sequence, so that one of them is lost at once; what
// happens to their connections comes beside it.
var sequences = [][]fault{
	{
		{"entry killed", func(r *run, random *rand.Rand) { r.restart(pick(random, r.place.entries), syscall.SIGKILL, random) }},
		{"entry ended", func(r *run, random *rand.Rand) { r.restart(pick(random, r.place.entries), syscall.SIGTERM, random) }},
		{"entry paused", func(r *run, random *rand.Rand) { r.pauses(pick(random, r.place.entries), random) }},
		{"entry told to read its settings", func(r *run, random *rand.Rand) { pick(random, r.place.entries).process.signal(syscall.SIGHUP) }},
	},
	{
		{"control killed", func(r *run, random *rand.Rand) { r.restart(pick(random, r.place.controls), syscall.SIGKILL, random) }},
		{"control ended", func(r *run, random *rand.Rand) { r.restart(pick(random, r.place.controls), syscall.SIGTERM, random) }},
		{"control paused", func(r *run, random *rand.Rand) { r.pauses(pick(random, r.place.controls), random) }},
		{"control not heard", func(r *run, random *rand.Rand) { r.lossy(pick(random, r.place.controls).internal, swallow, random) }},
		{"control not answering", func(r *run, random *rand.Rand) { r.lossy(pick(random, r.place.controls).internal, mute, random) }},
		{"all controls killed", func(r *run, random *rand.Rand) { r.restartAll(random) }},
	},
	{
		{"control connections reset", func(r *run, random *rand.Rand) { pick(random, r.place.controls).internal.reset() }},
		{"control connections slow", func(r *run, random *rand.Rand) { r.lossy(pick(random, r.place.controls).internal, delay, random) }},
		{"caller connections reset", func(r *run, random *rand.Rand) { pick(random, r.place.entries).public.reset() }},
		{"caller connections slow", func(r *run, random *rand.Rand) { r.lossy(pick(random, r.place.entries).public, delay, random) }},
		{"entry not heard by its followers", func(r *run, random *rand.Rand) { r.lossy(pick(random, r.place.entries).internal, swallow, random) }},
	},
	{
		{"engine dies", engineDies},
		{"service dies", serviceDies},
	},
}

func pick[T any](random *rand.Rand, of []T) T {
	return of[random.IntN(len(of))]
}

func hold(random *rand.Rand) {
	time.Sleep(shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))))
}

func (r *run) sequence(ctx context.Context, end time.Time, of []fault, random *rand.Rand) {
	for time.Now().Before(end) && ctx.Err() == nil {
		f := pick(random, of)
		r.note(f.name)
		f.run(r, random)
		time.Sleep(time.Duration(random.Int64N(int64(longestQuiet))))
	}
}

func (r *run) restart(n *node, s syscall.Signal, random *rand.Rand) {
	if !n.process.end(s) {
		r.load.Violate("%s did not end within %v of %v", n.process.name, endMost, s)
	}
	hold(random)
	r.startAgain(n)
}

func (r *run) startAgain(n *node) {
	if err := n.process.start(); err != nil {
		r.load.Violate("%s does not start again: %v", n.process.name, err)
	}
}

func (r *run) pauses(n *node, random *rand.Rand) {
	n.process.signal(syscall.SIGSTOP)
	hold(random)
	n.process.signal(syscall.SIGCONT)
}

func (r *run) lossy(p *proxy, m mode, random *rand.Rand) {
	p.set(m)
	hold(random)
	p.set(pass)
	p.reset() // nothing could follow on a connection that has lost bytes
}

// restartAll kills all control nodes at once and starts them again in any order.
func (r *run) restartAll(random *rand.Rand) {
	for _, n := range r.place.controls {
		n.process.end(syscall.SIGKILL)
	}
	hold(random)
	for _, i := range random.Perm(len(r.place.controls)) {
		r.startAgain(r.place.controls[i])
	}
}

func engineDies(r *run, random *rand.Rand) {
	e := pick(random, r.place.engines)
	e.Stop()
	hold(random)
	if err := e.Start(); err != nil {
		r.load.Violate("engine %s does not start again: %v", e.VM(), err)
	}
}

func serviceDies(r *run, random *rand.Rand) {
	s := pick(random, r.place.plains)
	s.Stop()
	hold(random)
	if err := s.Start(); err != nil {
		r.load.Violate("service %s does not start again: %v", s.VM(), err)
	}
}

// wipe empties a control node's data folder, as a defect that its operator would
// have to mend.
func wipe(n *node) error {
	if err := os.RemoveAll(n.folder); err != nil {
		return err
	}
	return os.Mkdir(n.folder, 0o700)
}
