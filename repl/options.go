package repl

import (
	"log/slog"
	"math/rand/v2"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/state"
)

// defaultSnapshotBytes is the size of applied commands, in bytes, after which a
// snapshot is saved.
const defaultSnapshotBytes = 4 << 20

// Link sends messages to other members. Send is best effort and never blocks.
type Link interface {
	Send(to sardine.NodeID, batch []quorum.Message)
}

// MemberWatcher is a Link that needs the addresses of the members.
type MemberWatcher interface {
	SetMembers(members []quorum.Member)
}

// settings holds what the options configure.
type settings struct {
	id              sardine.NodeID
	site            string
	members         []quorum.Member
	singleBootstrap bool
	disk            sardine.Disk
	clock           sardine.Clock
	random          sardine.Random
	link            Link
	logger          *slog.Logger
	timing          quorum.Timing
	limits          quorum.Limits
	wallTime        func() state.WallTime
	snapshotBytes   int
}

// Option configures a Node.
type Option func(*settings)

// WithID sets the node's name. Required.
func WithID(id sardine.NodeID) Option {
	return func(s *settings) { s.id = id }
}

// WithSite sets the name of the site. A data folder of another site is rejected.
func WithSite(site string) Option {
	return func(s *settings) { s.site = site }
}

// WithMembers sets the initial member list. It is used only at the very first
// start of a site; afterwards the list in the log applies. A node that joins
// later is started without one.
func WithMembers(members []quorum.Member) Option {
	return func(s *settings) { s.members = members }
}

// WithSingleBootstrap declares that WithMembers is used only at the very first start
// of a site: a data folder bootstrapped with the list is new, and an empty one
// without the list may replace a lost one. Without this option a node can't
// distinguish the two and treats every bootstrapped folder as one that may have
// lost data.
func WithSingleBootstrap() Option {
	return func(s *settings) { s.singleBootstrap = true }
}

// WithDisk sets the data folder. Required.
func WithDisk(d sardine.Disk) Option {
	return func(s *settings) { s.disk = d }
}

// WithClock sets the monotonic clock.
func WithClock(c sardine.Clock) Option {
	return func(s *settings) { s.clock = c }
}

// WithRandom sets the random source of the election timeouts.
func WithRandom(r sardine.Random) Option {
	return func(s *settings) { s.random = r }
}

// WithLink sets the link to the other members. Required with more than one.
func WithLink(l Link) Option {
	return func(s *settings) { s.link = l }
}

// WithLogger sets the logger for events.
func WithLogger(l *slog.Logger) Option {
	return func(s *settings) { s.logger = l }
}

// WithTiming sets the election timing.
func WithTiming(t quorum.Timing) Option {
	return func(s *settings) { s.timing = t }
}

// WithLimits sets the core's limits.
func WithLimits(l quorum.Limits) Option {
	return func(s *settings) { s.limits = l }
}

// WithWallTime sets the wall clock from which a leader takes the timestamps of
// commands.
func WithWallTime(f func() state.WallTime) Option {
	return func(s *settings) { s.wallTime = f }
}

// WithSnapshotBytes sets the size of applied commands, in bytes, after which a
// snapshot is saved.
func WithSnapshotBytes(n int) Option {
	return func(s *settings) { s.snapshotBytes = n }
}

// noLink is a Link that drops all messages.
type noLink struct{}

// Send drops the batch.
func (noLink) Send(sardine.NodeID, []quorum.Message) {}

func newSettings(options []Option) (settings, error) {
	s := settings{
		clock:         clock.NewReal(),
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		link:          noLink{},
		logger:        slog.New(slog.DiscardHandler),
		timing:        quorum.DefaultTiming(),
		limits:        quorum.DefaultLimits(),
		wallTime:      func() state.WallTime { return state.WallTime(time.Now().UnixMilli()) },
		snapshotBytes: defaultSnapshotBytes,
	}
	for _, o := range options {
		o(&s)
	}
	if s.id == "" || s.disk == nil {
		return s, codes.New(codes.BadSettings, "a control node requires a name and a data folder")
	}
	return s, nil
}
