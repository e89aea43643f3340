package gauge

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/repl"
	"sardineswitch.dev/sardine/state"
)

const (
	// highestCommit is the longest commit time that is told apart, in
	// microseconds.
	highestCommit = 60_000_000
	// idleFor is how long the idle cost is measured.
	idleFor = 5 * time.Second
	// logDocument is the size of a change's document.
	logDocument = 200
)

// LogResult tells what the replicated log does on loopback with real files.
type LogResult struct {
	Members       int     `json:"members"`
	Seconds       float64 `json:"seconds"`
	Callers       int     `json:"callers"`
	Changes       uint64  `json:"changes"`
	PerSecond     float64 `json:"changes_per_second"`
	CommitP50     float64 `json:"commit_p50_ms"`
	CommitP99     float64 `json:"commit_p99_ms"`
	CommitMax     float64 `json:"commit_max_ms"`
	SyncsLeader   uint64  `json:"syncs_leader"`
	DiskBytes     int64   `json:"disk_bytes_highest"`
	HeapMB        float64 `json:"heap_mb_per_member"`
	RestartAfter  uint64  `json:"restart_after_changes"`
	RestartMillis float64 `json:"restart_read_ms"`
	IdleLeader    float64 `json:"idle_leader_bytes_per_second"`
	IdleFollower  float64 `json:"idle_follower_bytes_per_second"`
	IdleCore      float64 `json:"idle_core_share_per_member"`
	FailoverMs    float64 `json:"failover_ms"`
}

type logOptions struct {
	members int
	seconds int
	callers int
	changes int
	folder  string
}

func logMeasure() Measure {
	return Measure{
		Name:    "log",
		Short:   "The replicated log with real files on loopback",
		Example: "  standin measure log --members 3 --seconds 5",
		Build:   buildLog,
	}
}

func buildLog(c *cobra.Command) func(io.Writer) (any, error) {
	o := &logOptions{}
	c.Flags().IntVar(&o.members, "members", 3, "voters")
	c.Flags().IntVar(&o.seconds, "seconds", 5, "duration of the load")
	c.Flags().IntVar(&o.callers, "callers", 64, "calls in flight")
	c.Flags().IntVar(&o.changes, "changes", 100_000, "changes before the restart")
	c.Flags().StringVar(&o.folder, "folder", "", "where the data folders go, a temporary one by default")
	return func(out io.Writer) (any, error) { return runLog(out, *o) }
}

func runLog(out io.Writer, o logOptions) (LogResult, error) {
	result := LogResult{Members: o.members, Seconds: float64(o.seconds), Callers: o.callers}
	folder, err := os.MkdirTemp(o.folder, "standin-log-")
	if err != nil {
		return result, err
	}
	defer os.RemoveAll(folder)
	s, err := newSite(folder, o.members)
	if err != nil {
		return result, err
	}
	defer s.stop()
	l, err := s.leader()
	if err != nil {
		return result, err
	}
	s.idle(&result, l)
	fmt.Fprintf(out, "idle: leader %.0f bytes/s, follower %.0f bytes/s, %.2f %% of a core for each member\n", result.IdleLeader, result.IdleFollower, 100*result.IdleCore)
	s.load(&result, l, o)
	fmt.Fprintf(out, "load: %.0f changes/s, commit p50 %.2f ms, p99 %.2f ms\n", result.PerSecond, result.CommitP50, result.CommitP99)
	if err := s.failover(&result, l); err != nil {
		return result, err
	}
	fmt.Fprintf(out, "leader loss to next change: %.0f ms\n", result.FailoverMs)
	if err := s.restart(&result); err != nil {
		return result, err
	}
	fmt.Fprintf(out, "restart after %d changes: %.0f ms\n", result.RestartAfter, result.RestartMillis)
	return result, nil
}

// load runs callers against the leader for the given time, and on until the
// wanted number of changes is reached.
func (s *logSite) load(result *LogResult, l *logMember, o logOptions) {
	times := hdrhistogram.New(1, highestCommit, 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	var done atomic.Uint64
	start := time.Now()
	timed := start.Add(time.Duration(o.seconds) * time.Second)
	for caller := range o.callers {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := 0; time.Now().Before(timed) || done.Load() < uint64(o.changes); i++ {
				took, err := propose(l.node, caller, i)
				if err != nil {
					return
				}
				done.Add(1)
				if time.Now().Before(timed) {
					mu.Lock()
					_ = times.RecordValue(took.Microseconds())
					mu.Unlock()
				}
				if i%100 == 0 {
					s.noteBytes(result)
				}
			}
		}()
	}
	group.Wait()
	result.Changes = uint64(times.TotalCount())
	result.PerSecond = float64(result.Changes) / result.Seconds
	result.CommitP50 = float64(times.ValueAtQuantile(50)) / 1000
	result.CommitP99 = float64(times.ValueAtQuantile(99)) / 1000
	result.CommitMax = float64(times.Max()) / 1000
	result.SyncsLeader = l.node.Status().Syncs
	result.RestartAfter = done.Load()
	result.HeapMB = heapMB() / float64(len(s.members))
}

// heapMB returns the heap in use, in megabytes, with what awaits collection.
func heapMB() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse) / (1 << 20)
}

// propose makes one change: an entry node that joins under a name of which there
// are few, so that the state stays small while the log grows.
func propose(n *repl.Node, caller, i int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := state.JoinEntry{
		Node:        sardine.NodeID(fmt.Sprintf("entry-%d-%d", caller, i%10)),
		Incarnation: sardine.Incarnation(i + 1),
		Address:     fmt.Sprintf("%0*d", logDocument, i),
	}
	start := time.Now()
	_, err := n.Propose(ctx, c)
	return time.Since(start), err
}

// failover stops the leader without a handover and waits for the next change.
func (s *logSite) failover(result *LogResult, l *logMember) error {
	if len(s.members) < 3 {
		return nil
	}
	start := time.Now()
	l.cut.Store(true)
	for time.Since(start) < 10*time.Second {
		for _, m := range s.members {
			if m == l || !m.node.Leader().IsLeader {
				continue
			}
			if _, err := propose(m.node, 0, 1); err == nil {
				result.FailoverMs = float64(time.Since(start).Microseconds()) / 1000
				l.cut.Store(false)
				return nil
			}
		}
		time.Sleep(time.Millisecond)
	}
	return fmt.Errorf("no leader within 10 s")
}

// restart stops all members and reads one member's folder again.
func (s *logSite) restart(result *LogResult) error {
	m := s.members[0]
	if err := m.stop(); err != nil {
		return err
	}
	start := time.Now()
	n, err := m.open(s.list)
	if err != nil {
		return err
	}
	result.RestartMillis = float64(time.Since(start).Microseconds()) / 1000
	n.Start()
	return n.Stop(context.Background())
}

// noteBytes keeps the highest size of a member's folder.
func (s *logSite) noteBytes(result *LogResult) {
	var sum int64
	files, _ := filepath.Glob(filepath.Join(s.members[0].folder, "*"))
	for _, f := range files {
		if info, err := os.Stat(f); err == nil {
			sum += info.Size()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result.DiskBytes = max(result.DiskBytes, sum)
}
