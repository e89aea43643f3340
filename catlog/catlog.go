// Package catlog generates docs/CODES.md and docs/EVENTS.md from the tables of
// packages codes and event.
package catlog

import (
	"fmt"
	"strings"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

const generated = "<!-- Made by \"sardctl docs write docs\". Change the tables in the code instead. -->\n"

// Codes returns the text of docs/CODES.md.
func Codes() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n" + generated + `
Each error answer, error message of a program and log line about an error names
its result code. The meaning of a number never changes. 1xx: the request; 2xx:
capacity; 3xx: targets; 4xx: control state; 5xx: settings; 6xx: storage; 7xx:
keys and tokens.

| code | name | HTTP status | meaning | what to do |
| --- | --- | --- | --- | --- |
`)
	for _, r := range codes.Table() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", int(r.Code), r.Name, r.Status, cell(r.Meaning), cell(r.Remedy))
	}
	return b.String()
}

// Events returns the text of docs/EVENTS.md.
func Events() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n" + generated + `
Each log line holds the number of its event in the attribute ` + "`event`" + `, except
the line that counts dropped lines. The meaning of a number never changes. 1xx:
process; 2xx: quorum and storage; 3xx: settings and their distribution; 4xx: targets
and groups; 5xx: requests; 6xx: keys and tokens.

| event | name | level | meaning | what to do |
| --- | --- | --- | --- | --- |
`)
	for _, r := range event.Table() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", int(r.ID), r.Name, strings.ToLower(r.Level.String()), cell(r.Meaning), cell(r.Remedy))
	}
	return b.String()
}

// cell escapes a text for a cell of a Markdown table.
func cell(text string) string {
	return strings.ReplaceAll(text, "|", `\|`)
}
