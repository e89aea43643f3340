// Command platform plays the cases of the review against the project's own programs:
// it starts them as the platform does, on loopback addresses, with stand-ins of the
// operator, the workers and the callers.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// verdict is the result of a case, and the exit status of the program.
type verdict int

const (
	held   verdict = 0 // the rule was kept
	broken verdict = 1
	unable verdict = 2 // the case could not be played
)

// cases maps a case's name to the function that plays it.
var cases = map[string]func(*rig) (verdict, error){
	"left":    playLeft,
	"long":    playLong,
	"spoiled": playSpoiled,
	"slow":    playSlow,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: platform CASE FOLDER, in the root of the repository; TROUBLE=0 leaves the disruption out")
		os.Exit(int(unable))
	}
	os.Exit(int(play(os.Args[1], os.Args[2])))
}

// play plays a case and records it in the folder's record.txt.
func play(name, folder string) verdict {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer func() { _ = record.Close() }()
	r := newRig(record, os.Getenv("TROUBLE") != "0")
	defer r.stop()
	v, err := cases[name](r)
	if err != nil {
		r.log("the case could not be played: %v", err)
		v = unable
	}
	r.log("exit %d (0 held, 1 broken, 2 not played)", v)
	return v
}
