// Package catlog writes the catalogues of result codes and log events for the
// docs, from the tables that the code uses.
package catlog

import (
	"fmt"
	"strings"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

const generated = "<!-- Made by \"sardctl docs write docs\". Change the tables in the code instead. -->\n"

// Codes returns docs/CODES.md.
func Codes() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n" + generated + `
Each error answer, message of a program and log line names its result code.
Numbers never change their meaning. 1xx: the request; 2xx: capacity; 3xx:
targets; 4xx: control state; 5xx: settings; 6xx: storage; 7xx: keys.

| code | name | HTTP status | meaning | what to do |
| --- | --- | --- | --- | --- |
`)
	for _, r := range codes.Table() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", int(r.Code), r.Name, r.Status, cell(r.Meaning), cell(r.Remedy))
	}
	return b.String()
}

// Events returns docs/EVENTS.md.
func Events() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n" + generated + `
Each log line holds the number of its event in the attribute ` + "`event`" + `. Numbers
never change their meaning. 1xx: process; 2xx: quorum and storage; 3xx: settings
and spread; 4xx: targets and groups; 5xx: requests; 6xx: keys.

| event | name | level | meaning | what to do |
| --- | --- | --- | --- | --- |
`)
	for _, r := range event.Table() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", int(r.ID), r.Name, strings.ToLower(r.Level.String()), cell(r.Meaning), cell(r.Remedy))
	}
	return b.String()
}

func cell(text string) string {
	return strings.ReplaceAll(text, "|", `\|`)
}
