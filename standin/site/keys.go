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

// clientName is the name in the certificate of the site's own client.
const clientName = sardine.NodeID("client")

// maxIdle is how many idle connections the site's client keeps to each node.
const maxIdle = 64

// Keys is a site's authority and the folder that holds its nodes' files.
type Keys struct {
	folder    string
	authority *keys.Authority
	token     keys.Secret
}

// makeKeys makes the files of all nodes.
func (s *Site) makeKeys() error {
	if s.settings.keys == "" {
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
	s.keys = &Keys{folder: s.settings.keys, authority: a, token: token}
	return s.keys.write("ca.crt", a.Pair().Certificate())
}

// Keys returns the site's keys, nil for plain HTTP.
func (s *Site) Keys() *Keys {
	return s.keys
}

// openClient makes the client of the control nodes, as a process of the site.
func (s *Site) openClient() error {
	set, err := s.keys.set(clientName)
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

// Token returns the first operator's token, empty without keys.
func (k *Keys) Token() string {
	if k == nil {
		return ""
	}
	return k.token.Reveal()
}

// Authority returns the site's authority.
func (k *Keys) Authority() *keys.Authority {
	return k.authority
}

// Path returns the path of a file in the folder.
func (k *Keys) Path(name string) string {
	return filepath.Join(k.folder, name)
}

// Issue makes a certificate for a node that counts from now on. A running node
// reads it again by itself.
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

// set opens a node's files, which are made for its first start.
func (k *Keys) set(node sardine.NodeID) (*keys.Set, error) {
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
