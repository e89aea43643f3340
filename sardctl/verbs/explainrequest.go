package verbs

import (
	"net/http"
	"net/url"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/trace"
)

// explainRequest fetches the record of a request from the entry node that is named
// in the request's id.
func (c *Call) explainRequest(id sardine.RequestID) error {
	node, _, _, err := trace.ParseID(id)
	if err != nil {
		return err
	}
	address, err := c.nodeAddress(string(node))
	if err != nil {
		return err
	}
	body, err := c.send(http.MethodGet, address, trace.Path+url.PathEscape(string(id)), nil)
	if err != nil {
		return err
	}
	a, err := trace.Decode(body)
	if err != nil {
		return err
	}
	if c.session.json {
		return c.printJSON(a)
	}
	c.printAccount(a)
	return nil
}

func (c *Call) printAccount(a trace.Account) {
	age := (time.Duration(a.Age) * time.Millisecond).Truncate(time.Second)
	c.printf("request %s came to %s %s ago, workspace %s, service %s\n", a.Request, a.Node, age, orDash(a.Workspace), orDash(a.Service))
	c.printf("  %6d ms  waited in the queue\n", a.Waited)
	for i, s := range a.Dispatches {
		what := "sent to"
		if i > 0 {
			what = "sent again, to"
		}
		c.printf("  %6d ms  %s %s\n", s.After, what, s.Target)
	}
	if a.Unnamed > 0 {
		c.printf("             and sent %d more time(s)\n", a.Unnamed)
	}
	if a.First > 0 {
		c.printf("  %6d ms  first token or head of the answer\n", a.First)
	}
	switch {
	case !a.Ended:
		c.printf("it has not ended\n")
	case a.CallerLeft:
		c.printf("  %6d ms  the caller left, %d token(s) passed on; ran: %s\n", a.Took, a.Tokens, a.Ran)
	default:
		c.printf("  %6d ms  ended: %s (%d), %d token(s) passed on; ran: %s\n", a.Took, a.CodeName, a.Code, a.Tokens, a.Ran)
	}
}
