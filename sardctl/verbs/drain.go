package verbs

import (
	"net/http"

	"github.com/spf13/cobra"
)

// drainPath is where entry nodes begin a graceful shutdown, by POST.
const drainPath = "/sardine/v1/drain"

func drainVerb() Verb {
	return Verb{
		Use:     "drain NODE",
		Section: SectionRepair,
		Short:   "Shut an entry node down without cutting off a request",
		Long: `Begins a graceful shutdown of an entry node, as SIGTERM does: it turns unready,
finishes the requests in flight and exits. NODE is its name, or host:port of its
internal address. Watch it with sardctl watch.`,
		Examples: []string{"sardctl drain osu-entry-1 --yes"},
		Args:     cobra.ExactArgs(1),
		Complete: completeNodes,
		Run:      runDrain,
	}
}

func runDrain(c *Call) error {
	address, err := c.nodeAddress(c.args[0])
	if err != nil {
		return err
	}
	if err := c.confirm("The process " + c.args[0] + " ends after its requests."); err != nil {
		return err
	}
	if _, err := c.ask(http.MethodPost, address, drainPath, nil); err != nil {
		return err
	}
	c.printf("%s drains\n", c.args[0])
	return nil
}
