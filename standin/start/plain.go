package start

import (
	"time"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/standin/plain"
)

func newPlain() *cobra.Command {
	var vm, dataCentre, service, balancer string
	c := &cobra.Command{
		Use:     "plain",
		Short:   "Run a stand-in plain service",
		Long:    `Runs one plain service VM that announces itself through the balancer and counts how often it ran each body.`,
		Example: `  standin plain --balancer 127.0.0.1:8080 --service box_office --vm osu-app-1`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signalContext(c)
			defer stop()
			p := plain.New(
				plain.WithVM(sardine.VMID(vm)), plain.WithDataCentre(sardine.DataCentre(dataCentre)),
				plain.WithService(sardine.ServiceName(service)), plain.WithBalancer(balancer),
				plain.WithIncarnation(sardine.Incarnation(time.Now().UnixMilli())),
			)
			if err := p.Start(); err != nil {
				return err
			}
			defer p.Stop()
			c.Printf("%s listens on %s\n", p.VM(), p.Address())
			<-ctx.Done()
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&vm, "vm", "app-1", "VM name")
	f.StringVar(&dataCentre, "data-centre", "osu", "data centre")
	f.StringVar(&service, "service", "box_office", "service that callers address")
	f.StringVar(&balancer, "balancer", "", "address of the balancer or of an entry node, host:port")
	return c
}
