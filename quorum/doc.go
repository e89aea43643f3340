// Package quorum is the consensus core of the replicated log: Raft elections
// with pre-vote, replication, confirmed reads, snapshots and member changes.
// Core is a deterministic state machine. It reads no clock and no file; the
// caller passes in messages and the time, performs the Output and reports back
// when writes are durable.
package quorum
