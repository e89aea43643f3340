package keys

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"sardineswitch.dev/sardine/codes"
)

// Bundle is a node's certificate, key and trusted authorities, read from files.
// New connections use what the last good Reload read; open ones stay. It is safe
// for concurrent use.
type Bundle struct {
	certificate string
	key         string
	authority   string

	mu     sync.Mutex
	pair   tls.Certificate
	roots  *x509.CertPool
	loaded []byte // the files' content
}

// OpenBundle reads the files. The authority's file may hold several
// certificates, so that an old and a new one overlap; without one, its path is
// empty and the bundle is only good for serving. Errors carry codes.BadSettings.
func OpenBundle(certificate, key, authority string) (*Bundle, error) {
	b := &Bundle{certificate: certificate, key: key, authority: authority}
	if _, err := b.Reload(); err != nil {
		return nil, err
	}
	return b, nil
}

// Reload reads the files again and reports whether they had changed. With an
// error, what was read before stays in use: a half-written file must not take
// the node off the network.
func (b *Bundle) Reload() (bool, error) {
	var content [3][]byte
	for i, path := range []string{b.certificate, b.key, b.authority} {
		if path == "" {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return false, codes.Wrap(codes.BadSettings, err, "keys")
		}
		content[i] = text
	}
	joined := bytes.Join(content[:], []byte{0})
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes.Equal(joined, b.loaded) {
		return false, nil
	}
	pair, err := tls.X509KeyPair(content[0], content[1])
	if err != nil {
		return false, codes.Wrap(codes.BadSettings, err, "certificate "+b.certificate)
	}
	roots := x509.NewCertPool()
	if b.authority != "" && !roots.AppendCertsFromPEM(content[2]) {
		return false, codes.New(codes.BadSettings, "authority %s holds no certificate", b.authority)
	}
	b.pair, b.roots, b.loaded = pair, roots, joined
	return true, nil
}

// Expires returns when the node's certificate runs out.
func (b *Bundle) Expires() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	leaf, err := x509.ParseCertificate(b.pair.Certificate[0])
	if err != nil {
		return time.Time{}
	}
	return leaf.NotAfter
}

// ServerConfig returns settings for a server. With mutual set, callers need a
// certificate of a trusted authority.
func (b *Bundle) ServerConfig(mutual bool) *tls.Config {
	fresh := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := b.config()
		if mutual {
			c.ClientAuth = tls.RequireAndVerifyClientCert
		}
		return c, nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: fresh}
}

// ClientTransport returns a transport that shows the node's certificate and
// trusts the authorities, both as last read.
func (b *Bundle) ClientTransport() *http.Transport {
	return &http.Transport{
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			host, _, err := net.SplitHostPort(address)
			if err != nil {
				return nil, err
			}
			c := b.config()
			c.ServerName = host
			return (&tls.Dialer{Config: c}).DialContext(ctx, network, address)
		},
	}
}

func (b *Bundle) config() *tls.Config {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{b.pair},
		RootCAs:      b.roots,
		ClientCAs:    b.roots,
	}
}
