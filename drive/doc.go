// Package drive hands cores messages and virtual time under a seeded schedule of
// faults: loss, delay, reorder, duplication, one-way cuts, partitions, pauses,
// crashes and clock drift. It knows nothing of what the cores decide. Equal
// seeds give equal runs.
package drive
