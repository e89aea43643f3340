// Command entryd is the daemon of an entry node of sardineswitch; see its --help.
package main

import (
	"os"

	"sardineswitch.dev/sardine/entryd/start"
)

func main() {
	os.Exit(start.Main(os.Args[1:], os.Stdout, os.Stderr))
}
