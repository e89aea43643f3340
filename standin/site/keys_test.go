package site

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/annc"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/conf"
	"sardineswitch.dev/sardine/entry"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/status"
	"sardineswitch.dev/sardine/wire"
)

// logBuffer collects the log lines of all nodes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (p *logBuffer) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

func (p *logBuffer) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

// tlsSite is a site with TLS, with everything that its nodes have logged and
// answered.
type tlsSite struct {
	*Site
	output *logBuffer
}

func startTLSSite(t *testing.T) *tlsSite {
	output := &logBuffer{}
	logger := slog.New(slog.NewJSONHandler(output, &slog.HandlerOptions{Level: slog.LevelDebug}))
	return &tlsSite{Site: startWithoutEngines(t, WithTLS(t.TempDir()), WithNodes(3, 2), WithLogger(logger)), output: output}
}

// client returns a client that trusts the site's authority and presents the
// given certificate, if any.
func (k *tlsSite) client(t *testing.T, own ...keys.Pair) *http.Client {
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(k.Keys().Authority().Pair().Certificate()))
	c := &tls.Config{RootCAs: roots}
	for _, p := range own {
		pair, err := tls.X509KeyPair(p.Certificate(), p.Key())
		require.NoError(t, err)
		// Present it whichever authorities the server accepts.
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	}
	transport := &http.Transport{TLSClientConfig: c}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// request sends a request and returns the status of the answer, or 0 if the
// request failed. It records the answer's text.
func (k *tlsSite) request(t *testing.T, c *http.Client, method, address, path, token, body string) int {
	r, err := http.NewRequest(method, address+path, strings.NewReader(body))
	require.NoError(t, err)
	if strings.HasPrefix(path, "/twirp/") {
		r.Header.Set("Content-Type", "application/protobuf")
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	answer, err := c.Do(r)
	if err != nil {
		_, _ = k.output.Write([]byte(err.Error()))
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	_, _ = k.output.Write(text)
	return answer.StatusCode
}

func issue(t *testing.T, a *keys.Authority, now time.Time) keys.Pair {
	p, err := a.Issue("stranger", []net.IP{net.IPv4(127, 0, 0, 1)}, now)
	require.NoError(t, err)
	return p
}

// TestCertificatesAndTokens checks certificates, tokens and rotation on one
// site. The subtests run in this order, because the last one replaces the
// site's authority.
func TestCertificatesAndTokens(t *testing.T) {
	k := startTLSSite(t)
	t.Run("strangers", k.testUntrustedClients)
	t.Run("tokens", k.testTokens)
	t.Run("rotation", k.testRotation)
}

// testUntrustedClients calls the internal services with every kind of invalid
// certificate, which must be rejected, and with a valid one.
func (k *tlsSite) testUntrustedClients(t *testing.T) {
	foreign, err := keys.NewAuthority("elsewhere", time.Now())
	require.NoError(t, err)
	control, entry := k.Controls()[0].Node(), k.Entries()[0].Node()
	services := []struct{ address, path string }{
		{control.InternalAddress(), wire.PeerPathPrefix + "Deliver"},
		{control.InternalAddress(), wire.ControlPathPrefix + "Submit"},
		{control.InternalAddress(), wire.ControlPathPrefix + "Follow"},
		{entry.InternalAddress(), wire.RelayPathPrefix + "Follow"},
	}
	untrusted := map[string]*http.Client{
		"no certificate":       k.client(t),
		"another authority":    k.client(t, issue(t, foreign, time.Now())),
		"expired":              k.client(t, issue(t, k.Keys().Authority(), time.Now().Add(-2*keys.NodeValidity))),
		"not valid yet":        k.client(t, issue(t, k.Keys().Authority(), time.Now().Add(keys.NodeValidity))),
		"without TLS at all":   {},
		"a self-made CA's own": k.client(t, foreign.Pair()),
	}
	trusted := k.client(t, issue(t, k.Keys().Authority(), time.Now()))
	for _, s := range services {
		for name, c := range untrusted {
			scheme := "https://"
			if name == "without TLS at all" {
				scheme = "http://"
			}
			got := k.request(t, c, http.MethodPost, scheme+s.address, s.path, k.Keys().Token(), "")
			require.Contains(t, []int{0, http.StatusBadRequest, codes.KeyRefused.Status()}, got, "%s: %s", s.path, name)
			require.True(t, got != http.StatusBadRequest || scheme == "http://", "%s: %s", s.path, name)
		}
		got := k.request(t, trusted, http.MethodPost, "https://"+s.address, s.path, "", "")
		require.Contains(t, []int{http.StatusOK, http.StatusBadRequest}, got, s.path)
	}
	for _, method := range []string{"Submit", "Follow"} {
		got := k.request(t, trusted, http.MethodPost, "https://"+control.OperatorAddress(), wire.ControlPathPrefix+method, k.Keys().Token(), "")
		require.Equal(t, http.StatusNotFound, got, "%s at the operator server", method)
	}
}

// addToken registers a new token at the leader and returns it.
func (k *tlsSite) addToken(t *testing.T, scope string, expires state.WallTime) string {
	secret, err := keys.MakeToken()
	require.NoError(t, err)
	text, err := oper.EncodeToken(state.Token{Hash: secret.Hash(), Scope: scope, Name: scope, Expires: expires})
	require.NoError(t, err)
	leader := "https://" + k.Controls()[k.LeaderIndex()].Node().OperatorAddress()
	require.Equal(t, http.StatusOK, k.request(t, k.client(t), http.MethodPost, leader, oper.TokensPath, k.Keys().Token(), string(text)))
	return secret.Reveal()
}

// testTokens calls the operator paths with every kind of token that must be
// rejected, and then checks that no token or key was logged or sent in an
// answer.
func (k *tlsSite) testTokens(t *testing.T) {
	c := k.client(t)
	leader := "https://" + k.Controls()[k.LeaderIndex()].Node().OperatorAddress()
	unregistered, err := keys.MakeToken()
	require.NoError(t, err)
	rejected := map[string]string{
		"none":    "",
		"wrong":   unregistered.Reveal(),
		"expired": k.addToken(t, "operator", 1),
		"caller":  k.addToken(t, "caller:stage-left", 0),
		"target":  k.addToken(t, "target", 0),
		"revoked": k.addToken(t, "operator", 0),
	}
	hash := keys.NewSecret(rejected["revoked"]).Hash()
	revoke := oper.TokensPath + "?hash=" + url.QueryEscape(hexOf(hash))
	require.Equal(t, http.StatusOK, k.request(t, c, http.MethodDelete, leader, revoke, k.Keys().Token(), ""))
	rejected["team, for what is an operator's"] = k.addToken(t, "team:adinkra", 0)
	second := k.addToken(t, "operator", 0)
	require.Equal(t, codes.ScopeRefused, k.readSettingsAs(t, k.addToken(t, "team:kente", 0)), "another team's token")
	require.Equal(t, codes.OK, k.readSettingsAs(t, rejected["team, for what is an operator's"]))
	entry := "https://" + k.Entries()[0].Node().InternalAddress()
	_, err = Await(testLimit, "the entry node has received the newest token", func() bool {
		return k.request(t, c, http.MethodGet, entry, status.Path, second, "") == http.StatusOK
	})
	require.NoError(t, err)
	paths := []struct{ method, address, path string }{
		{http.MethodPost, entry, "/sardine/v1/drain"},
		{http.MethodGet, entry, status.DumpPath},
		{http.MethodGet, leader, status.DumpPath},
		{http.MethodPost, leader, oper.LeavePath + "?vm=app-1"},
		{http.MethodGet, leader, oper.TokensPath},
	}
	for _, p := range paths {
		for name, token := range rejected {
			got := k.request(t, c, p.method, p.address, p.path, token, "")
			require.Contains(t, []int{codes.KeyRefused.Status(), codes.ScopeRefused.Status(), codes.KeysTried.Status()}, got, "%s: %s", p.path, name)
		}
		if p.method == http.MethodGet { // also from an address that has sent wrong tokens
			require.Equal(t, http.StatusOK, k.request(t, c, p.method, p.address, p.path, second, ""), p.path)
		}
	}
	require.Equal(t, codes.KeysTried.Status(), k.request(t, c, http.MethodGet, leader, status.DumpPath, unregistered.Reveal(), ""), "the address is throttled")
	k.checkNoSecrets(t, append(values(rejected), second, k.Keys().Token()))
}

func hexOf(b []byte) string {
	const digits = "0123456789abcdef"
	var text strings.Builder
	for _, c := range b {
		text.WriteByte(digits[c>>4])
		text.WriteByte(digits[c&15])
	}
	return text.String()
}

func values(m map[string]string) []string {
	var all []string
	for _, v := range m {
		all = append(all, v)
	}
	return all
}

// readSettingsAs reads the team's settings with a token and returns the result
// code.
func (k *tlsSite) readSettingsAs(t *testing.T, token string) codes.Code {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	_, err := k.Client().Settings(ctx, &wire.SettingsRequest{Operation: "get", Path: "/teams/" + string(Team), Token: token})
	return codes.Of(err)
}

// checkNoSecrets checks that no token and no private key occurs in what the
// nodes have logged, answered or return as a dump.
func (k *tlsSite) checkNoSecrets(t *testing.T, secrets []string) {
	for _, name := range []string{"ca.crt", "client.key", "entry-1.key", "control-1.key"} {
		text, err := os.ReadFile(k.Keys().Path(name))
		require.NoError(t, err)
		if strings.HasSuffix(name, ".key") {
			secrets = append(secrets, strings.Split(string(text), "\n")[1])
		}
	}
	for _, c := range k.Controls() {
		require.NoError(t, json.NewEncoder(k.output).Encode(c.Node().Dump()))
	}
	for _, e := range k.Entries() {
		require.NoError(t, json.NewEncoder(k.output).Encode(e.Node().Dump()))
	}
	all := k.output.String()
	require.Contains(t, all, "key_refused")
	require.Contains(t, all, k.Entries()[0].Node().InternalAddress(), "the search finds text that is there")
	for _, s := range secrets {
		if s != "" {
			require.False(t, strings.Contains(all, s), "a secret was printed")
		}
	}
}

// serial returns the serial number of the certificate that a server presents
// on a new connection.
func serial(t *testing.T, address string) string {
	conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

// testRotation renews a node's certificate while it runs, and then replaces the
// authority: a client with a certificate of the old one must be rejected on its
// open connection too.
func (k *tlsSite) testRotation(t *testing.T) {
	node := k.Entries()[0].Node()
	before := serial(t, node.InternalAddress())
	require.NoError(t, k.Keys().Issue(node.ID(), time.Now()))
	_, err := Await(testLimit, "the new certificate", func() bool { return serial(t, node.InternalAddress()) != before })
	require.NoError(t, err)
	require.Contains(t, k.output.String(), "keys_reloaded")
	require.True(t, node.Dump().Ready)

	trusted := k.client(t, issue(t, k.Keys().Authority(), time.Now()))
	relay := wire.RelayPathPrefix + "Follow"
	follow := func() int {
		return k.request(t, trusted, http.MethodPost, "https://"+node.InternalAddress(), relay, "", "")
	}
	require.Equal(t, http.StatusOK, follow())
	other, err := keys.NewAuthority("accra", time.Now())
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(k.Keys().Path("ca.crt"), other.Pair().Certificate(), 0o600))
	_, err = Await(testLimit, "the open connection is refused", func() bool { return follow() == codes.KeyRefused.Status() })
	require.NoError(t, err)
}

// TestCallersAndTargetsOverTLS starts one entry node with a TLS certificate for
// callers and targets, which requires a token from its targets.
func TestCallersAndTargetsOverTLS(t *testing.T) {
	k := &tlsSite{Site: &Site{settings: settings{keysFolder: t.TempDir()}}, output: &logBuffer{}}
	require.NoError(t, k.makeKeys())
	require.NoError(t, k.Keys().Issue("public", time.Now()))
	set, err := keys.Open(conf.NewTLS("", "", "", k.Keys().Path("public.crt"), k.Keys().Path("public.key")))
	require.NoError(t, err)
	node, err := entry.New(
		entry.WithID("osu-entry-1", 1, "osu"), entry.WithListen(loopback, loopback), entry.WithTargetListen(loopback),
		entry.WithControls("127.0.0.1:1"), entry.WithRandom(rand.New(rand.NewPCG(1, 1))),
		entry.WithKeys(set), entry.WithOperatorHash(k.Keys().hash()), entry.WithTargetTokens(true),
	)
	require.NoError(t, err)
	node.Start()
	defer func() { require.NoError(t, node.Stop()) }()
	public, targets := node.PublicAddress(), node.TargetAddress()
	c := k.client(t)
	for _, address := range []string{public, targets} {
		require.Equal(t, http.StatusOK, k.request(t, c, http.MethodGet, "https://"+address, "/healthz", "", ""))
		require.Equal(t, http.StatusBadRequest, k.request(t, c, http.MethodGet, "http://"+address, "/healthz", "", ""), "plain HTTP")
		require.Equal(t, codes.KeyRefused.Status(), k.request(t, c, http.MethodPost, "https://"+address, annc.Path, "", "{}"))
		require.Equal(t, codes.BadRequest.Status(), k.request(t, c, http.MethodPost, "https://"+address, annc.Path, k.Keys().Token(), "{}"), "the token is valid, the body is not")
		_, err := (&http.Client{}).Get("https://" + address + "/healthz")
		require.ErrorContains(t, err, "unknown authority")
	}
}
