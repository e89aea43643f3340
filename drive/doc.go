// Package drive simulates a network of nodes in virtual time, for tests of state
// machines without I/O. A seeded schedule determines the faults: loss, delay,
// reordering, duplication, one-way cuts, partitions, pauses, crashes and clock
// drift. The package does not interpret the messages. Equal seeds give equal runs.
package drive
