// Package spread simulates the distribution of settings: it runs packages
// state, team, lease and follow against each other under package drive, as
// control nodes, entry nodes and operators that exchange encoded messages in
// virtual time. It checks the invariants at every step. The log itself is a
// stand-in: terms, votes and acknowledgements are messages, but the entries lie
// in one place, since package trial tests package quorum.
package spread
