package start

import (
	"encoding/json"
	"os"
	"time"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/standin/load"
)

// envToken is the environment variable that holds the caller's token.
const envToken = "STANDIN_TOKEN"

func newLoad() *cobra.Command {
	var address, service, workspace, plainPath string
	var rate, streams float64
	var duration, timeout time.Duration
	var maxInFlight, tokens int
	var seed uint64
	var newConnections bool
	c := &cobra.Command{
		Use:   "load",
		Short: "Send requests and check every answer",
		Long: `Sends requests at a steady rate and checks every answer against the one that the
stand-in targets must return. Prints tables, and JSON on the last line. Exit code 1 if an
answer was wrong. The caller's token is read from ` + envToken + `.`,
		Example: `  standin load --address 127.0.0.1:8080 --service surtitle --workspace stage --rate 50 --for 10s
  standin load --address 127.0.0.1:8080 --service box_office --workspace stage --plain /book`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signalContext(c)
			defer stop()
			options := []load.Option{
				load.WithTarget(address, service, workspace), load.WithToken(os.Getenv(envToken)), load.WithPlainService(plainPath),
				load.WithRate(rate, sardine.MillisOf(duration)), load.WithStreamShare(streams), load.WithMaxInFlight(maxInFlight),
				load.WithTokens(tokens), load.WithSeed(seed), load.WithTimeout(sardine.MillisOf(timeout)),
			}
			if newConnections {
				options = append(options, load.WithNewConnections())
			}
			return printSummary(c, load.New(options...).Run(ctx))
		},
	}
	f := c.Flags()
	f.StringVar(&address, "address", "127.0.0.1:8080", "address of the balancer or of an entry node, host:port")
	f.StringVar(&service, "service", "surtitle", "deployment that the requests address")
	f.StringVar(&workspace, "workspace", "stage", "workspace of the requests")
	f.StringVar(&plainPath, "plain", "", "path of a plain service to POST to, such as /book")
	f.Float64Var(&rate, "rate", 10, "requests started per second")
	f.Float64Var(&streams, "streams", 1, "share of requests that stream, 0 to 1")
	f.DurationVar(&duration, "for", 10*time.Second, "how long to start new requests")
	f.DurationVar(&timeout, "timeout", time.Minute, "timeout of each request")
	f.IntVar(&maxInFlight, "open", 1000, "maximum number of requests in flight")
	f.IntVar(&tokens, "tokens", 32, "tokens of each answer")
	f.Uint64Var(&seed, "seed", 1, "seed of prompts and request kinds")
	f.BoolVar(&newConnections, "new-connections", false, "open a connection for each request")
	return c
}

func printSummary(c *cobra.Command, r *load.Result) error {
	r.Print(c.OutOrStdout())
	line, err := json.Marshal(r.Summary())
	if err != nil {
		return err
	}
	c.Printf("%s\n", line)
	if r.Wrong() > 0 {
		return codes.New(codes.AnswerInvalid, "%d answers were wrong", r.Wrong())
	}
	return nil
}
