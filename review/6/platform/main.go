// Command platform plays the scripts of the second review: it starts the project's
// programs on loopback as the platform does, with stand-ins of workers, requesters and
// the operator, and checks one rule by what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is a case. It reports whether the rule was broken.
type play struct {
	controls int // core machines of the deployment
	run      func(s *site, trouble bool) (broken bool, err error)
}

var plays = map[string]play{
	"flood":     {3, playFlood},
	"malformed": {3, playMalformed},
	"leaving":   {3, playLeaving},
	"replaced":  {5, playReplaced},
	"uploads":   {3, playUploads},
}

func main() {
	name := flag.String("case", "", "case to play")
	programs := flag.String("programs", "target", "folder of the programs")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *programs, *path))
}

func run(name, programs, path string) int {
	one, known := plays[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitFailed
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	s, err := newSite(r, programs, one.controls)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.stop()
		os.Exit(exitFailed)
	}()
	if err := s.start(); err != nil {
		r.say("the case can't run: %v", err)
		return exitFailed
	}
	broken, err := one.run(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case can't run: %v", err)
		return exitFailed
	case broken:
		r.say("the rule is broken")
		return exitBroken
	default:
		r.say("the rule holds")
		return exitHeld
	}
}
