package order

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/answer"
	"sardineswitch.dev/sardine/codes"
)

// DefaultTimeout bounds one order from the connection to the response.
const DefaultTimeout = 2 * sardine.Second

const (
	maxDetail      = 512      // bytes of the response body kept in the error
	maxHeaderBytes = 16 << 10 // limit on the response headers of an engine
)

// Client sends orders over HTTP. It implements sardine.EngineClient.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithHTTP sets the HTTP client, to share its connections.
func WithHTTP(c *http.Client) Option {
	return func(s *Client) { s.http = c }
}

// WithTimeout sets the timeout of one order.
func WithTimeout(d sardine.Millis) Option {
	return func(s *Client) { s.timeout = d.Duration() }
}

// NewClient returns a client with its own connections unless WithHTTP is given.
func NewClient(options ...Option) *Client {
	s := &Client{timeout: DefaultTimeout.Duration()}
	for _, o := range options {
		o(s)
	}
	if s.http == nil {
		transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeaderBytes}
		s.http = &http.Client{Transport: answer.NewTransport(transport)}
	}
	return s
}

// Send posts o to the engine at address (host:port). It returns
// codes.EpochRefused if the engine holds a higher epoch, and codes.TargetFailed
// if the engine can't be reached or rejects the order for another reason.
func (s *Client) Send(ctx context.Context, address string, o sardine.Order) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(Encode(o)))
	if err != nil {
		return codes.Wrap(codes.TargetFailed, err, "order to "+address)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.http.Do(request)
	if err != nil {
		return codes.Wrap(codes.TargetFailed, err, "order to "+address)
	}
	defer func() { _ = response.Body.Close() }()
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxDetail))
	return statusError(address, o, response, strings.TrimSpace(string(detail)))
}

// Close closes idle connections.
func (s *Client) Close() {
	s.http.CloseIdleConnections()
}

func statusError(address string, o sardine.Order, response *http.Response, detail string) error {
	switch {
	case response.StatusCode/100 == 2:
		return nil
	case response.StatusCode == http.StatusConflict:
		return codes.New(codes.EpochRefused, "engine %s refused group %s epoch %d: %s", address, o.Group, o.Epoch, detail)
	default:
		return codes.New(codes.TargetFailed, "engine %s answered %s to group %s epoch %d: %s", address, response.Status, o.Group, o.Epoch, detail)
	}
}
