package launch

import "github.com/spf13/cobra"

// CommandsWithoutExample returns the paths of the commands at and below c whose help shows
// no example. Those that cobra adds itself are left out.
func CommandsWithoutExample(c *cobra.Command) []string {
	var bare []string
	if c.Example == "" {
		bare = append(bare, c.CommandPath())
	}
	for _, sub := range c.Commands() {
		if sub.Name() != "help" && sub.Name() != "completion" {
			bare = append(bare, CommandsWithoutExample(sub)...)
		}
	}
	return bare
}
