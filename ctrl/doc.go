// Package ctrl is the control node: it runs the replicated log and, while it
// leads, grants serving leases, accepts settings changes, keeps track of targets
// and plans groups. It is the shell around the pure cores lease, fleet, plan and
// limit; package repl runs the log itself.
package ctrl
