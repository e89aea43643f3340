// Package follow distributes the replicated log from the leading control node to
// the entry nodes by long polls, and renews their serving leases with the same
// messages. A Follower is the side of one entry node, its Relay serves other
// entry nodes of the data centre, and a Server is the side of the leader. All are
// state machines without I/O or clock.
//
// Replies travel down the relay tree in rounds: the leader replies when there are
// updates or the hold time has passed; each relay replies to all its followers as
// soon as it receives a reply, and polls again once they have polled again. In
// each round, one request and one reply per link carry the leases, the
// acknowledgements and the updates of the whole subtree.
package follow
