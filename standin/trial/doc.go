// Package trial runs package quorum with its store on memory disks under the
// seeded driver, and checks its guarantees during the whole run: there is one
// leader in a term, and one vote of a member in a term; committed entries never
// change; members that have applied the same entries have the same state; a
// confirmed read includes all that was committed before it; a member that was
// cut off does not depose the leader when it returns; and a lost leader is
// replaced in time.
package trial
