package roster

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
)

// Peers returns what a leader's status tells of the other members.
func Peers(now sardine.Millis, s quorum.Status) []Peer {
	members := make(map[sardine.NodeID]quorum.Member, len(s.Members))
	for _, m := range s.Members {
		members[m.Node] = m
	}
	peers := make([]Peer, 0, len(s.Peers))
	for _, p := range s.Peers {
		peers = append(peers, Peer{
			Member:   members[p.Node],
			Silent:   now - p.HeardAt,
			CaughtUp: p.CaughtUp,
		})
	}
	return peers
}
