// Package state is the replicated state machine: the settings of every team,
// the entry nodes, targets, groups, VM ownership, claims of request keys,
// poison fingerprints and tokens. Apply is deterministic; it reads no clock and
// no random source. Time comes from the leader's stamp on each command.
package state
