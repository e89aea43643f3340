// Package entry is the entry node: it takes callers' requests and targets'
// announcements, follows the control state under a serving lease, and admits,
// routes, dispatches and retries. It is the shell around the pure cores follow,
// fleet, admit, route, retry and limit.
package entry
