// Package ctrl is the control node. It runs the replicated log and, while it leads,
// grants serving leases, accepts settings changes, tracks targets and plans groups.
// It does the I/O around the packages lease, fleet, plan and limit, which hold state
// without I/O; package repl runs the log itself.
package ctrl
