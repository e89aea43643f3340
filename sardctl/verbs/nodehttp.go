package verbs

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"sardineswitch.dev/sardine/answer"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/status"
)

const maxReplyBytes = 64 << 20 // bytes of a node's answer

// client returns an HTTP client and the scheme to use.
func (s *Session) client() (*http.Client, string, error) {
	if s.authority == "" {
		return &http.Client{Transport: answer.NewTransport(&http.Transport{}, answer.WithEnd())}, "http", nil
	}
	trust, err := keys.OpenBundle("", "", s.authority)
	if err != nil {
		return nil, "", usageError(err, "--authority")
	}
	return &http.Client{Transport: answer.NewTransport(trust.ClientTransport(), answer.WithEnd())}, "https", nil
}

// send sends one HTTP request to a node and returns the body of a 2xx response. It
// ends after --timeout. Errors of package oper keep their code.
func (c *Call) send(method, node, path string, content []byte) ([]byte, error) {
	ctx, cancel := c.withTimeout()
	defer cancel()
	return c.sendContext(ctx, method, node, path, content)
}

func (c *Call) sendContext(ctx context.Context, method, node, path string, content []byte) ([]byte, error) {
	client, scheme, err := c.session.client()
	if err != nil {
		return nil, err
	}
	defer client.CloseIdleConnections()
	ctx, markUnsent := ctlapi.WatchSent(ctx)
	request, err := http.NewRequestWithContext(ctx, method, scheme+"://"+node+path, bytes.NewReader(content))
	if err != nil {
		return nil, usageError(err, "address "+node)
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
		return nil, noReplyError(node, markUnsent(err))
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxReplyBytes))
	if err != nil {
		return nil, codes.Wrap(codes.AnswerInvalid, err, "answer of "+node)
	}
	return body, replyError(node, path, answer, body)
}

// noReplyError distinguishes a node that was not reached from one whose reply was
// lost, where the outcome of the request is unknown.
func noReplyError(node string, err error) error {
	if ctlapi.NeverSent(err) {
		return codes.Wrap(codes.NoQuorum, err, "node "+node+" can't be reached")
	}
	return codes.New(codes.OutcomeUnknown, "node %s gave no answer: %v", node, err)
}

func replyError(node, path string, answer *http.Response, body []byte) error {
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

// sendToLeader sends a request of package oper to the control nodes in turn until
// the leader replies. All these requests may be repeated, so that it goes on after a
// lost reply.
func (c *Call) sendToLeader(method, path string, content []byte) ([]byte, error) {
	nodes, err := c.controls()
	if err != nil {
		return nil, err
	}
	var lost, last error
	for _, node := range nodes {
		body, err := c.sendWithNodeTimeout(method, node, path, content)
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

// maxNodeTimeout bounds the wait for a request that a node answers from memory, so
// that a node that hangs does not hide the replies of the others.
const maxNodeTimeout = 3 * time.Second

// nodeTimeout returns the timeout of a request to one of several nodes. It leaves
// most of --timeout for the others.
func (c *Call) nodeTimeout() time.Duration {
	return min(maxNodeTimeout, c.session.timeout/4)
}

func (c *Call) sendWithNodeTimeout(method, node, path string, content []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.nodeTimeout())
	defer cancel()
	return c.sendContext(ctx, method, node, path, content)
}

// nodeReport is one node's reply to a status request.
type nodeReport struct {
	report status.Report
	err    error
}

// report requests the status of the site from all control nodes at once. It returns
// the leader's report, since only the leader has the leases and announcements;
// without one that of a node that has contact with a leader, else that of any node
// that replies.
func (c *Call) report() (status.Report, error) {
	nodes, err := c.controls()
	if err != nil {
		return status.Report{}, err
	}
	answers := make(chan nodeReport, len(nodes))
	for _, node := range nodes {
		go func() { answers <- c.reportOf(node) }()
	}
	var best, last nodeReport
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

func (c *Call) reportOf(node string) nodeReport {
	body, err := c.sendWithNodeTimeout(http.MethodGet, node, status.Path, nil)
	if err != nil {
		return nodeReport{err: err}
	}
	r, err := status.Decode(body)
	return nodeReport{report: r, err: codes.Wrap(codes.AnswerInvalid, err, "node "+node)}
}
