package verbs

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/status"
)

func dumpVerb() Verb {
	return Verb{
		Use:     "dump NODE",
		Section: SectionSite,
		Short:   "Print a process's whole state as JSON",
		Long: `Prints the state of one process: its leases, tables, queues and counts. NODE is
the name of an entry or control node, or host:port of its internal or operators'
address. Attach the dump when you report a fault; it holds no secret.`,
		Examples: []string{"sardctl dump osu-entry-1", "sardctl dump 10.1.1.5:7071"},
		Args:     cobra.ExactArgs(1),
		Complete: completeNodes,
		Run:      runDump,
	}
}

func runDump(c *Call) error {
	address, err := c.nodeAddress(c.args[0])
	if err != nil {
		return err
	}
	body, err := c.send(http.MethodGet, address, status.DumpPath, nil)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := json.Indent(&text, bytes.TrimSpace(body), "", "  "); err != nil {
		return codes.Wrap(codes.AnswerInvalid, err, "dump of "+c.args[0])
	}
	c.printf("%s\n", text.String())
	return nil
}
