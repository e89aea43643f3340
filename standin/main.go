// Command standin runs stand-ins for the components around sardineswitch, and the
// measures of the project.
package main

import (
	"os"

	"sardineswitch.dev/sardine/standin/start"
)

func main() {
	os.Exit(start.Main(os.Args[1:], os.Stdout, os.Stderr))
}
