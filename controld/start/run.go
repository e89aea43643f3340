package start

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/conf"
	"sardineswitch.dev/sardine/ctrl"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/logs"
	"sardineswitch.dev/sardine/quorum"
)

// electionSpread is the longest election timeout relative to the shortest, so that
// two members seldom stand at once.
const electionSpread = 1.35

// newRun returns the command that runs the node until a signal ends it.
func newRun() *cobra.Command {
	return &cobra.Command{
		Use:   "run FILE",
		Short: "Run the control node with a settings file",
		Long: "Run the control node with a settings file.\n\n" +
			"SIGTERM and SIGINT end it: a leading node hands its leadership over first.",
		Example: "  controld run /etc/sardine/controld.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			settings, err := conf.LoadControl(args[0])
			if err != nil {
				return err
			}
			return run(settings, c.ErrOrStderr())
		},
	}
}

func run(settings *conf.Control, errs io.Writer) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	node, err := newNode(settings, errs)
	if err != nil {
		return err
	}
	node.Start()
	select {
	case <-signals:
	case <-node.Dead():
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.Timings().Drain().Duration())
	defer cancel()
	return node.Stop(ctx)
}

func newNode(s *conf.Control, errs io.Writer) (*ctrl.Node, error) {
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
	return ctrl.New(
		ctrl.WithID(s.Node(), s.Site(), s.DataCentre()),
		ctrl.WithListen(s.ListenInternal(), s.ListenOperators()),
		ctrl.WithMembers(members...),
		ctrl.WithDisk(folder),
		ctrl.WithRandom(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		ctrl.WithLogger(logs.New(errs, s.Log(), s.Node())),
		ctrl.WithTiming(timingOf(s.Timings())),
		ctrl.WithWeightStore(s.Weights().LoadsAtOnce(), s.Weights().Load()),
		ctrl.WithOperatorHash(s.OperatorHash()),
		ctrl.WithKeys(set),
	)
}

func timingOf(s conf.ControlTimings) ctrl.Timing {
	t := ctrl.DefaultTiming()
	t.Lease = s.Lease()
	t.Quorum.Heartbeat = s.Heartbeat()
	t.Quorum.ElectionMin = s.Election()
	t.Quorum.ElectionMax = sardine.Millis(electionSpread * float64(s.Election()))
	return t
}
