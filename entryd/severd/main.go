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

func main() {
	link := sever.NewLink()
	settings := os.Args[len(os.Args)-1]
	go link.Follow(context.Background(), settings+sever.FileSuffix)
	os.Exit(start.Main(os.Args[1:], os.Stdout, os.Stderr, entry.WithTargetDial(link.Dial)))
}
