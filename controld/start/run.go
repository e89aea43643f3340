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

// electionMaxFactor is the longest election timeout as a multiple of the shortest.
// Random timeouts in this range make it unlikely that two members start an election
// at once.
const electionMaxFactor = 1.35

// missedAnnouncements is the number of consecutive announcements of a target that may
// be lost or late before the target counts as lost.
const missedAnnouncements = 3

// overdueIntervals is the age of a target's announcement, in announcement intervals,
// from which a stall of its group counts against the target. It is a little over one,
// so that a target that announces on time is not overdue.
const overdueIntervals = 1.25

// orderTimeout is the time after which an order without an answer is sent again. The
// platform's engines answer within one round trip. An order without an answer by then
// was lost, or is carried out some seconds later, when its epoch shows that it is a
// duplicate.
const orderTimeout = 600 * sardine.Millis(1)

// newRun returns the command that runs the node until a signal stops it.
func newRun() *cobra.Command {
	return &cobra.Command{
		Use:   "run [FILE]",
		Short: "Run the control node with a settings file",
		Long: "Run the control node with a settings file.\n\n" +
			"SIGTERM and SIGINT stop it; a leader transfers its leadership first.\n" +
			"Without FILE the platform provides the path of the settings file.",
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

// run runs the node until it fails or a signal arrives, and then stops it within the
// drain time of the settings.
func run(path string, reloader *launch.Reloader, settings *conf.Control, out io.Writer) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	launch.LimitMemory(settings.Memory(), launch.ControlHeapGrowth)
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

// newNode builds the node from its settings.
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
		ctrl.WithUploadBytes(s.UploadBytes()),
	}
	options = append(options, discoveryOf(s)...)
	return ctrl.New(append(options, portOf(s)...)...)
}

// discoveryOf returns the options for a node that has no list of the control nodes and
// discovers them by seeds. The seeds are the initial members of a new site if the
// settings allow them to bootstrap the log.
func discoveryOf(s *conf.Control) []ctrl.Option {
	if !s.Discovery().Enabled() {
		return nil
	}
	var addresses []string
	var members []quorum.Member
	for _, p := range s.Discovery().Seeds() {
		addresses = append(addresses, p.Address())
		members = append(members, quorum.Member{Node: p.Node(), Address: p.Address()})
	}
	options := []ctrl.Option{ctrl.WithSeeds(addresses...)}
	if s.Discovery().Bootstrap() {
		options = append(options, ctrl.WithMembers(members...))
	}
	return options
}

// portOf returns the options for the platform's protocols to operators and targets.
// It returns none if the settings select the product's own interface.
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
	t.Quorum.ElectionMax = sardine.Millis(electionMaxFactor * float64(s.Timings().Election()))
	if s.Interface() == conf.InterfacePlatform {
		t.Quorum.FirstElectionMax = s.Timings().Election() / 2
		t.OrderTimeout = orderTimeout
		t.TargetLease = missedAnnouncements * s.Timings().AnnounceInterval()
		t.AnnouncementOverdue = sardine.Millis(overdueIntervals * float64(s.Timings().AnnounceInterval()))
	}
	return t
}

// reload applies the settings that may change while the node runs: the control nodes
// to ask for membership. All other settings take effect at the next start.
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
