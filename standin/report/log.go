package report

import (
	"fmt"

	"sardineswitch.dev/sardine/standin/gauge"
)

// Bounds of the replicated log in milliseconds.
const (
	maxRestart  = 1000
	maxFailover = 2000 // from the loss of the leader to the next accepted change
)

func buildLog(line []byte) (Section, error) {
	r, err := decode[gauge.LogResult](line)
	if err != nil {
		return Section{}, err
	}
	s := Section{Title: fmt.Sprintf("Log on real files, %d members", r.Members)}
	s.Figures = []Figure{
		figure("changes a second", r.PerSecond, "a second"),
		figure("commit p50", r.CommitP50, "ms"),
		figure("commit p99", r.CommitP99, "ms"),
		figure("highest disk use", float64(r.DiskBytes), "bytes"),
		figure("heap of a member", r.HeapMB, "MB"),
		atMost("reading at restart", r.RestartMillis, "ms", maxRestart),
		atMost("leader loss to the next change", r.FailoverMs, "ms", maxFailover),
		figure("leader at rest", r.IdleLeader, "bytes/s"),
		figure("follower at rest", r.IdleFollower, "bytes/s"),
	}
	s.Plots = []Plot{BarChart{Title: "Time to commit", Unit: "ms", Items: []Bar{
		{"p50", r.CommitP50}, {"p99", r.CommitP99}, {"max", r.CommitMax},
	}}}
	return s, nil
}
