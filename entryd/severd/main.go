// Command severd runs an entry node as entryd does, with links to its targets that can be
// made to fail. It is for tests. Its arguments are those of entryd; the file SETTINGS.links
// beside the settings file names the links' mode.
package main

import (
	"context"
	"os"

	"sardineswitch.dev/sardine/entry"
	"sardineswitch.dev/sardine/entryd/start"
	"sardineswitch.dev/sardine/sever"
)

// linksSuffix is what the name of the file with the links' mode adds to that of the
// settings file, which is the last argument.
const linksSuffix = ".links"

func main() {
	link := sever.NewLink()
	go link.Follow(context.Background(), os.Args[len(os.Args)-1]+linksSuffix)
	os.Exit(start.Main(os.Args[1:], os.Stdout, os.Stderr, entry.WithTargetDial(link.Dial)))
}
