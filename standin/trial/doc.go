// Package trial runs the replicated log's core with its store on memory disks
// under the seeded driver, and checks its promises all along: one leader a term,
// one vote a term, committed entries never change, applied states are equal, a
// confirmed read sees all that was committed before, a cut-off member disturbs
// nobody, and a lost leader is replaced in time.
package trial
