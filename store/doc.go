// Package store keeps a control node's log and snapshots in its data folder.
//
// The folder holds an identity file, log segments and snapshots. A segment is a
// sequence of frames; each frame is what one synced write added and carries a
// checksum and a running number, so that the store can tell a frame torn by a
// crash (cut off, it was never acknowledged) from damage before the end
// (refused). Snapshots replace each other by an atomic rename.
package store
