// Package repl runs one member of the replicated log: it joins the consensus
// core, the store, the link to the other members and the replicated state by
// bounded rings. Four duties share the work: the core's, the disk's, the
// state's, and the one that saves snapshots.
package repl
