package verbs

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/wire"
)

func getVerb() Verb {
	return Verb{
		Use:     "get PATH",
		Section: SectionSettings,
		Short:   "Print the settings at a path",
		Long: `Prints a team's settings at a path: the whole document at /teams/TEAM, TOML for
a table, one value for a leaf. The version follows on the error stream.`,
		Examples: []string{
			"sardctl get /teams/adinkra",
			"sardctl get /teams/adinkra/deployments/surtitle/groups",
			"sardctl get /teams/adinkra --version 3",
		},
		Args:     cobra.ExactArgs(1),
		Complete: completePaths,
		Flags: func(f *pflag.FlagSet) {
			f.Uint64("version", 0, "version to print, 0 for the newest")
		},
		Run: runGet,
	}
}

type settingsJSON struct {
	Path     string `json:"path"`
	Version  uint64 `json:"version"`
	InForce  bool   `json:"in_force"`
	Document string `json:"document"`
}

func runGet(c *Call) error {
	reply, err := c.getSettings(c.args[0], c.uintFlag("version"))
	if err != nil {
		return err
	}
	if c.session.json {
		return c.printJSON(settingsJSON{
			Path: c.args[0], Version: reply.GetVersion(), InForce: reply.GetInForce(), Document: reply.GetDocument(),
		})
	}
	c.printf("%s\n", trimNewline(reply.GetDocument()))
	c.infof("version %d%s\n", reply.GetVersion(), inForceText(reply.GetInForce()))
	return nil
}

// getSettings reads a path at a version, 0 for the newest.
func (c *Call) getSettings(path string, version uint64) (*wire.SettingsReply, error) {
	k, err := c.control()
	if err != nil {
		return nil, err
	}
	return k.settings(&wire.SettingsRequest{Operation: "get", Path: path, Version: version})
}

func inForceText(inForce bool) string {
	if inForce {
		return ", in force everywhere"
	}
	return ", not yet in force everywhere"
}

// completePaths returns the teams' paths.
func completePaths(c *Call) []string {
	k, err := c.control()
	if err != nil {
		return nil
	}
	reply, err := k.settings(&wire.SettingsRequest{Operation: "teams"})
	if err != nil {
		return nil
	}
	var paths []string
	for _, t := range reply.GetTeams() {
		paths = append(paths, "/teams/"+t)
	}
	return paths
}
