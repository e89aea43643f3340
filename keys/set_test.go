package keys

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"

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
controls = [{ node = "c", address = "127.0.0.1:1" }]
[tls]
`+table))
	require.NoError(t, err)
	return e.TLS()
}

// TestSetServesEachSide calls the internal, the operators' and the callers'
// server of one node, with and without a certificate.
func TestSetServesEachSide(t *testing.T) {
	dir := t.TempDir()
	folder(t, dir, authority(t))
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
		server := httptest.NewUnstartedServer(http.NotFoundHandler())
		server.TLS = side.config
		server.StartTLS()
		_, err := client.Get(server.URL)
		require.NoError(t, err, name)
		_, err = stranger.Get(server.URL)
		require.Equal(t, side.mutual, err != nil, "%s: %v", name, err)
		client.CloseIdleConnections()
		stranger.CloseIdleConnections()
		server.Close()
	}
	changed, err := s.Reload()
	require.NoError(t, err)
	require.False(t, changed)
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
