// Package team reads and edits a team's settings document: one TOML document for
// each subtree /teams/<team>. It checks the whole document before a change is
// proposed and reports every problem with its position.
package team
