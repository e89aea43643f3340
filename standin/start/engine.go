package start

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/standin/weight"
)

func newEngine() *cobra.Command {
	var count, accelerators int
	var vm, dataCentre, domain, balancer, weights, admin string
	var loadable []string
	var ignoresEpoch bool
	c := &cobra.Command{
		Use:   "engine",
		Short: "Run stand-in model engines",
		Long: `Runs engine VMs that share one fabric domain. They announce themselves through the
balancer and take orders. With --admin, each has an address at which a shell can
make it misbehave: curl -X POST http://ADDRESS/pause`,
		Example: `  standin engine --balancer 127.0.0.1:8080 --count 5 --vm osu-gpu --domain osu-rack-1
  standin engine --balancer 127.0.0.1:8080 --admin 127.0.0.1:9100 --ignores-epoch`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			options := []engine.Option{
				engine.WithLocation(sardine.DataCentre(dataCentre), sardine.FabricDomain(domain)),
				engine.WithAccelerators(accelerators), engine.WithBalancer(balancer),
				engine.WithEpochChecks(!ignoresEpoch), engine.WithLoadable(models(loadable)...),
				engine.WithFabric(engine.NewFabric()),
				// Each start of the program is a later incarnation than the one before.
				engine.WithIncarnation(sardine.Incarnation(time.Now().UnixMilli())),
			}
			if weights != "" {
				options = append(options, engine.WithLoader(weight.NewRemote(weights)))
			}
			return runEngines(c, vm, count, admin, options)
		},
	}
	f := c.Flags()
	f.IntVar(&count, "count", 1, "engines to run")
	f.IntVar(&accelerators, "accelerators", 4, "accelerators of each VM")
	f.StringVar(&vm, "vm", "gpu", "VM name; engines are numbered NAME-1, NAME-2, ...")
	f.StringVar(&dataCentre, "data-centre", "osu", "data centre")
	f.StringVar(&domain, "domain", "osu-rack-1", "fabric domain")
	f.StringVar(&balancer, "balancer", "", "address of the balancer or of an entry node, host:port")
	f.StringVar(&weights, "weights", "", "address of a weight store (default: one of its own)")
	f.StringVar(&admin, "admin", "", "address for faults; engines take it and the following ports")
	f.StringSliceVar(&loadable, "models", []string{"surtitle"}, "models that the engines can load")
	f.BoolVar(&ignoresEpoch, "ignores-epoch", false, "take orders and requests with any epoch")
	return c
}

func models(names []string) []sardine.ModelName {
	var all []sardine.ModelName
	for _, n := range names {
		all = append(all, sardine.ModelName(n))
	}
	return all
}

func runEngines(c *cobra.Command, name string, count int, admin string, options []engine.Option) error {
	ctx, stop := untilSignal(c)
	defer stop()
	for i := range count {
		e := engine.New(append(options, engine.WithVM(sardine.VMID(fmt.Sprintf("%s-%d", name, i+1))))...)
		if err := e.Start(); err != nil {
			return err
		}
		defer e.Stop()
		c.Printf("%s listens on %s\n", e.VM(), e.Address())
		if admin == "" {
			continue
		}
		address, closeAdmin, err := serveAdmin(admin, i, e.Admin())
		if err != nil {
			return err
		}
		defer closeAdmin()
		c.Printf("%s takes faults on %s\n", e.VM(), address)
	}
	<-ctx.Done()
	return nil
}

// serveAdmin listens on the i-th port after the given one.
func serveAdmin(first string, i int, h http.Handler) (address string, stop func(), err error) {
	at, err := net.ResolveTCPAddr("tcp", first)
	if err != nil {
		return "", nil, err
	}
	if at.Port != 0 {
		at.Port += i
	}
	listener, err := net.ListenTCP("tcp", at)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // ends when the server is closed
	}()
	stop = func() {
		_ = server.Close()
		<-done
	}
	return strings.TrimSpace(listener.Addr().String()), stop, nil
}
