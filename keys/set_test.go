package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/conf"
)

func tlsSettings(t *testing.T, table string) conf.TLS {
	e, err := conf.ParseEntry("e", []byte(`node = "n"
site = "s"
data_centre = "d"
listen = "127.0.0.1:0"
listen_targets = "127.0.0.1:0"
listen_internal = "127.0.0.1:0"
operator_hash = "`+strings.Repeat("0a", 32)+`"
controls = [{ node = "c", address = "127.0.0.1:1" }]
[tls]
`+table))
	require.NoError(t, err)
	return e.TLS()
}

// TestSetServers calls the internal, the operators' and the callers' server of one
// node with and without a client certificate; only the internal one requires it.
func TestSetServers(t *testing.T) {
	dir := t.TempDir()
	writeBundle(t, dir, authority(t))
	path := func(name string) string { return filepath.Join(dir, name) }
	s, err := Open(tlsSettings(t, fmt.Sprintf("certificate = %q\nkey = %q\nauthority = %q\ncallers_certificate = %q\ncallers_key = %q",
		path("crt"), path("key"), path("ca"), path("crt"), path("key"))))
	require.NoError(t, err)
	client, scheme := s.Client(1)
	require.Equal(t, "https", scheme)
	bare := s.node.config()
	bare.Certificates = nil
	stranger := &http.Client{Transport: &http.Transport{TLSClientConfig: bare}}
	for name, side := range map[string]struct {
		config *tls.Config
		mutual bool
	}{
		"internal": {s.InternalServer(), true}, "operators": {s.OperatorServer(), false}, "callers": {s.CallerServer(), false},
	} {
		var handler http.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		if side.mutual {
			handler = s.SiteOnly(handler, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) })
		}
		server := httptest.NewUnstartedServer(handler)
		server.TLS = side.config
		server.StartTLS()
		require.Equal(t, http.StatusOK, status(t, client, server.URL), name)
		require.Equal(t, side.mutual, status(t, stranger, server.URL) == http.StatusForbidden, name)
		client.CloseIdleConnections()
		stranger.CloseIdleConnections()
		server.Close()
	}
	changed, err := s.Reload()
	require.NoError(t, err)
	require.False(t, changed)
}

func status(t *testing.T, c *http.Client, url string) int {
	answer, err := c.Get(url)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	return answer.StatusCode
}

// TestTrustIsCheckedOnOpenConnections guards against a client certificate that is
// trusted after it expired or its authority was removed, because it was valid when
// the connection began.
func TestTrustIsCheckedOnOpenConnections(t *testing.T) {
	old, fresh := authority(t), authority(t)
	dir := t.TempDir()
	b := writeBundle(t, dir, old)
	leaf, err := x509.ParseCertificate(b.pair[0].Certificate[0])
	require.NoError(t, err)
	require.True(t, b.Trusts(leaf, time.Now()))
	require.False(t, b.Trusts(leaf, time.Now().Add(2*NodeValidity)), "expired")
	foreign := writeBundle(t, t.TempDir(), fresh)
	stranger, err := x509.ParseCertificate(foreign.pair[0].Certificate[0])
	require.NoError(t, err)
	require.False(t, b.Trusts(stranger, time.Now()), "another authority")
	writeBundle(t, dir, fresh)
	_, err = b.Reload()
	require.NoError(t, err)
	require.False(t, b.Trusts(leaf, time.Now()), "its authority was removed")
}

func TestSetWithoutCertificatesIsPlain(t *testing.T) {
	s, err := Open(tlsSettings(t, ""))
	require.NoError(t, err)
	require.Nil(t, s.InternalServer())
	require.Nil(t, s.CallerServer())
	_, scheme := s.Client(1)
	require.Equal(t, "http", scheme)
	_, err = Open(tlsSettings(t, `certificate = "/none"
key = "/none"
authority = "/none"`))
	require.Error(t, err)
}
