// Package sardine defines the domain types of sardineswitch and the interfaces
// that have several implementations: clock, disk, network connections, random
// source, engine client, and the ports for callers, targets and operators.
// Subpackages implement them.
//
// sardineswitch serves models whose replicas (groups) span several VMs. Entry
// nodes admit, route and stream callers' requests; control nodes hold the
// replicated settings, group assignments, memberships and request claims.
package sardine
