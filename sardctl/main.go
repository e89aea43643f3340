// Command sardctl is the operators' command line tool; see sardctl --help.
package main

import (
	"os"

	"sardineswitch.dev/sardine/sardctl/start"
)

func main() {
	os.Exit(start.Main(os.Args[1:], os.Stdout, os.Stderr))
}
