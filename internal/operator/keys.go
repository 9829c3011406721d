package operator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"time"
)

// authorityValidityDays is the validity of a site's certificate authority in days. It is
// much longer than that of certificates, because replacing the authority requires
// a change on every machine.
const authorityValidityDays = 3650

// KeyPair is a certificate and its private key, both in PEM.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// Authority signs the certificates of a site's control hosts.
type Authority struct {
	KeyPair KeyPair
	cert    *x509.Certificate
	key     *ecdsa.PrivateKey
}

// NewAuthority creates a certificate authority.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := certificateTemplate("cassiawood site", now, authorityValidityDays)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	pair, err := signCertificate(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return ParseAuthority(pair)
}

// ParseAuthority restores an authority that NewAuthority created earlier.
func ParseAuthority(pair KeyPair) (*Authority, error) {
	parsed, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate authority: %w", err)
	}
	key, ok := parsed.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !parsed.Leaf.IsCA {
		return nil, errors.New("certificate authority: the files are not those of a cassiawood site")
	}
	return &Authority{KeyPair: pair, cert: parsed.Leaf, key: key}, nil
}

// Issue creates a certificate for a host, which is an IP address or a DNS name.
func (a *Authority) Issue(host string, now time.Time, days int) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	template := certificateTemplate(host, now, days)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	if ip := net.ParseIP(host); ip != nil {
		template.IPAddresses = []net.IP{ip}
	} else {
		template.DNSNames = []string{host}
	}
	return signCertificate(template, a.cert, key, a.key)
}

func certificateTemplate(name string, now time.Time, days int) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127)) // never fails; see crypto/rand
	return &x509.Certificate{
		SerialNumber: serial.Add(serial, big.NewInt(1)),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour), // clocks of hosts differ
		NotAfter:     now.AddDate(0, 0, days),
	}
}

func signCertificate(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (KeyPair, error) {
	certDER, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return KeyPair{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, err
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certDER}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}
