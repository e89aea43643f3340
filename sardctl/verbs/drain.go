package verbs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/status"
)

// drainPath is the path to which a POST starts an entry node's graceful shutdown.
const drainPath = "/sardine/v1/drain"

func drainVerb() Verb {
	return Verb{
		Use:     "drain NODE",
		Section: SectionRepair,
		Short:   "Shut an entry node down without cutting off a request",
		Long: `Begins a graceful shutdown of an entry node, as SIGTERM does: it turns unready,
finishes the requests in flight and exits. NODE is its name, or host:port of its
internal address. With --wait, prints how many requests are left until the process has
ended.`,
		Examples: []string{"sardctl drain osu-entry-1 --yes", "sardctl drain osu-entry-1 --wait 10m --yes"},
		Flags: func(f *pflag.FlagSet) {
			f.Duration("wait", 0, "wait until the process has ended, at most this long; 0 does not wait")
		},
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
	if _, err := c.send(http.MethodPost, address, drainPath, nil); err != nil {
		return err
	}
	c.printf("%s drains\n", c.args[0])
	wait, _ := c.flags.GetDuration("wait") // the command defined it
	if wait <= 0 {
		return nil
	}
	return c.awaitExit(address, wait)
}

// awaitExit prints the number of requests in flight whenever it changes, until the
// node no longer replies.
func (c *Call) awaitExit(address string, wait time.Duration) error {
	lastPrinted := ""
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(pollInterval) {
		body, err := c.sendWithNodeTimeout(http.MethodGet, address, status.DumpPath, nil)
		if codes.Is(err, codes.NoQuorum) && !errors.Is(err, context.DeadlineExceeded) { // a node that runs may be out of reach
			c.printf("%s has ended\n", c.args[0])
			return nil
		}
		var dump struct {
			InFlight int `json:"in_flight"`
		}
		if err != nil || json.Unmarshal(body, &dump) != nil {
			continue // the node may be about to exit
		}
		if now := fmt.Sprintf("%d request(s) in flight", dump.InFlight); now != lastPrinted {
			lastPrinted = now
			c.infof("%s\n", now)
		}
	}
	return codes.New(codes.Draining, "%s has not ended in %s, it goes on draining", c.args[0], wait)
}
