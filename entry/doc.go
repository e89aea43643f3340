// Package entry implements the entry node. It accepts requests from callers and
// announcements from targets, follows the replicated control state under a
// serving lease, and admits, routes, dispatches and retries requests.
//
// The decisions are made by the packages follow, fleet, admit, route, retry,
// limit, claim and guard, which do no I/O and get the time from their caller
// (the cores). This package adds the network, the locks and the clock.
package entry
