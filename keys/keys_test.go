package keys

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
)

// writeBundle writes a node's certificate files to dir and opens them. It trusts the
// authority a, which signs the node's certificate, and roots.
func writeBundle(t *testing.T, dir string, a *Authority, roots ...*Authority) *Bundle {
	pair, err := a.Issue("node", []net.IP{net.ParseIP("127.0.0.1")}, time.Now())
	require.NoError(t, err)
	var trusted []byte
	for _, r := range append(roots, a) {
		trusted = append(trusted, r.Pair().Certificate()...)
	}
	path := func(name string) string { return filepath.Join(dir, name) }
	require.NoError(t, os.WriteFile(path("crt"), pair.Certificate(), 0o600))
	require.NoError(t, os.WriteFile(path("key"), pair.Key(), 0o600))
	require.NoError(t, os.WriteFile(path("ca"), trusted, 0o600))
	b, err := OpenBundle(path("crt"), path("key"), path("ca"))
	require.NoError(t, err)
	return b
}

func authority(t *testing.T) *Authority {
	a, err := NewAuthority("test", time.Now())
	require.NoError(t, err)
	return a
}

// TestMutualTLSAndRotation connects two nodes, rejects a client of another authority
// and one without a certificate, and rotates the authority without a restart.
func TestMutualTLSAndRotation(t *testing.T) {
	old, fresh := authority(t), authority(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	server, client := writeBundle(t, serverDir, old), writeBundle(t, clientDir, old)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.TLS.PeerCertificates[0].Subject.CommonName)
	}))
	s.TLS = server.ServerConfig(tls.RequireAndVerifyClientCert)
	s.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	s.StartTLS()
	defer s.Close()
	get := func(transport *http.Transport) error {
		transport.DisableKeepAlives = true
		answer, err := (&http.Client{Transport: transport}).Get(s.URL)
		if err != nil {
			return err
		}
		defer func() { _ = answer.Body.Close() }()
		_, err = io.ReadAll(answer.Body)
		return err
	}
	require.NoError(t, get(client.ClientTransport()))
	require.Error(t, get(writeBundle(t, t.TempDir(), fresh).ClientTransport()), "another authority")
	bare := client.config()
	bare.Certificates = nil
	require.Error(t, get(&http.Transport{TLSClientConfig: bare}), "no certificate")

	writeBundle(t, serverDir, fresh, old) // the new authority is trusted beside the old one
	changed, err := server.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	require.Error(t, get(client.ClientTransport()), "the client does not trust the new authority yet")
	writeBundle(t, clientDir, old, fresh)
	_, err = client.Reload()
	require.NoError(t, err)
	require.NoError(t, get(client.ClientTransport()), "the old certificate is valid during the overlap")
	writeBundle(t, serverDir, fresh)
	_, err = server.Reload()
	require.NoError(t, err)
	require.Error(t, get(client.ClientTransport()), "the overlap has ended")
}

func TestInvalidFileKeepsPreviousCertificate(t *testing.T) {
	dir := t.TempDir()
	b := writeBundle(t, dir, authority(t))
	expires := b.Expires()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "crt"), []byte("half"), 0o600))
	changed, err := b.Reload()
	require.True(t, codes.Is(err, codes.BadSettings))
	require.False(t, changed)
	require.Equal(t, expires, b.Expires())
}

// TestNoSecretIsPrinted prints secrets in every possible way and searches the output
// for them.
func TestNoSecretIsPrinted(t *testing.T) {
	secret, err := MakeToken()
	require.NoError(t, err)
	holder := struct {
		Token Secret
		List  []Secret
	}{secret, []Secret{secret}}
	var b bytes.Buffer
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q"} {
		fmt.Fprintf(&b, verb, holder)
		fmt.Fprintf(&b, verb, secret)
		fmt.Fprintf(&b, verb, &secret)
	}
	require.NoError(t, json.NewEncoder(&b).Encode(holder))
	for _, h := range []slog.Handler{slog.NewTextHandler(&b, nil), slog.NewJSONHandler(&b, nil)} {
		slog.New(h).Info("token", "token", secret, "holder", holder)
	}
	b.WriteString(codes.New(codes.KeyRefused, "token %v", secret).Error())
	require.Contains(t, b.String(), redacted)
	require.NotContains(t, b.String(), secret.Reveal())
	require.Contains(t, b.String()+secret.Reveal(), secret.Reveal(), "the search itself works")
}

func TestScopesAndTokens(t *testing.T) {
	for _, text := range []string{"operator", "target", "team:adinkra", "caller:stage"} {
		s, err := ParseScope(text)
		require.NoError(t, err)
		require.Equal(t, text, s.String())
		require.True(t, OperatorScope().Covers(s))
	}
	for _, text := range []string{"", "team", "team:", "operator:x", "root"} {
		_, err := ParseScope(text)
		require.Error(t, err, text)
	}
	require.False(t, TeamScope("a").Covers(TeamScope("b")))
	require.False(t, TeamScope("a").Covers(OperatorScope()))
	one, _ := MakeToken()
	two, _ := MakeToken()
	require.True(t, one.Matches(one.Hash()))
	require.False(t, one.Matches(two.Hash()))
}

func TestThrottleBlocksAndStaysBounded(t *testing.T) {
	b := NewThrottle()
	for range maxRejections {
		require.False(t, b.Blocked(0, "a"))
		b.CountRejected(0, "a")
	}
	require.True(t, b.Blocked(1, "a"))
	require.False(t, b.Blocked(1, "b"))
	require.False(t, b.Blocked(rejectionWindow, "a"))
	for i := range 3 * maxSources {
		b.CountRejected(1, fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(b.sources), maxSources)
}
