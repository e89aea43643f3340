package repl

import (
	"context"
	"sync/atomic"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quorum"
)

// diskJob is work for the disk's duty.
type diskJob struct {
	write   quorum.Write
	chunks  []quorum.Message // to be filled with snapshot data and sent
	compact uint64           // remove the log up to this entry
}

// diskFigures are measured by the disk's duty.
type diskFigures struct {
	logBytes atomic.Int64
	syncs    atomic.Uint64
	syncLast atomic.Int64 // milliseconds
	syncMax  atomic.Int64
}

// diskDuty makes writes durable, as many as wait with one sync, and sends what
// had to wait for that. An error ends the node: a failed sync is never repeated.
func (n *Node) diskDuty() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case job := <-n.writes.Items():
			if err := n.performJobs(n.gather(job)); err != nil {
				return err
			}
		}
	}
}

// gather returns the job and all that wait behind it.
func (n *Node) gather(first diskJob) []diskJob {
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

// fullPause is the time between two tries to write to a full disk.
const fullPause = 200 * sardine.Millis(1)

// waitFull waits for room on a full disk, as long as the node runs. Meanwhile
// this member acknowledges nothing; the others go on without it.
func (n *Node) waitFull() bool {
	if !n.full {
		event.Log(n.settings.logger, event.DiskFull)
		n.requests.Push(n.tomb.Context(context.Background()), newRequest(askHandOver))
	}
	n.full = true
	select {
	case <-n.tomb.Dying():
		return false
	case <-n.settings.clock.After(fullPause):
		return true
	}
}

// noteRoom tells that a full disk takes writes again.
func (n *Node) noteRoom() {
	if n.full {
		n.full = false
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
		after = append(after, job.write.After...)
		chunks = append(chunks, job.chunks...)
		sequence = max(sequence, job.write.Sequence)
		compact = max(compact, job.compact)
	}
	if err := n.syncWrites(writes); err != nil {
		return err
	}
	n.noteSynced(sequence)
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
	n.noteRoom()
	took := int64(n.settings.clock.Now() - start)
	n.disk.syncs.Add(1)
	n.disk.syncLast.Store(took)
	n.disk.syncMax.Store(max(n.disk.syncMax.Load(), took))
	return nil
}

func (n *Node) noteSynced(sequence uint64) {
	if sequence == 0 {
		return
	}
	n.synced.Store(sequence)
	select {
	case n.syncedCh <- struct{}{}:
	default:
	}
}

// sendChunks fills in snapshot data. A chunk of a snapshot that was replaced
// meanwhile is dropped; the core sends the newer one.
func (n *Node) sendChunks(chunks []quorum.Message) {
	for _, m := range chunks {
		if n.store.Chunk(&m.Chunk, n.settings.limits.ChunkBytes) {
			n.settings.link.Send(m.To, []quorum.Message{m})
		}
	}
}

// saveDuty writes snapshots beside the log, so that a large one does not hold up
// commits.
func (n *Node) saveDuty() error {
	ctx := n.tomb.Context(context.Background())
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case snap := <-n.saves.Items():
			err := n.store.SaveSnapshot(snap)
			if codes.Is(err, codes.DiskFull) {
				event.Log(n.settings.logger, event.DiskFull, attrError(err))
				continue // the log keeps what the snapshot would have replaced
			}
			if err != nil {
				return err
			}
			n.mu.Lock()
			snap.Size = uint64(len(snap.Data))
			n.core.Compacted(snap)
			first := n.core.First()
			n.mu.Unlock()
			event.Log(n.settings.logger, event.SnapshotTaken, attrUint("index", snap.Index), attrInt("bytes", len(snap.Data)))
			n.writes.Push(ctx, diskJob{compact: first - 1})
		}
	}
}
