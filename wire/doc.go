// Package wire contains the generated messages and twirp services by which the
// system's own processes communicate. Domain types have no tags; hand-written
// codecs beside them convert them to these messages.
package wire
