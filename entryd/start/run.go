package start

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/conf"
	"sardineswitch.dev/sardine/entry"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/launch"
	"sardineswitch.dev/sardine/logs"
	"sardineswitch.dev/sardine/platform"
)

// newRun returns the command that runs the node until a signal stops it.
func newRun(options []entry.Option) *cobra.Command {
	return &cobra.Command{
		Use:   "run [FILE]",
		Short: "Run the entry node with a settings file",
		Long: "Run the entry node with a settings file.\n\n" +
			"SIGTERM and SIGINT drain it: it becomes unready, completes the requests in flight and exits.\n" +
			"A second signal stops it at once. Without FILE the platform provides the path of the settings file.",
		Example: "  entryd run /etc/sardine/entryd.toml",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := launch.SettingsFile(args, platform.SettingsFile())
			text, err := os.ReadFile(path)
			if err != nil {
				return codes.Wrap(codes.BadSettings, err, "settings file")
			}
			settings, err := conf.ParseEntry(filepath.Base(path), text)
			if err != nil {
				return err
			}
			return run(c.Context(), path, launch.NewReloader(path, text), settings, c.OutOrStdout(), options)
		},
	}
}

// run runs the node until it fails, ctx is done or a signal has drained it; a second
// signal stops it at once.
func run(ctx context.Context, path string, reloader *launch.Reloader, settings *conf.Entry, out io.Writer, options []entry.Option) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	launch.LimitMemory(settings.Memory(), launch.EntryHeapGrowth)
	lines := logs.NewAsync(out)
	defer lines.Close()
	logger := logs.New(lines, settings.Log(), settings.Node())
	node, err := newNode(settings, logger, lines, options)
	if err != nil {
		return err
	}
	node.Start()
	go reloader.Run(node.Done(), logger, func(text []byte) error { return reload(node, path, text) })
	select {
	case <-signals:
		node.Drain()
	case <-node.Done():
		return node.Stop()
	case <-contextDone(ctx):
		return node.Stop()
	}
	select {
	case <-signals:
	case <-node.Done():
	}
	return node.Stop()
}

// contextDone returns the done channel of ctx, or nil if ctx is nil, as it is when
// the command runs without a context.
func contextDone(ctx context.Context) <-chan struct{} {
	if ctx == nil {
		return nil
	}
	return ctx.Done()
}

// newNode builds the node from its settings. The incarnation is the time of the
// start, so it increases with each restart without being stored, as long as the
// machine's clock is not set back during a restart.
func newNode(s *conf.Entry, logger *slog.Logger, lines *logs.Async, more []entry.Option) (*entry.Node, error) {
	incarnation := sardine.Incarnation(time.Now().UnixMilli())
	set, err := keys.Open(s.TLS())
	if err != nil {
		return nil, err
	}
	options := []entry.Option{
		entry.WithID(s.Node(), incarnation, s.DataCentre()),
		entry.WithListen(s.Listen(), s.ListenInternal()),
		entry.WithTargetListen(s.ListenTargets()),
		entry.WithAdvertise(s.AdvertiseTargets(), s.AdvertiseInternal()),
		entry.WithControls(addressesOf(s.Controls())...),
		entry.WithRandom(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		entry.WithLogger(logger),
		entry.WithMetrics(s.ListenMetrics(), lines.Dropped),
		entry.WithTiming(timingOf(s)),
		entry.WithLimits(limitsOf(s)),
		entry.WithKeys(set),
		entry.WithOperatorHash(s.OperatorHash()),
		entry.WithTargetTokens(s.TargetTokens()),
	}
	return entry.New(slices.Concat(options, portsOf(s), more)...)
}

// portsOf returns the options for the platform's protocols. It returns none if the
// settings select the product's own interface.
func portsOf(s *conf.Entry) []entry.Option {
	if s.Interface() != conf.InterfacePlatform {
		return nil
	}
	return []entry.Option{
		entry.WithPorts(platform.NewCallerPort(), platform.NewTargetPort(), platform.NewLayoutCodec()),
		entry.WithReadyListen(s.ListenReady()),
		entry.WithRetryLimit(s.RetryLimit().Ratio(), s.RetryLimit().Allowance(), s.RetryLimit().Window()),
	}
}

func timingOf(s *conf.Entry) entry.Timing {
	t := entry.DefaultTiming()
	t.PollHold = s.Timings().PollHold()
	t.TargetLease = s.Timings().TargetLease()
	t.AnnounceInterval = s.Timings().AnnounceInterval()
	t.BalancerDelay = s.Timings().BalancerDelay()
	t.Drain = s.Timings().Drain()
	t.Final = s.Timings().Final()
	t.Header = s.Limits().HeaderTimeout()
	t.Read = s.Limits().BodyTimeout()
	t.Idle = s.Limits().IdleTimeout()
	return t
}

func limitsOf(s *conf.Entry) entry.Limits {
	l := s.Limits()
	return entry.Limits{
		BodyBytes:   l.BodyBytes(),
		UploadBytes: s.UploadBytes(),
		HeaderBytes: l.HeaderBytes(),
		Connections: l.Requests(),
	}
}

// reload applies the settings that may change while the node runs: the control nodes
// to contact first. All other settings take effect at the next start.
func reload(node *entry.Node, path string, text []byte) error {
	settings, err := conf.ParseEntry(filepath.Base(path), text)
	if err != nil {
		return err
	}
	node.SetControls(addressesOf(settings.Controls()))
	return nil
}

func addressesOf(peers []conf.Peer) []string {
	var addresses []string
	for _, p := range peers {
		addresses = append(addresses, p.Address())
	}
	return addresses
}
