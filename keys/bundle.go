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
// New connections use what the last successful Reload read; open connections are
// kept. It is safe for concurrent use.
type Bundle struct {
	certificate string
	key         string
	authority   string

	mu         sync.Mutex
	pair       []tls.Certificate // none or one
	roots      *x509.CertPool
	loaded     []byte                     // the files' content
	trustCache map[*x509.Certificate]bool // results of Trusts since the last reload
}

// maxCachedTrust is the maximum number of cached results of Trusts.
const maxCachedTrust = 1024

// OpenBundle reads the files. The authority's file may hold several certificates,
// so that an old and a new authority are valid during a rotation. With an empty
// path of the authority the bundle can only be used by servers. With empty paths
// of the certificate and key it can only be used by clients of servers that
// require no certificate. Errors carry codes.BadSettings.
func OpenBundle(certificate, key, authority string) (*Bundle, error) {
	b := &Bundle{certificate: certificate, key: key, authority: authority}
	if _, err := b.Reload(); err != nil {
		return nil, err
	}
	return b, nil
}

// Reload reads the files again and reports whether they had changed. On an error
// the previous contents stay in use: a half-written file must not disconnect the
// node.
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
	var pair []tls.Certificate
	if b.certificate != "" {
		own, err := tls.X509KeyPair(content[0], content[1])
		if err != nil {
			return false, codes.Wrap(codes.BadSettings, err, "certificate "+b.certificate)
		}
		pair = []tls.Certificate{own}
	}
	roots := x509.NewCertPool()
	if b.authority != "" && !roots.AppendCertsFromPEM(content[2]) {
		return false, codes.New(codes.BadSettings, "authority %s holds no certificate", b.authority)
	}
	b.pair, b.roots, b.loaded = pair, roots, joined
	b.trustCache = make(map[*x509.Certificate]bool)
	return true, nil
}

// Expires returns when the node's certificate expires, the zero time if there is
// none.
func (b *Bundle) Expires() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pair) == 0 {
		return time.Time{}
	}
	leaf, err := x509.ParseCertificate(b.pair[0].Certificate[0])
	if err != nil {
		return time.Time{}
	}
	return leaf.NotAfter
}

// ServerConfig returns a TLS configuration for a server. clientAuth sets whether it
// requests a certificate from clients, and whether they must send one.
func (b *Bundle) ServerConfig(clientAuth tls.ClientAuthType) *tls.Config {
	fresh := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := b.config()
		c.NextProtos = []string{"h2", "http/1.1"}
		c.ClientAuth = clientAuth
		return c, nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: fresh}
}

// Trusts reports whether a client certificate is valid now. The handshake only
// verified it when the connection began; a connection may outlive the certificate
// or the trust in the authority that signed it.
func (b *Bundle) Trusts(leaf *x509.Certificate, now time.Time) bool {
	if now.After(leaf.NotAfter) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	good, known := b.trustCache[leaf]
	if known {
		return good
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:       b.roots,
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if len(b.trustCache) >= maxCachedTrust { // entries of closed connections accumulate
		clear(b.trustCache)
	}
	b.trustCache[leaf] = err == nil
	return err == nil
}

// ClientTransport returns a transport that sends the node's certificate and trusts
// the authorities, both as last read. A failed handshake is reported as a dial
// error, since no request was sent by then.
func (b *Bundle) ClientTransport() *http.Transport {
	return b.transport("http/1.1")
}

// LinkTransport is ClientTransport over HTTP/2, whose header compression saves bytes
// on small messages.
func (b *Bundle) LinkTransport() *http.Transport {
	t := b.transport("h2")
	t.ForceAttemptHTTP2 = true
	t.DisableCompression = true
	return t
}

func (b *Bundle) transport(protocol string) *http.Transport {
	return &http.Transport{
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return b.dial(ctx, network, address, protocol)
		},
	}
}

// dial connects with the node's certificate, for the given protocol.
func (b *Bundle) dial(ctx context.Context, network, address, protocol string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	c := b.config()
	c.ServerName = host
	c.NextProtos = []string{protocol}
	conn, err := (&tls.Dialer{NetDialer: dialer(), Config: c}).DialContext(ctx, network, address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return conn, nil
}

func (b *Bundle) config() *tls.Config {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: b.pair,
		RootCAs:      b.roots,
		ClientCAs:    b.roots,
		// A resumed session would skip the verification of the client's certificate.
		SessionTicketsDisabled: true,
	}
}
