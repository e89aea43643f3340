package repl

import (
	"context"
	"sync/atomic"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quorum"
)

// diskJob is work for diskLoop.
type diskJob struct {
	write   quorum.Write
	chunks  []quorum.Message // snapshot chunks to fill with data and send
	compact uint64           // remove the log up to this entry; 0 for none
}

// diskMetrics is updated by diskLoop.
type diskMetrics struct {
	logBytes atomic.Int64
	syncs    atomic.Uint64
	syncLast atomic.Int64 // milliseconds
	syncMax  atomic.Int64
}

// diskLoop makes writes durable, all queued ones with a single sync, and then
// sends the messages that depend on them. An error ends the node: a failed sync
// is never retried.
func (n *Node) diskLoop() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case job := <-n.writes.Items():
			if err := n.performJobs(n.collectJobs(job)); err != nil {
				return err
			}
		}
	}
}

// collectJobs returns the job and those queued after it, at most diskItems.
func (n *Node) collectJobs(first diskJob) []diskJob {
	jobs := []diskJob{first}
	for len(jobs) < diskItems {
		select {
		case job := <-n.writes.Items():
			jobs = append(jobs, job)
		default:
			return jobs
		}
	}
	return jobs
}

// fullDiskRetryInterval is the time between two attempts to write to a full disk.
const fullDiskRetryInterval = 200 * sardine.Millis(1)

// waitForDiskSpace waits until the next attempt to write to a full disk and
// reports whether to make one, which is as long as the node runs. Meanwhile this
// member acknowledges nothing, and transfers its leadership if it leads; the
// others continue without it. It must not wait for the core, which waits for
// diskLoop while the ring of writes is full.
func (n *Node) waitForDiskSpace() bool {
	if !n.diskFull {
		event.Log(n.settings.logger, event.DiskFull)
		select {
		case n.transferCh <- struct{}{}:
		default: // a transfer is due already
		}
	}
	n.diskFull = true
	select {
	case <-n.tomb.Dying():
		return false
	case <-n.settings.clock.After(fullDiskRetryInterval):
		return true
	}
}

// recordDiskSpace logs that a disk that was full accepts writes again.
func (n *Node) recordDiskSpace() {
	if n.diskFull {
		n.diskFull = false
		event.Log(n.settings.logger, event.DiskRoom)
	}
}

func (n *Node) performJobs(jobs []diskJob) error {
	var writes []quorum.Write
	var after, chunks []quorum.Message
	var sequence, compact uint64
	for _, job := range jobs {
		if job.write.Stores() {
			writes = append(writes, job.write)
		}
		after = append(after, job.write.SendAfterSync...)
		chunks = append(chunks, job.chunks...)
		sequence = max(sequence, job.write.Sequence)
		compact = max(compact, job.compact)
	}
	if err := n.syncWrites(writes); err != nil {
		return err
	}
	n.recordSynced(sequence)
	chunks = append(chunks, n.sendAll(after)...)
	n.sendChunks(chunks)
	if compact > 0 {
		if err := n.store.Compact(compact); err != nil {
			return err
		}
	}
	n.disk.logBytes.Store(n.store.Bytes())
	return nil
}

func (n *Node) syncWrites(writes []quorum.Write) error {
	if len(writes) == 0 {
		return nil
	}
	start := n.settings.clock.Now()
	if err := n.store.Write(writes...); err != nil {
		return err
	}
	n.recordDiskSpace()
	elapsed := int64(n.settings.clock.Now() - start)
	n.disk.syncs.Add(1)
	n.disk.syncLast.Store(elapsed)
	n.disk.syncMax.Store(max(n.disk.syncMax.Load(), elapsed))
	return nil
}

func (n *Node) recordSynced(sequence uint64) {
	if sequence == 0 {
		return
	}
	n.synced.Store(sequence)
	select {
	case n.syncedCh <- struct{}{}:
	default:
	}
}

// sendChunks fills in the data of snapshot chunks and sends them. A chunk of a
// snapshot that has been replaced is dropped; the core sends the newer one.
func (n *Node) sendChunks(chunks []quorum.Message) {
	for _, m := range chunks {
		if n.store.Chunk(&m.Chunk, n.settings.limits.ChunkBytes) {
			n.settings.link.Send(m.To, []quorum.Message{m})
		}
	}
}

// snapshotLoop writes snapshots concurrently with the log, so that a large one
// does not delay commits.
func (n *Node) snapshotLoop() error {
	ctx := n.tomb.Context(context.Background())
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case snap := <-n.saves.Items():
			err := n.store.SaveSnapshot(snap)
			if codes.Is(err, codes.DiskFull) {
				event.Log(n.settings.logger, event.DiskFull, attrError(err))
				continue // the log keeps the entries that the snapshot would have replaced
			}
			if err != nil {
				return err
			}
			n.mu.Lock()
			snap.Size = uint64(len(snap.Data))
			n.core.SnapshotSaved(snap)
			first := n.core.First()
			n.mu.Unlock()
			event.Log(n.settings.logger, event.SnapshotTaken, attrUint("index", snap.Index), attrInt("bytes", len(snap.Data)))
			n.writes.Push(ctx, diskJob{compact: first - 1})
		}
	}
}
