package verbs

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/wire"
)

func historyVerb() Verb {
	return Verb{
		Use:      "history PATH",
		Section:  SectionSettings,
		Short:    "List the versions of a team's settings",
		Long:     `Lists the kept versions of a team's settings, newest first: who changed which path, when.`,
		Examples: []string{"sardctl history /teams/adinkra"},
		Args:     cobra.ExactArgs(1),
		Complete: completePaths,
		Run:      runHistory,
	}
}

type revisionJSON struct {
	Version  uint64 `json:"version"`
	At       int64  `json:"at_ms"`
	Author   string `json:"author"`
	Path     string `json:"path"`
	ChangeID string `json:"change_id"`
}

func runHistory(c *Call) error {
	k, err := c.control()
	if err != nil {
		return err
	}
	reply, err := k.settings(&wire.SettingsRequest{Operation: "history", Path: c.args[0]})
	if err != nil {
		return err
	}
	rows, list := [][]string{}, []revisionJSON{}
	revisions := reply.GetHistory()
	for i := len(revisions) - 1; i >= 0; i-- {
		r := revisions[i]
		rows = append(rows, []string{strconv.FormatUint(r.GetVersion(), 10), formatTime(r.GetAt()), r.GetAuthor(), r.GetPath()})
		list = append(list, revisionJSON{
			Version: r.GetVersion(), At: r.GetAt(), Author: r.GetAuthor(), Path: r.GetPath(), ChangeID: r.GetChangeId(),
		})
	}
	if c.session.json {
		return c.printJSON(list)
	}
	c.printTable("versions", []string{"version", "time", "author", "path"}, rows)
	return nil
}

// formatTime formats milliseconds since 1970 as a time in UTC.
func formatTime(at int64) string {
	return time.UnixMilli(at).UTC().Format("2006-01-02 15:04:05")
}
