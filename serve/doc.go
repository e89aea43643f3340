// Package serve dispatches one request to one target and brings its answer back
// whole. It keeps apart what surely did not run, what ran and what may have run,
// matches answers to requests by id, checks their length and end mark, and
// resumes broken streams.
package serve
