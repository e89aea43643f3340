package keys

import (
	"crypto/tls"
	"errors"
	"net/http"

	"sardineswitch.dev/sardine/conf"
)

// Set is all TLS of one node, as its settings file says. Without certificates in
// the settings, servers and clients speak plain HTTP.
type Set struct {
	node    *Bundle // towards other nodes and operators, nil for plain HTTP
	callers *Bundle // towards callers, nil for plain HTTP
}

// Open reads the files that the settings name. Errors carry codes.BadSettings.
func Open(t conf.TLS) (*Set, error) {
	s := &Set{}
	var err error
	if t.Enabled() {
		if s.node, err = OpenBundle(t.Certificate(), t.Key(), t.Authority()); err != nil {
			return nil, err
		}
	}
	if t.CallersCertificate() != "" {
		if s.callers, err = OpenBundle(t.CallersCertificate(), t.CallersKey(), ""); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// InternalServer returns settings for the server that other nodes call; they
// need a certificate of the site. It is nil for plain HTTP.
func (s *Set) InternalServer() *tls.Config {
	return serverConfig(s.node, true)
}

// OperatorServer returns settings for the server that sardctl calls; operators
// show tokens, not certificates. It is nil for plain HTTP.
func (s *Set) OperatorServer() *tls.Config {
	return serverConfig(s.node, false)
}

// CallerServer returns settings for the server that callers and targets call. It
// is nil for plain HTTP.
func (s *Set) CallerServer() *tls.Config {
	return serverConfig(s.callers, false)
}

// Client returns a client for calls to other nodes, and the scheme of their
// addresses. It follows no redirects.
func (s *Set) Client(idle int) (client *http.Client, scheme string) {
	transport, scheme := &http.Transport{}, "http"
	if s.node != nil {
		transport, scheme = s.node.ClientTransport(), "https"
	}
	transport.MaxIdleConnsPerHost = idle
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: stay}, scheme
}

// Reload reads all files again and reports whether any had changed. A file that
// can't be used leaves the last good one in use.
func (s *Set) Reload() (bool, error) {
	changed := false
	var failures []error
	for _, b := range []*Bundle{s.node, s.callers} {
		if b == nil {
			continue
		}
		fresh, err := b.Reload()
		changed = changed || fresh
		failures = append(failures, err)
	}
	return changed, errors.Join(failures...)
}

func serverConfig(b *Bundle, mutual bool) *tls.Config {
	if b == nil {
		return nil
	}
	return b.ServerConfig(mutual)
}
