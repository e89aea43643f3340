// Package conf reads the settings files of entry and control nodes. They define
// every address, port, data centre, folder and timing of a process.
package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"os"
	"path/filepath"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/tomlr"
)

// Peer is a node and the address of its internal server.
type Peer struct {
	node    sardine.NodeID
	address string
}

// Node returns the peer's name.
func (p Peer) Node() sardine.NodeID {
	return p.node
}

// Address returns host:port of the peer's internal server.
func (p Peer) Address() string {
	return p.address
}

// Log is the format and level of a process's log.
type Log struct {
	format string
	level  string
}

// Format returns "text" or "json".
func (l Log) Format() string {
	return l.format
}

// Level returns "debug", "info", "warn" or "error".
func (l Log) Level() string {
	return l.level
}

// TLS holds the paths of certificates and keys. Empty paths mean no TLS.
type TLS struct {
	certificate        string
	key                string
	authority          string
	callersCertificate string
	callersKey         string
}

// NewTLS returns a TLS with the files of a node and of the certificate for
// callers. Paths may be empty.
func NewTLS(certificate, key, authority, callersCertificate, callersKey string) TLS {
	return TLS{
		certificate:        certificate,
		key:                key,
		authority:          authority,
		callersCertificate: callersCertificate,
		callersKey:         callersKey,
	}
}

// Enabled reports whether nodes and operators use TLS.
func (t TLS) Enabled() bool {
	return t.certificate != ""
}

// Certificate returns the path of the node's certificate.
func (t TLS) Certificate() string {
	return t.certificate
}

// Key returns the path of the node's private key.
func (t TLS) Key() string {
	return t.key
}

// Authority returns the path of the site's CA certificate.
func (t TLS) Authority() string {
	return t.authority
}

// CallersCertificate returns the path of the certificate that callers get, empty
// for HTTP without TLS.
func (t TLS) CallersCertificate() string {
	return t.callersCertificate
}

// CallersKey returns the path of the private key of CallersCertificate.
func (t TLS) CallersKey() string {
	return t.callersKey
}

func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, codes.Wrap(codes.BadSettings, err, "settings file")
	}
	return text, nil
}

func baseName(path string) string {
	return filepath.Base(path)
}

func readLog(t *tomlr.Table) Log {
	return Log{
		format: t.Choice("format", "text", "text", "json"),
		level:  t.Choice("level", "info", "debug", "info", "warn", "error"),
	}
}

func readTLS(t *tomlr.Table, callers bool) TLS {
	s := TLS{
		certificate: t.Text("certificate", ""),
		key:         t.Text("key", ""),
		authority:   t.Text("authority", ""),
	}
	if (s.certificate == "") != (s.key == "") {
		t.ReportProblem("key", "certificate and key, or neither")
	}
	if (s.certificate == "") != (s.authority == "") {
		t.ReportProblem("authority", "certificate and authority, or neither")
	}
	if !callers {
		return s
	}
	s.callersCertificate = t.Text("callers_certificate", "")
	s.callersKey = t.Text("callers_key", "")
	if (s.callersCertificate == "") != (s.callersKey == "") {
		t.ReportProblem("callers_key", "callers_certificate and callers_key, or neither")
	}
	return s
}

// readPeers reads nodes with their addresses; names and addresses must differ.
func readPeers(t *tomlr.Table, key string, low, high int) []Peer {
	var peers []Peer
	nodes, addresses := map[sardine.NodeID]bool{}, map[string]bool{}
	tables := t.Tables(key)
	for _, row := range tables {
		p := Peer{node: sardine.NodeID(row.Name("node")), address: row.Address("address", true, false)}
		if p.node != "" && nodes[p.node] {
			row.ReportProblem("node", "a node named once in "+key)
		}
		if p.address != "" && addresses[p.address] {
			row.ReportProblem("address", "an address named once in "+key)
		}
		nodes[p.node], addresses[p.address] = true, true
		peers = append(peers, p)
	}
	if len(tables) < low || len(tables) > high {
		t.ReportProblem(key, "an array of "+rangeText(low, high)+" tables { node, address }")
	}
	return peers
}

// readAdvertised reads the address at which others reach the node. It is
// required if the listening address is unspecified, such as 0.0.0.0. The
// default is the listening address, or empty for port 0, since that port is
// known only at start.
func readAdvertised(t *tomlr.Table, key, listen string) string {
	address := t.Address(key, false, false)
	if address != "" || listen == "" {
		return address
	}
	host, port, _ := net.SplitHostPort(listen)
	if ip := net.ParseIP(host); ip != nil && ip.IsUnspecified() {
		t.ReportProblem(key, "the address others use, since the listening address names no single IP number")
		return ""
	}
	if port == "0" {
		return ""
	}
	return listen
}

// readHash reads a SHA-256 hash in hexadecimal form, empty if the key is absent.
func readHash(t *tomlr.Table, key string) []byte {
	text := t.Text(key, "")
	hash, err := hex.DecodeString(text)
	if text != "" && (err != nil || len(hash) != sha256.Size) {
		t.ReportProblem(key, "64 hexadecimal digits, such as keys/operator.hash holds")
		return nil
	}
	return hash
}

// requireHash rejects certificates without an operator's token: without a token,
// everyone who can connect to the site would have an operator's rights, which
// certificates are not meant to grant.
func requireHash(t *tomlr.Table, s TLS, hash []byte) {
	if s.Enabled() && len(hash) == 0 {
		t.ReportProblem("operator_hash", "the text of keys/operator.hash, since [tls] names certificates")
	}
}

func millis(t *tomlr.Table, key string, fallback, low, high sardine.Millis) sardine.Millis {
	return sardine.Millis(t.Int(key, int64(fallback), int64(low), int64(high)))
}
