// Package spread runs the cores of settings and spread (state, team, lease,
// follow) against each other under package drive: control nodes, entry nodes and
// operators that exchange encoded messages in virtual time. It asserts the
// promises on every step. The log itself is a stand-in: terms, votes and
// acknowledgements are messages, but the entries lie in one place, since package
// quorum is proved by runs of its own.
package spread
