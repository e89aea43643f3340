package keys

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

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

// Plain returns a set without certificates.
func Plain() *Set {
	return &Set{}
}

// Enabled reports whether nodes and operators speak TLS.
func (s *Set) Enabled() bool {
	return s.node != nil
}

// InternalServer returns settings for the server that other nodes and operators
// call. A caller may come without a certificate, as operators do; one that it
// shows must count. SiteOnly guards what is for nodes alone. It is nil for plain
// HTTP.
func (s *Set) InternalServer() *tls.Config {
	return serverConfig(s.node, tls.VerifyClientCertIfGiven)
}

// OperatorServer returns settings for the server that sardctl calls; operators
// show tokens, not certificates. It is nil for plain HTTP.
func (s *Set) OperatorServer() *tls.Config {
	return serverConfig(s.node, tls.NoClientCert)
}

// CallerServer returns settings for the server that callers and targets call. It
// is nil for plain HTTP.
func (s *Set) CallerServer() *tls.Config {
	return serverConfig(s.callers, tls.NoClientCert)
}

// SiteOnly passes requests on whose caller has shown a certificate of the site
// that counts now, and calls refuse for others. Without certificates in the
// settings it passes all.
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

// Times after which a silent HTTP/2 connection is tried, and then given up.
const (
	silentMost = 2 * time.Second
	pingMost   = time.Second
)

// Client returns a client over HTTP/2 for calls to other nodes, and the scheme of
// their addresses. It follows no redirects. HTTP/1.1 would spend three times the
// bytes on the headers of each poll.
func (s *Set) Client(idle int) (client *http.Client, scheme string) {
	transport, scheme := plainTransport(), "http"
	if s.node != nil {
		transport, scheme = s.node.LinkTransport(), "https"
	}
	transport.MaxIdleConnsPerHost = idle
	transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: silentMost, PingTimeout: pingMost, WriteByteTimeout: pingMost}
	return staying(transport), scheme
}

// plainTransport speaks HTTP/2 without TLS.
func plainTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{Protocols: protocols, DisableCompression: true, DialContext: dialer().DialContext}
}

// dialMost bounds the making of a connection. It is below every bound of a call,
// so that a silent node shows as an error of dialling: nothing was sent.
const dialMost = 1500 * time.Millisecond

func dialer() *net.Dialer {
	return &net.Dialer{Timeout: dialMost}
}

// LinkClient returns a client over HTTP/2 for the messages between control nodes,
// nil for plain HTTP.
func (s *Set) LinkClient() *http.Client {
	if s.node == nil {
		return nil
	}
	return staying(s.node.LinkTransport())
}

// staying returns a client that follows no redirects.
func staying(t *http.Transport) *http.Client {
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: t, CheckRedirect: stay}
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

func serverConfig(b *Bundle, asked tls.ClientAuthType) *tls.Config {
	if b == nil {
		return nil
	}
	return b.ServerConfig(asked)
}
