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

// envToken holds the caller's token.
const envToken = "STANDIN_TOKEN"

func newLoad() *cobra.Command {
	var address, service, workspace, plain string
	var rate, streams float64
	var length, timeout time.Duration
	var open, tokens int
	var seed uint64
	var spread bool
	c := &cobra.Command{
		Use:   "load",
		Short: "Send requests and check every answer",
		Long: `Sends requests at a steady rate and checks every answer against what the stand-in
targets must give. Prints tables, and JSON on the last line. Exit code 1 if an
answer was wrong. The caller's token is read from ` + envToken + `.`,
		Example: `  standin load --address 127.0.0.1:8080 --service surtitle --workspace stage --rate 50 --for 10s
  standin load --address 127.0.0.1:8080 --service box_office --workspace stage --plain /book`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := untilSignal(c)
			defer stop()
			options := []load.Option{
				load.WithTarget(address, service, workspace), load.WithToken(os.Getenv(envToken)), load.WithPlainService(plain),
				load.WithRate(rate, sardine.MillisOf(length)), load.WithStreamShare(streams), load.WithMaxInFlight(open),
				load.WithTokens(tokens), load.WithSeed(seed), load.WithTimeout(sardine.MillisOf(timeout)),
			}
			if spread {
				options = append(options, load.WithNewConnections())
			}
			return printSummary(c, load.New(options...).Run(ctx))
		},
	}
	f := c.Flags()
	f.StringVar(&address, "address", "127.0.0.1:8080", "address of the balancer or of an entry node, host:port")
	f.StringVar(&service, "service", "surtitle", "deployment to ask for")
	f.StringVar(&workspace, "workspace", "stage", "workspace to ask for")
	f.StringVar(&plain, "plain", "", "path of a plain service to POST to, such as /book")
	f.Float64Var(&rate, "rate", 10, "requests begun per second")
	f.Float64Var(&streams, "streams", 1, "share of requests that stream, 0 to 1")
	f.DurationVar(&length, "for", 10*time.Second, "how long to begin requests")
	f.DurationVar(&timeout, "timeout", time.Minute, "time for one request")
	f.IntVar(&open, "open", 1000, "most requests under way")
	f.IntVar(&tokens, "tokens", 32, "tokens of each answer")
	f.Uint64Var(&seed, "seed", 1, "seed of prompts and kinds")
	f.BoolVar(&spread, "new-connections", false, "open a connection for each request")
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
