package answer

import (
	"errors"
	"net/http"
)

var errNoEnd = errors.New("the answer has neither a length nor chunks")

// Transport is an http.RoundTripper that checks the answers of another one, which speaks
// HTTP/1.1 and parses heads less strictly than Reader.
type Transport struct {
	base      http.RoundTripper
	delimited bool
}

// Option configures a Transport.
type Option func(*Transport)

// WithEnd refuses answers that end with their connection, for servers that send none: they
// may be truncated.
func WithEnd() Option {
	return func(t *Transport) { t.delimited = true }
}

// NewTransport returns a transport that checks the answers of base.
func NewTransport(base http.RoundTripper, options ...Option) *Transport {
	t := &Transport{base: base}
	for _, o := range options {
		o(t)
	}
	return t
}

// RoundTrip implements http.RoundTripper. An answer that is not valid counts as none.
func (t *Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	if err := t.check(resp); err != nil {
		_ = resp.Body.Close() // the answer's error is the reason
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the other transport.
func (t *Transport) CloseIdleConnections() {
	(&http.Client{Transport: t.base}).CloseIdleConnections()
}

// check checks an answer that has been parsed. The parser keeps a name that is not valid
// as it is.
func (t *Transport) check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return errStatusLine
	case resp.StatusCode < http.StatusOK || resp.StatusCode > lastStatus:
		return errStatus
	case t.delimited && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed:
		return errNoEnd
	}
	for name, values := range resp.Header {
		if !isToken(name) {
			return errName
		}
		for _, v := range values {
			if err := checkValue(v); err != nil {
				return err
			}
		}
	}
	return nil
}
