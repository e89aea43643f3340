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

	mu      sync.Mutex
	pair    []tls.Certificate // none or one
	roots   *x509.CertPool
	loaded  []byte                     // the files' content
	trusted map[*x509.Certificate]bool // answers of Trusts since the last reload
}

// maxTrusted bounds the remembered answers of Trusts.
const maxTrusted = 1024

// OpenBundle reads the files. The authority's file may hold several
// certificates, so that an old and a new one overlap; without one, its path is
// empty and the bundle is only good for serving. Without a certificate and its
// key, the bundle is only good for calling servers that ask for none. Errors
// carry codes.BadSettings.
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
	b.trusted = make(map[*x509.Certificate]bool)
	return true, nil
}

// Expires returns when the node's certificate runs out, zero without one.
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

// ServerConfig returns settings for a server that asks callers for a certificate
// as asked says.
func (b *Bundle) ServerConfig(asked tls.ClientAuthType) *tls.Config {
	fresh := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := b.config()
		c.NextProtos = []string{"h2", "http/1.1"}
		c.ClientAuth = asked
		return c, nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: fresh}
}

// Trusts reports whether a certificate that a caller has shown counts now. A
// handshake only tells that it did when the connection began; a connection may
// outlive the certificate, or the authority that signed it.
func (b *Bundle) Trusts(leaf *x509.Certificate, now time.Time) bool {
	if now.After(leaf.NotAfter) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	good, known := b.trusted[leaf]
	if known {
		return good
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:       b.roots,
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if len(b.trusted) >= maxTrusted { // connections come and go
		clear(b.trusted)
	}
	b.trusted[leaf] = err == nil
	return err == nil
}

// ClientTransport returns a transport that shows the node's certificate and
// trusts the authorities, both as last read. A failed handshake is an error of
// dialling, since nothing was sent by then.
func (b *Bundle) ClientTransport() *http.Transport {
	return b.transport("http/1.1")
}

// LinkTransport is ClientTransport over HTTP/2, whose compressed headers suit
// small messages.
func (b *Bundle) LinkTransport() *http.Transport {
	t := b.transport("h2")
	t.ForceAttemptHTTP2 = true
	t.DisableCompression = true
	return t
}

func (b *Bundle) transport(protocol string) *http.Transport {
	return &http.Transport{
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
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
		},
	}
}

func (b *Bundle) config() *tls.Config {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: b.pair,
		RootCAs:      b.roots,
		ClientCAs:    b.roots,
		// A resumed session would skip the check of the caller's certificate.
		SessionTicketsDisabled: true,
	}
}
