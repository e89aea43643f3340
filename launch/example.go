package launch

import "github.com/spf13/cobra"

// CommandsWithoutExample returns the paths of c and of the commands below it whose
// help shows no example. The commands that cobra adds are left out.
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
