// Package serve implements the protocol of targets that use the product's own
// interface: it sets and reads the headers of a dispatch and of its answer, and
// checks that an answer is whole and belongs to its request.
package serve
