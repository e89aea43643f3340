package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/sever"
	"sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/standin/site"
)

// Durations of a fault and of the pause after it.
const (
	shortestFault = 200 * time.Millisecond
	longestFault  = 5 * time.Second
	longestPause  = 1500 * time.Millisecond
)

// fault injects one failure, waits, and repairs it.
type fault struct {
	name string
	run  func(r *run, random *rand.Rand)
}

// sequences lists the faults. The sequences run concurrently, each with one
// fault at a time. All faults of control node processes are in one sequence,
// so that no two of them coincide; faults of their connections may occur
// meanwhile.
var sequences = [][]fault{
	{
		{"entry killed", func(r *run, random *rand.Rand) { r.restart(pick(random, r.site.entries), syscall.SIGKILL, random) }},
		{"entry ended", func(r *run, random *rand.Rand) { r.restart(pick(random, r.site.entries), syscall.SIGTERM, random) }},
		{"entry paused", func(r *run, random *rand.Rand) { r.pauseProcess(pick(random, r.site.entries), random) }},
		{"entry told to read its settings", func(r *run, random *rand.Rand) { pick(random, r.site.entries).process.signal(syscall.SIGHUP) }},
	},
	{
		{"control killed", func(r *run, random *rand.Rand) { r.restart(pick(random, r.site.controls), syscall.SIGKILL, random) }},
		{"control ended", func(r *run, random *rand.Rand) { r.restart(pick(random, r.site.controls), syscall.SIGTERM, random) }},
		{"control paused", func(r *run, random *rand.Rand) { r.pauseProcess(pick(random, r.site.controls), random) }},
		{"control not heard", func(r *run, random *rand.Rand) { r.degrade(pick(random, r.site.controls).internal, dropIn, random) }},
		{"control not answering", func(r *run, random *rand.Rand) { r.degrade(pick(random, r.site.controls).internal, dropOut, random) }},
		{"all controls killed", func(r *run, random *rand.Rand) { r.restartAll(random) }},
	},
	{
		{"control connections reset", func(r *run, random *rand.Rand) { pick(random, r.site.controls).internal.reset() }},
		{"control connections slow", func(r *run, random *rand.Rand) { r.degrade(pick(random, r.site.controls).internal, delay, random) }},
		{"caller connections reset", func(r *run, random *rand.Rand) { pick(random, r.site.entries).public.reset() }},
		{"caller connections slow", func(r *run, random *rand.Rand) { r.degrade(pick(random, r.site.entries).public, delay, random) }},
		{"entry not heard by its followers", func(r *run, random *rand.Rand) { r.degrade(pick(random, r.site.entries).internal, dropIn, random) }},
	},
	{
		{"engine dies", crashEngine},
		{"service dies", crashService},
	},
	{
		{"chats with a poison prefix", poisonPrefix},
	},
	{
		{"entry cut from targets", func(r *run, random *rand.Rand) { r.cutTargets(sever.Silent, random) }},
		{"entry cut from targets, connections reset", func(r *run, random *rand.Rand) { r.cutTargets(sever.Reset, random) }},
		{"entry cut from targets, new connections refused", func(r *run, random *rand.Rand) { r.cutTargets(sever.Refuse, random) }},
	},
}

func pick[T any](random *rand.Rand, choices []T) T {
	return choices[random.IntN(len(choices))]
}

// holdFault sleeps for the duration of a fault.
func holdFault(random *rand.Rand) {
	time.Sleep(shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))))
}

// sequence injects one random fault after the other until end.
func (r *run) sequence(ctx context.Context, end time.Time, choices []fault, random *rand.Rand) {
	for time.Now().Before(end) && ctx.Err() == nil {
		f := pick(random, choices)
		r.countFault(f.name)
		f.run(r, random)
		time.Sleep(time.Duration(random.Int64N(int64(longestPause))))
	}
}

// restart stops a process by a signal and starts it again after a while.
func (r *run) restart(n *node, s syscall.Signal, random *rand.Rand) {
	if !n.process.terminate(s) {
		r.load.RecordViolation("%s did not exit within %v after %v", n.process.name, exitTimeout, s)
	}
	holdFault(random)
	r.startProcess(n)
}

func (r *run) startProcess(n *node) {
	if err := n.process.start(); err != nil {
		r.load.RecordViolation("%s did not restart: %v", n.process.name, err)
	}
}

// pauseProcess stops a process with SIGSTOP and continues it after a while.
func (r *run) pauseProcess(n *node, random *rand.Rand) {
	n.process.signal(syscall.SIGSTOP)
	holdFault(random)
	n.process.signal(syscall.SIGCONT)
}

// degrade puts a proxy into a mode for a while.
func (r *run) degrade(p *proxy, m mode, random *rand.Rand) {
	p.set(m)
	holdFault(random)
	p.set(forward)
	p.reset() // a connection that has lost bytes can't be used again
}

// cutTargets cuts an entry node from all targets for a while. The cut outlasts a restart.
func (r *run) cutTargets(m sever.Mode, random *rand.Rand) {
	links := pick(random, r.site.entries).process.settings + sever.FileSuffix
	err := sever.Store(links, m)
	holdFault(random)
	if err = errors.Join(err, sever.Store(links, sever.Up)); err != nil {
		r.load.RecordViolation("the links can't be cut: %v", err)
	}
}

// restartAll kills all control nodes at once and restarts them in random order.
func (r *run) restartAll(random *rand.Rand) {
	for _, n := range r.site.controls {
		n.process.terminate(syscall.SIGKILL)
	}
	holdFault(random)
	for _, i := range random.Perm(len(r.site.controls)) {
		r.startProcess(r.site.controls[i])
	}
}

func crashEngine(r *run, random *rand.Rand) {
	e := pick(random, r.site.engines)
	e.Stop()
	holdFault(random)
	if err := e.Start(); err != nil {
		r.load.RecordViolation("engine %s did not restart: %v", e.VM(), err)
	}
}

func crashService(r *run, random *rand.Rand) {
	s := pick(random, r.site.plains)
	s.Stop()
	holdFault(random)
	if err := s.Start(); err != nil {
		r.load.RecordViolation("service %s did not restart: %v", s.VM(), err)
	}
}

// poisonChats is the number of chats of one fault with a poison prefix.
const poisonChats = 4

// poisonPrefix sends chats that differ but begin with one of a few texts that crash the
// engines that run them, each through some entry node, and restarts the engines.
func poisonPrefix(r *run, random *rand.Rand) {
	client := &http.Client{Timeout: longestFault, Transport: &http.Transport{DisableKeepAlives: true}}
	prefix := fmt.Sprintf("%s rules of house %d%s", engine.PoisonMarker, random.IntN(3), strings.Repeat(" and so on", 30))
	for range poisonChats {
		body := fmt.Sprintf(`{"model":"surtitles","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"%s %x"}]}`, prefix, random.Uint64())
		request, err := http.NewRequest(http.MethodPost, "http://"+pick(random, r.site.entries).public.listener.Addr().String()+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			r.load.RecordViolation("chat with a poison prefix: %v", err)
			return
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(reply.HeaderWorkspace, string(site.Workspace))
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close() // any answer will do
		}
	}
	for _, e := range r.site.engines {
		if err := e.Start(); err != nil { // no effect if it is running
			r.load.RecordViolation("engine %s did not restart: %v", e.VM(), err)
		}
	}
	holdFault(random)
}

// emptyDataFolder empties a control node's data folder, which loses accepted
// settings.
func emptyDataFolder(n *node) error {
	if err := os.RemoveAll(n.folder); err != nil {
		return err
	}
	return os.Mkdir(n.folder, 0o700)
}
