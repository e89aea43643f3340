package verbs

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/status"
)

const maxAnswer = 64 << 20 // bytes of a node's answer

// client returns an HTTP client and the scheme to use.
func (s *Session) client() (*http.Client, string, error) {
	if s.authority == "" {
		return &http.Client{Transport: &http.Transport{}}, "http", nil
	}
	trust, err := keys.OpenBundle("", "", s.authority)
	if err != nil {
		return nil, "", usage(err, "--authority")
	}
	return &http.Client{Transport: trust.ClientTransport()}, "https", nil
}

// ask sends one plain request to a node and returns the body of a 2xx answer.
// Errors of package oper keep their code.
func (c *Call) ask(method, node, path string, content []byte) ([]byte, error) {
	ctx, cancel := c.limited()
	defer cancel()
	return c.askWithin(ctx, method, node, path, content)
}

func (c *Call) askWithin(ctx context.Context, method, node, path string, content []byte) ([]byte, error) {
	client, scheme, err := c.session.client()
	if err != nil {
		return nil, err
	}
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, method, scheme+"://"+node+path, bytes.NewReader(content))
	if err != nil {
		return nil, usage(err, "address "+node)
	}
	token, err := c.session.readToken()
	if err != nil {
		return nil, err
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	answer, err := client.Do(request)
	if err != nil {
		return nil, unanswered(node, err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return nil, codes.Wrap(codes.AnswerInvalid, err, "answer of "+node)
	}
	return body, answered(node, path, answer, body)
}

// unanswered tells a node that was not reached from one whose answer was lost.
func unanswered(node string, err error) error {
	if ctlapi.SurelyUnsent(err) {
		return codes.New(codes.NoQuorum, "node %s can't be reached: %v", node, err)
	}
	return codes.New(codes.OutcomeUnknown, "node %s gave no answer: %v", node, err)
}

func answered(node, path string, answer *http.Response, body []byte) error {
	if answer.StatusCode/100 == 2 {
		return nil
	}
	fault := oper.DecodeFault(body)
	if !codes.Is(fault, codes.AnswerInvalid) {
		return fault
	}
	if answer.StatusCode == http.StatusNotFound {
		return codes.New(codes.UsageError, "node %s serves no %s; is it an operators' or internal address?", node, path)
	}
	return codes.New(codes.AnswerInvalid, "node %s answered %s to %s: %.200s", node, answer.Status, path, body)
}

// operate sends a request of package oper to the leading control node. All of
// them may be repeated, so a lost answer is no reason to stop.
func (c *Call) operate(method, path string, content []byte) ([]byte, error) {
	nodes, err := c.controls()
	if err != nil {
		return nil, err
	}
	var lost, last error
	for _, node := range nodes {
		body, err := c.askBriefly(method, node, path, content)
		switch codes.Of(err) {
		case codes.OK:
			return body, nil
		case codes.OutcomeUnknown:
			lost = err
		case codes.NotLeader, codes.NoQuorum:
			last = err
		default:
			return nil, err
		}
	}
	if lost != nil {
		return nil, lost
	}
	return nil, last
}

// briefLimit bounds the wait for a node that answers from its memory: one that
// hangs must not hide what the others say.
const briefLimit = 3 * time.Second

// brief leaves most of --timeout for the other nodes.
func (c *Call) brief() time.Duration {
	return min(briefLimit, c.session.timeout/4)
}

func (c *Call) askBriefly(method, node, path string, content []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.brief())
	defer cancel()
	return c.askWithin(ctx, method, node, path, content)
}

// told is one node's answer to the question for its report.
type told struct {
	report status.Report
	err    error
}

// report asks all control nodes for the status of the site at once. The leader
// is believed, since only it knows leases and announcements; without it, one
// that knows who leads, else any that answers.
func (c *Call) report() (status.Report, error) {
	nodes, err := c.controls()
	if err != nil {
		return status.Report{}, err
	}
	answers := make(chan told, len(nodes))
	for _, node := range nodes {
		go func() { answers <- c.reportOf(node) }()
	}
	var best, last told
	for range nodes {
		t := <-answers
		if t.err != nil {
			last = t
			continue
		}
		if t.report.Leader != "" && t.report.Leader == t.report.Node {
			return t.report, nil
		}
		if best.report.Node == "" || t.report.Leader != "" {
			best = t
		}
	}
	if best.report.Node == "" {
		return status.Report{}, last.err
	}
	return best.report, nil
}

func (c *Call) reportOf(node string) told {
	body, err := c.askBriefly(http.MethodGet, node, status.Path, nil)
	if err != nil {
		return told{err: err}
	}
	r, err := status.Decode(body)
	return told{report: r, err: codes.Wrap(codes.AnswerInvalid, err, "node "+node)}
}
