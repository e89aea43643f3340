// Package repl runs one member of the replicated log. It connects the consensus
// core, the store, the link to the other members and the replicated state
// through bounded rings. Four background loops share the work: one runs the core,
// one writes to the disk, one applies committed entries and one saves snapshots.
package repl
