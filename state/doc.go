// Package state is the replicated state machine of the control nodes. It holds
// the settings of every team, entry nodes, targets, groups, VM ownership, claims
// of idempotency keys, poison fingerprints and tokens. Apply is deterministic:
// it reads neither a clock nor a random source. Time comes from the timestamp
// that the leader puts on each command.
package state
