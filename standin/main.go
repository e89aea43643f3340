// Command standin runs stand-ins for what surrounds sardineswitch, and its
// measurements.
package main

import (
	"os"

	"sardineswitch.dev/sardine/standin/start"
)

func main() {
	os.Exit(start.Main(os.Args[1:], os.Stdout, os.Stderr))
}
