// Package store keeps a control node's log and snapshots in its data folder.
//
// The folder contains an identity file, log segments and a snapshot. A segment is
// a sequence of frames. Each frame holds what one synced write added, with a
// checksum and a sequence number, so that the store can distinguish a frame torn
// by a crash, which was never acknowledged and is truncated, from damage
// elsewhere, which is rejected. A new snapshot replaces the previous one by an
// atomic rename.
package store
