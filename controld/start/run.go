package start

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/conf"
	"sardineswitch.dev/sardine/ctrl"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/launch"
	"sardineswitch.dev/sardine/logs"
	"sardineswitch.dev/sardine/platform"
	"sardineswitch.dev/sardine/quorum"
)

// electionSpread is the longest election timeout relative to the shortest, so that
// two members seldom stand at once.
const electionSpread = 1.35

// missedBeats is how many announcements of a target in a row may be lost or late
// before it counts as lost.
const missedBeats = 3

// overdueBeats is the age of a target's announcement, in intervals, from which a
// standstill of its group counts against it: a little over one.
const overdueBeats = 1.25

// orderAnswer is after which time an order that has no answer is sent again. The
// platform's engines answer within a round trip; what is late got lost, or is carried
// out some seconds later, when its epoch tells that it was repeated.
const orderAnswer = 600 * sardine.Millis(1)

// newRun returns the command that runs the node until a signal ends it.
func newRun() *cobra.Command {
	return &cobra.Command{
		Use:   "run [FILE]",
		Short: "Run the control node with a settings file",
		Long: "Run the control node with a settings file.\n\n" +
			"SIGTERM and SIGINT end it: a leading node hands its leadership over first.\n" +
			"Without FILE the platform names the settings.",
		Example: "  controld run /etc/sardine/controld.toml",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := launch.SettingsFile(args, platform.SettingsFile())
			text, err := os.ReadFile(path)
			if err != nil {
				return codes.Wrap(codes.BadSettings, err, "settings file")
			}
			settings, err := conf.ParseControl(filepath.Base(path), text)
			if err != nil {
				return err
			}
			return run(path, launch.NewReloader(path, text), settings, c.OutOrStdout())
		},
	}
}

func run(path string, reloader *launch.Reloader, settings *conf.Control, out io.Writer) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	launch.LimitMemory(settings.Memory())
	lines := logs.NewAsync(out)
	defer lines.Close()
	logger := logs.New(lines, settings.Log(), settings.Node())
	node, err := newNode(settings, logger, lines)
	if err != nil {
		return err
	}
	node.Start()
	go reloader.Run(node.Done(), logger, func(text []byte) error { return reload(node, path, text) })
	select {
	case <-signals:
	case <-node.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.Timings().Drain().Duration())
	defer cancel()
	return node.Stop(ctx)
}

func newNode(s *conf.Control, logger *slog.Logger, lines *logs.Async) (*ctrl.Node, error) {
	folder, err := disk.NewFolder(s.DataFolder())
	if err != nil {
		return nil, err
	}
	var members []quorum.Member
	for _, p := range s.Members() {
		members = append(members, quorum.Member{Node: p.Node(), Address: p.Address()})
	}
	set, err := keys.Open(s.TLS())
	if err != nil {
		return nil, err
	}
	options := []ctrl.Option{
		ctrl.WithID(s.Node(), s.Site(), s.DataCentre()),
		ctrl.WithListen(s.ListenInternal(), s.ListenOperators()),
		ctrl.WithMembers(members...),
		ctrl.WithDisk(folder),
		ctrl.WithRandom(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		ctrl.WithLogger(logger),
		ctrl.WithMetrics(s.ListenMetrics(), lines.Dropped),
		ctrl.WithTiming(timingOf(s)),
		ctrl.WithWeightStore(s.WeightStore().LoadsAtOnce(), s.WeightStore().LoadTime()),
		ctrl.WithStartWindow(s.WeightStore().StartWindow()),
		ctrl.WithOperatorHash(s.OperatorHash()),
		ctrl.WithKeys(set),
	}
	options = append(options, discoveryOf(s)...)
	return ctrl.New(append(options, portOf(s)...)...)
}

// discoveryOf returns how the node finds the others without a list of them. The
// seeds are the first members of a new site.
func discoveryOf(s *conf.Control) []ctrl.Option {
	if !s.Discovery().Enabled() {
		return nil
	}
	var addresses []string
	var first []quorum.Member
	for _, p := range s.Discovery().Seeds() {
		addresses = append(addresses, p.Address())
		first = append(first, quorum.Member{Node: p.Node(), Address: p.Address()})
	}
	options := []ctrl.Option{ctrl.WithSeeds(addresses...)}
	if s.Discovery().Bootstrap() {
		options = append(options, ctrl.WithMembers(first...))
	}
	return options
}

// portOf returns what operators and targets speak if that is not the product's
// own interface.
func portOf(s *conf.Control) []ctrl.Option {
	if s.Interface() != conf.InterfacePlatform {
		return nil
	}
	return []ctrl.Option{
		ctrl.WithPort(platform.NewControlPort(), s.ListenControl()),
		ctrl.WithEngines(platform.NewOrderClient()),
	}
}

func timingOf(s *conf.Control) ctrl.Timing {
	t := ctrl.DefaultTiming()
	t.ServingLease = s.Timings().ServingLease()
	t.Quorum.Heartbeat = s.Timings().Heartbeat()
	t.Quorum.ElectionMin = s.Timings().Election()
	t.Quorum.ElectionMax = sardine.Millis(electionSpread * float64(s.Timings().Election()))
	if s.Interface() == conf.InterfacePlatform {
		t.Quorum.FirstElectionMax = s.Timings().Election() / 2
		t.OrderTimeout = orderAnswer
		t.TargetLease = missedBeats * s.Timings().AnnounceInterval()
		t.AnnouncementOverdue = sardine.Millis(overdueBeats * float64(s.Timings().AnnounceInterval()))
	}
	return t
}

// reload takes over what may change while the node runs: the control nodes to
// ask for membership. All else counts from the next start.
func reload(node *ctrl.Node, path string, text []byte) error {
	settings, err := conf.ParseControl(filepath.Base(path), text)
	if err != nil {
		return err
	}
	var seeds []string
	for _, p := range settings.Discovery().Seeds() {
		seeds = append(seeds, p.Address())
	}
	node.SetSeeds(seeds)
	return nil
}
