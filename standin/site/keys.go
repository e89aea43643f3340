package site

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/conf"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/keys"
)

// clientName is the node name in the certificate of the site's own client.
const clientName = sardine.NodeID("client")

// maxIdle is the number of idle connections that the site's client keeps to
// each node.
const maxIdle = 64

// Keys is a site's certificate authority, its first operator token and the
// folder of its nodes' certificates and keys.
type Keys struct {
	folder    string
	authority *keys.Authority
	token     keys.Secret
}

// makeKeys creates the certificate authority and the first operator token. The
// nodes' certificates are issued when the nodes start.
func (s *Site) makeKeys() error {
	if s.settings.keysFolder == "" {
		return nil
	}
	a, err := keys.NewAuthority("accra", time.Now())
	if err != nil {
		return err
	}
	token, err := keys.MakeToken()
	if err != nil {
		return err
	}
	s.keys = &Keys{folder: s.settings.keysFolder, authority: a, token: token}
	return s.keys.write("ca.crt", a.Pair().Certificate())
}

// Keys returns the site's keys, or nil for plain HTTP.
func (s *Site) Keys() *Keys {
	return s.keys
}

// openClient creates the client of the control nodes. With keys it
// authenticates by a node certificate.
func (s *Site) openClient() error {
	set, err := s.keys.openSet(clientName)
	if err != nil {
		return err
	}
	client, scheme := set.Client(maxIdle)
	if t, plain := client.Transport.(*http.Transport); plain {
		t.DialContext = s.network.Dial(string(clientName))
	}
	s.client = ctlapi.New(s.addresses, ctlapi.WithHTTP(client, scheme))
	return nil
}

// Token returns the first operator token, or an empty string without keys.
func (k *Keys) Token() string {
	if k == nil {
		return ""
	}
	return k.token.Reveal()
}

// Authority returns the site's certificate authority.
func (k *Keys) Authority() *keys.Authority {
	return k.authority
}

// Path returns the path of a file in the folder of the keys.
func (k *Keys) Path(name string) string {
	return filepath.Join(k.folder, name)
}

// Issue writes a new certificate and key for a node, valid from now. A running
// node reloads them by itself.
func (k *Keys) Issue(node sardine.NodeID, now time.Time) error {
	pair, err := k.authority.Issue(node, []net.IP{net.IPv4(127, 0, 0, 1)}, now)
	if err != nil {
		return err
	}
	if err := k.write(string(node)+".key", pair.Key()); err != nil {
		return err
	}
	return k.write(string(node)+".crt", pair.Certificate())
}

func (k *Keys) write(name string, text []byte) error {
	return codes.Wrap(codes.Internal, os.WriteFile(k.Path(name), text, 0o600), "keys of the site")
}

func (k *Keys) hash() []byte {
	if k == nil {
		return nil
	}
	return k.token.Hash()
}

// openSet opens a node's certificate and key. It issues them at the node's
// first start.
func (k *Keys) openSet(node sardine.NodeID) (*keys.Set, error) {
	if k == nil {
		return keys.Plain(), nil
	}
	certificate := k.Path(string(node) + ".crt")
	if _, err := os.Stat(certificate); err != nil {
		if err := k.Issue(node, time.Now()); err != nil {
			return nil, err
		}
	}
	return keys.Open(conf.NewTLS(certificate, k.Path(string(node)+".key"), k.Path("ca.crt"), "", ""))
}
