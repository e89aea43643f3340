// Command controld is the daemon of a control node of sardineswitch; see its --help.
package main

import (
	"os"

	"sardineswitch.dev/sardine/controld/start"
)

func main() {
	os.Exit(start.Main(os.Args[1:], os.Stdout, os.Stderr))
}
