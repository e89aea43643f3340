package verbs

import "github.com/spf13/cobra"

func deleteVerb() Verb {
	return Verb{
		Use:     "delete PATH",
		Section: SectionSettings,
		Short:   "Remove the settings at a path",
		Long: `Removes the settings at a path and waits until the change is in force on every
entry node. The earlier content stays in the history.`,
		Examples: []string{
			"sardctl delete /teams/adinkra/workspaces/translators",
			"sardctl delete /teams/adinkra/deployments/box_office --yes",
		},
		Args:     cobra.ExactArgs(1),
		Complete: completePaths,
		Flags:    changeFlags,
		Run: func(c *Call) error {
			if err := c.confirm("This removes everything at " + c.args[0] + "."); err != nil {
				return err
			}
			return c.change("delete", c.args[0], "")
		},
	}
}
