// Package follow spreads the replicated log from the leading control node to
// the entry nodes by long polls, and renews their serving leases on the way. A
// Follower is one entry node's side, its Relay serves other entry nodes of the
// data centre, and a Server is the leader's side. All are pure state machines.
//
// Answers travel down the tree in waves: the leader answers when there is news
// or the hold time has passed, each relay answers all its followers as soon as
// it is answered, and asks again once they have asked again. One message a link
// and wave carries the leases, the acknowledgements and the news of everything
// below it.
package follow
