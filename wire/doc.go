// Package wire holds the generated messages and twirp services that the
// system's own processes speak. Domain types carry no tags; the codecs beside
// them map to these messages by hand.
package wire
