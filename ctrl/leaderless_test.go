package ctrl

import (
	"bytes"
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
)

func TestLeaderlessLogIsBounded(t *testing.T) {
	l := &leaderlessLog{}
	four, five := quorum.Margin{Voters: 8, Answering: 4, Needed: 5}, quorum.Margin{Voters: 8, Answering: 5, Needed: 5}
	require.False(t, l.due(10, 9, four, true), "an election may take that long")
	require.True(t, l.due(leaderMissingAfter, 0, four, true))
	require.False(t, l.due(leaderMissingAfter+1000, 0, four, true), "nothing has changed")
	require.False(t, l.due(leaderMissingAfter+1000, 0, five, true), "too soon")
	require.True(t, l.due(leaderMissingAfter+leaderMissingInterval, 0, five, true))
	require.False(t, l.due(20*sardine.Second, 0, quorum.Margin{}, false))
	require.True(t, l.due(30*sardine.Second, 20*sardine.Second, five, true), "lost again")
}

// safeBuffer is a buffer that several goroutines may use.
type safeBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

// Write appends b.
func (s *safeBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all.Write(b)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all.String()
}

// Guards against a lost quorum that can't be read from any node: the survivor of three
// names the voters that it lacks in its log, its report and its dump.
func TestSurvivorNamesSilentVoters(t *testing.T) {
	addresses, members := siteMembers(t, 3)
	log := &safeBuffer{}
	var running []*Node
	for i, m := range members {
		options := []Option{}
		if i == 0 {
			options = append(options, WithLogger(slog.New(slog.NewJSONHandler(log, nil))))
		}
		running = append(running, startSeeded(t, m, addresses, members, options...))
	}
	require.Eventually(t, func() bool { return running[0].log.Leader().ID != "" }, 10*time.Second, 10*time.Millisecond)
	for _, n := range running[1:] {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = n.Stop(ctx) // like a failed machine
	}
	require.Eventually(t, func() bool {
		q := running[0].Dump().Quorum
		return q != nil && q.Voters == 3 && q.Answering == 1 && q.Needed == 2 && q.LeaderlessMillis > 0 && slices.Equal(q.Silent, []sardine.NodeID{"c2", "c3"})
	}, 10*time.Second, 50*time.Millisecond)
	require.Eventually(t, func() bool { return bytes.Contains([]byte(log.String()), []byte(`"leader_missing"`)) }, 10*time.Second, 50*time.Millisecond)
	require.Contains(t, log.String(), `"voters":3,"answering":1,"needed":2,"silent":["c2","c3"]`)
	r := running[0].Report()
	require.Contains(t, r.Checks[0].Detail, "1 of 3 control members reachable, 2 needed")
	require.Contains(t, r.Checks[0].Detail, "none for")
	require.Contains(t, r.Checks[0].Detail, "no answer from c2, c3")
	states := map[sardine.NodeID]string{}
	for _, k := range r.Controls {
		states[k.Node] = k.Condition.State
	}
	require.Equal(t, map[sardine.NodeID]string{"c1": "leaderless", "c2": "unreachable", "c3": "unreachable"}, states)
}
