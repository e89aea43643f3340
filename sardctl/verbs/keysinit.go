package verbs

import (
	"encoding/hex"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/keys"
)

// Modes of the files and folders that commands write.
const (
	privateMode   = 0o600
	publicMode    = 0o644
	privateFolder = 0o700
)

func keysInitVerb() Verb {
	return Verb{
		Use: "init FOLDER", Short: "Make a site's CA, node certificates and the first operator token", Args: cobra.ExactArgs(1),
		Long: `Makes ca.crt and ca.key, NODE.crt and NODE.key for each --node, operator.token and
operator.hash. Copy ca.crt and a node's two files to its VM and name them in the
[tls] table of its settings file; keep ca.key and operator.token off the VMs. In a
folder that already holds an authority, it is used again and the certificates are
renewed.`,
		Examples: []string{"sardctl keys init keys --site accra --node osu-entry-1=10.1.1.11 --node osu-control=10.1.1.5"},
		Flags: func(f *pflag.FlagSet) {
			f.String("site", "", "name of the site")
			f.StringArray("node", nil, "a node and its IP numbers, NAME=IP,...; may be repeated")
		},
		Run: runKeysInit,
	}
}

func runKeysInit(c *Call) error {
	nodes, err := c.nodeFlags()
	if err != nil {
		return err
	}
	folder := c.args[0]
	if err := os.MkdirAll(folder, privateFolder); err != nil {
		return usageError(err, "folder")
	}
	a, err := c.openAuthority(folder)
	if err != nil {
		return err
	}
	for _, n := range nodes {
		pair, err := a.Issue(n.name, n.addresses, time.Now())
		if err != nil {
			return err
		}
		if err := writePair(folder, string(n.name), pair); err != nil {
			return err
		}
		c.printf("%s\n", filepath.Join(folder, string(n.name)+".crt"))
	}
	return c.firstToken(folder)
}

type nodeFlag struct {
	name      sardine.NodeID
	addresses []net.IP
}

func (c *Call) nodeFlags() ([]nodeFlag, error) {
	listed, _ := c.flags.GetStringArray("node") // the command defined it
	if c.stringFlag("site") == "" || len(listed) == 0 {
		return nil, codes.New(codes.UsageError, "expected --site and at least one --node NAME=IP")
	}
	var nodes []nodeFlag
	for _, text := range listed {
		name, addresses, _ := strings.Cut(text, "=")
		n := nodeFlag{name: sardine.NodeID(name)}
		for address := range strings.SplitSeq(addresses, ",") {
			ip := net.ParseIP(address)
			if ip == nil || name == "" || strings.ContainsAny(name, "/\\") {
				return nil, codes.New(codes.UsageError, "--node %q: expected NAME=IP,...", text)
			}
			n.addresses = append(n.addresses, ip)
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// openAuthority reads the folder's authority, or makes one.
func (c *Call) openAuthority(folder string) (*keys.Authority, error) {
	certificate, err := os.ReadFile(filepath.Join(folder, "ca.crt"))
	if err == nil {
		key, err := os.ReadFile(filepath.Join(folder, "ca.key"))
		if err != nil {
			return nil, usageError(err, "the authority's key")
		}
		return keys.OpenAuthority(certificate, key)
	}
	a, err := keys.NewAuthority(c.stringFlag("site"), time.Now())
	if err != nil {
		return nil, err
	}
	c.printf("%s\n", filepath.Join(folder, "ca.crt"))
	return a, writePair(folder, "ca", a.Pair())
}

func writePair(folder, name string, p keys.Pair) error {
	if err := os.WriteFile(filepath.Join(folder, name+".crt"), p.Certificate(), publicMode); err != nil {
		return usageError(err, "certificate")
	}
	return usageError(os.WriteFile(filepath.Join(folder, name+".key"), p.Key(), privateMode), "key")
}

// firstToken makes the operator's token unless there is one.
func (c *Call) firstToken(folder string) error {
	path := filepath.Join(folder, "operator.token")
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	secret, err := keys.MakeToken()
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(secret.Reveal()+"\n"), privateMode); err != nil {
		return usageError(err, "token")
	}
	hash := filepath.Join(folder, "operator.hash")
	c.printf("%s\n%s\n", path, hash)
	return usageError(os.WriteFile(hash, []byte(hex.EncodeToString(secret.Hash())+"\n"), publicMode), "hash")
}
