package ctrl

import (
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quorum"
)

const (
	// leaderMissingAfter is how long a voter must know no leader until that is logged. It
	// is longer than an election.
	leaderMissingAfter = 3 * sardine.Second
	// leaderMissingInterval is the least time between two such lines.
	leaderMissingInterval = 5 * sardine.Second
)

// leaderlessLog decides when to log that a voter knows no leader: once, and again when
// other voters answer.
type leaderlessLog struct {
	logged quorum.Margin
	nextAt sardine.Millis
}

// due reports whether to log at an instant. since is when the leader was lost; leaderless
// is false if there is one.
func (l *leaderlessLog) due(now, since sardine.Millis, reach quorum.Margin, leaderless bool) bool {
	if !leaderless {
		l.logged = quorum.Margin{}
		return false
	}
	if now-since < leaderMissingAfter || now < l.nextAt || reach == l.logged {
		return false
	}
	l.logged = reach
	l.nextAt = now + leaderMissingInterval
	return true
}

// logLeaderless logs which voters answer this one while none leads.
func (n *Node) logLeaderless(l *leaderlessLog) {
	s := n.log.Status().Core
	reach, silent, leaderless := s.Reach()
	if !l.due(n.clock.Now(), s.LeaderSince, reach, leaderless) {
		return
	}
	event.Log(n.logger, event.LeaderMissing,
		slog.Int("voters", reach.Voters), slog.Int("answering", reach.Answering), slog.Int("needed", reach.Needed),
		slog.Any("silent", silent), slog.Int64("for_ms", int64(n.clock.Now()-s.LeaderSince)))
}
