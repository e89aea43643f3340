package launch

import "github.com/spf13/cobra"

// CommandsWithoutExample returns the paths of the commands whose help shows no example, of c
// and all commands below it. The commands that cobra adds are left out.
func CommandsWithoutExample(c *cobra.Command) []string {
	var paths []string
	if c.Example == "" {
		paths = append(paths, c.CommandPath())
	}
	for _, sub := range c.Commands() {
		if sub.Name() != "help" && sub.Name() != "completion" {
			paths = append(paths, CommandsWithoutExample(sub)...)
		}
	}
	return paths
}
