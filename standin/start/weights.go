package start

import (
	"net/http"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/standin/weight"
)

func newWeights() *cobra.Command {
	var listen string
	var rate, size int
	c := &cobra.Command{
		Use:     "weights",
		Short:   "Run a stand-in weight store",
		Long:    `Runs a store that delivers zeros in place of weights, at one rate shared by all engines that load.`,
		Example: `  standin weights --listen 127.0.0.1:9000 --rate 67108864 --size 8388608`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signalContext(c)
			defer stop()
			var store http.Handler = weight.New(weight.WithRate(rate), weight.WithSize(size))
			address, closeStore, err := serveHTTP(listen, 0, store)
			if err != nil {
				return err
			}
			defer closeStore()
			c.Printf("weights listen on %s\n", address)
			<-ctx.Done()
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	f.IntVar(&rate, "rate", 64<<20, "bytes per second for all readers together")
	f.IntVar(&size, "size", 8<<20, "bytes that one member loads")
	return c
}
