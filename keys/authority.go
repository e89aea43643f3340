package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Validity of certificates.
const (
	AuthorityValidity = 10 * 365 * 24 * time.Hour
	NodeValidity      = 365 * 24 * time.Hour
	maxClockSkew      = time.Hour // certificates are valid from this long ago, for nodes whose clocks are behind
	serialBits        = 120
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	certificate []byte
	key         []byte
}

// Certificate returns the PEM-encoded certificate.
func (p Pair) Certificate() []byte {
	return p.certificate
}

// Key returns the PEM-encoded private key. Files with it must be readable by their
// owner only.
func (p Pair) Key() []byte {
	return p.key
}

// Authority is a site's certificate authority.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pair        Pair
}

// NewAuthority creates the certificate authority of a site, valid from now.
func NewAuthority(site string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, codes.Wrap(codes.Internal, err, "key of the authority")
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "sardineswitch " + site},
		NotBefore:             now.Add(-maxClockSkew),
		NotAfter:              now.Add(AuthorityValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return OpenAuthority(pair.certificate, pair.key)
}

// OpenAuthority parses a PEM-encoded authority. Errors carry codes.BadSettings.
func OpenAuthority(certificate, key []byte) (*Authority, error) {
	parsed, err := parseCertificate(certificate)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(key)
	if block == nil {
		return nil, codes.New(codes.BadSettings, "the authority's key is not PEM")
	}
	private, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, codes.Wrap(codes.BadSettings, err, "the authority's key")
	}
	if !parsed.IsCA {
		return nil, codes.New(codes.BadSettings, "the certificate %q is not an authority's", parsed.Subject.CommonName)
	}
	return &Authority{certificate: parsed, key: private, pair: Pair{certificate: certificate, key: key}}, nil
}

// Pair returns the authority's certificate and key.
func (a *Authority) Pair() Pair {
	return a.pair
}

// Issue creates a node's certificate, valid as a server certificate for the
// addresses and as a client certificate towards other nodes.
func (a *Authority) Issue(node sardine.NodeID, addresses []net.IP, now time.Time) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, codes.Wrap(codes.Internal, err, "key of "+string(node))
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: string(node)},
		NotBefore:   now.Add(-maxClockSkew),
		NotAfter:    now.Add(NodeValidity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: addresses,
	}
	return sign(template, a.certificate, key, a.key)
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return Pair{}, codes.Wrap(codes.Internal, err, "serial number")
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, codes.Wrap(codes.Internal, err, "certificate "+template.Subject.CommonName)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, codes.Wrap(codes.Internal, err, "private key")
	}
	return Pair{
		certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}),
	}, nil
}

func parseCertificate(text []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, codes.New(codes.BadSettings, "the certificate is not PEM")
	}
	parsed, err := x509.ParseCertificate(block.Bytes)
	return parsed, codes.Wrap(codes.BadSettings, err, "certificate")
}
