// Package sardine holds the domain types of sardineswitch and the interfaces
// behind which behaviour varies: clock, disk, link, random source and engine
// client. Implementations live in the packages below it, one concept each.
//
// sardineswitch serves models whose replicas (groups) span several VMs. Entry
// nodes admit, route and stream callers' requests; control nodes keep the
// replicated settings, group assignments, memberships and request claims.
package sardine
