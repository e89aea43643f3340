package keys

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"sardineswitch.dev/sardine/conf"
)

// Set holds the TLS settings of one node. Without certificates in the settings file,
// servers and clients use plain HTTP.
type Set struct {
	node    *Bundle // towards other nodes and operators, nil for plain HTTP
	callers *Bundle // towards callers, nil for plain HTTP
}

// Open reads the files named in the settings. Errors carry codes.BadSettings.
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

// Plain returns a set without certificates, for plain HTTP.
func Plain() *Set {
	return &Set{}
}

// Enabled reports whether connections between nodes and from operators use TLS.
func (s *Set) Enabled() bool {
	return s.node != nil
}

// InternalServer returns the TLS configuration of the server for other nodes and
// operators. Client certificates are optional, since operators have none, but must
// be valid if sent. SiteOnly protects handlers that only nodes may call. It is nil
// for plain HTTP.
func (s *Set) InternalServer() *tls.Config {
	return serverConfig(s.node, tls.VerifyClientCertIfGiven)
}

// OperatorServer returns the TLS configuration of the server for sardctl. Operators
// authenticate with tokens, not certificates. It is nil for plain HTTP.
func (s *Set) OperatorServer() *tls.Config {
	return serverConfig(s.node, tls.NoClientCert)
}

// CallerServer returns the TLS configuration of the server for callers and targets.
// It is nil for plain HTTP.
func (s *Set) CallerServer() *tls.Config {
	return serverConfig(s.callers, tls.NoClientCert)
}

// SiteOnly calls next for requests with a currently valid client certificate of the
// site, and refuse for all others. Without certificates in the settings it returns
// next.
func (s *Set) SiteOnly(next http.Handler, refuse http.HandlerFunc) http.Handler {
	if s.node == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 || !s.node.Trusts(r.TLS.PeerCertificates[0], time.Now()) {
			refuse(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// An HTTP/2 connection without traffic is pinged after pingAfter, and closed if there
// is no reply within pingTimeout.
const (
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
)

// Client returns an HTTP/2 client for calls to other nodes, and the URL scheme of
// their addresses. It follows no redirects and keeps up to idle unused connections
// per host. HTTP/1.1 would use three times the bytes for the headers of each poll.
func (s *Set) Client(idle int) (client *http.Client, scheme string) {
	transport, scheme := plainTransport(), "http"
	if s.node != nil {
		transport, scheme = s.node.LinkTransport(), "https"
	}
	transport.MaxIdleConnsPerHost = idle
	transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout, WriteByteTimeout: pingTimeout}
	return noRedirectClient(transport), scheme
}

// plainTransport returns a transport that uses HTTP/2 without TLS.
func plainTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{Protocols: protocols, DisableCompression: true, DialContext: dialer().DialContext}
}

// dialTimeout is the timeout for opening a connection. Callers with less time must
// observe themselves whether a request was sent.
const dialTimeout = 1500 * time.Millisecond

func dialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout}
}

// LinkClient returns an HTTP/2 client for messages between control nodes, nil for
// plain HTTP.
func (s *Set) LinkClient() *http.Client {
	if s.node == nil {
		return nil
	}
	return noRedirectClient(s.node.LinkTransport())
}

// noRedirectClient returns a client that does not follow redirects.
func noRedirectClient(t *http.Transport) *http.Client {
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: t, CheckRedirect: stay}
}

// Reload reads all files again and reports whether any had changed. If a file is
// invalid, the previous contents of its bundle stay in use.
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

func serverConfig(b *Bundle, clientAuth tls.ClientAuthType) *tls.Config {
	if b == nil {
		return nil
	}
	return b.ServerConfig(clientAuth)
}
