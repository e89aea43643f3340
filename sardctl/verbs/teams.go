package verbs

import (
	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/wire"
)

func teamsVerb() Verb {
	return Verb{
		Use:      "teams",
		Section:  SectionSettings,
		Short:    "List the teams",
		Long:     `Lists the teams that have settings. Needs an operator's token.`,
		Examples: []string{"sardctl teams"},
		Args:     cobra.NoArgs,
		Run:      runTeams,
	}
}

func runTeams(c *Call) error {
	k, err := c.control()
	if err != nil {
		return err
	}
	reply, err := k.settings(&wire.SettingsRequest{Operation: "teams"})
	if err != nil {
		return err
	}
	if c.session.json {
		return c.printJSON(append([]string{}, reply.GetTeams()...))
	}
	for _, t := range reply.GetTeams() {
		c.printf("%s\n", t)
	}
	return nil
}
