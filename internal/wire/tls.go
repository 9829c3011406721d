package wire

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// Credentials holds the TLS certificate, key and certificate authority of a process.
// It reloads the files when they change, so that a renewal needs no restart.
type Credentials struct {
	certificateFile, keyFile, authorityFile string

	loaded atomic.Pointer[credentialFiles]
}

// credentialFiles holds the parsed contents of the files and their modification times. It
// is immutable.
type credentialFiles struct {
	modTimes    [3]time.Time
	certificate tls.Certificate
	authorities *x509.CertPool
}

// NewCredentials loads the files. It returns an error if one of them cannot be read or
// is invalid.
func NewCredentials(certificateFile, keyFile, authorityFile string) (*Credentials, error) {
	c := &Credentials{certificateFile: certificateFile, keyFile: keyFile, authorityFile: authorityFile}
	if err := c.reloadIfChanged(); err != nil {
		return nil, err
	}
	return c, nil
}

// MutualTLSConfig returns a configuration for either end of a session. It requires TLS 1.3, and
// each end must present a certificate issued by the authority. The certificate proves
// only that the peer belongs to the site: its name is not verified, because the addresses
// of hosts come from the settings and the directory.
func (c *Credentials) MutualTLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyConnection checks the chain against the current authorities
		VerifyConnection:       c.verifyPeer,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.currentCertificate() },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.currentCertificate() },
		SessionTicketsDisabled: true,
	}
}

func (c *Credentials) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	_ = c.reloadIfChanged()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         c.loaded.Load().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// currentCertificate returns the certificate in use. If the files cannot be loaded, the
// previous certificate stays in use, because a renewal replaces the files one after another.
func (c *Credentials) currentCertificate() (*tls.Certificate, error) {
	_ = c.reloadIfChanged()
	return &c.loaded.Load().certificate, nil
}

// reloadIfChanged reloads the files if they have changed. Concurrent handshakes may both
// reload them, which is harmless.
func (c *Credentials) reloadIfChanged() error {
	var modTimes [3]time.Time
	for i, file := range []string{c.certificateFile, c.keyFile, c.authorityFile} {
		info, err := os.Stat(file)
		if err != nil {
			return fmt.Errorf("TLS file: %w", err)
		}
		modTimes[i] = info.ModTime()
	}
	if loaded := c.loaded.Load(); loaded != nil && loaded.modTimes == modTimes {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("TLS certificate: %w", err)
	}
	authorityPEM, err := os.ReadFile(c.authorityFile)
	if err != nil {
		return fmt.Errorf("TLS authority: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(authorityPEM) {
		return fmt.Errorf("TLS authority: %s contains no certificate", c.authorityFile)
	}
	c.loaded.Store(&credentialFiles{modTimes: modTimes, certificate: certificate, authorities: authorities})
	return nil
}
