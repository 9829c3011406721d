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

// Credentials are the certificate files of a process. They are read again when
// they change, so that a renewal needs no restart.
type Credentials struct {
	certificateFile, keyFile, authorityFile string

	loaded atomic.Pointer[loadedFiles]
}

// loadedFiles is what one reading of the files gave; it is never modified.
type loadedFiles struct {
	modified    [3]time.Time
	certificate tls.Certificate
	authorities *x509.CertPool
}

// NewCredentials reads the files and reports what is wrong with them.
func NewCredentials(certificateFile, keyFile, authorityFile string) (*Credentials, error) {
	c := &Credentials{certificateFile: certificateFile, keyFile: keyFile, authorityFile: authorityFile}
	if err := c.refresh(); err != nil {
		return nil, err
	}
	return c, nil
}

// Mutual returns a configuration for both ends of a session: TLS 1.3, each end
// must show a certificate of the authority. Addresses of hosts come from the
// settings and the directory, so membership is what the certificate proves.
func (c *Credentials) Mutual() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyConnection checks the chain against the current authorities
		VerifyConnection:       c.verify,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current() },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.current() },
		SessionTicketsDisabled: true,
	}
}

func (c *Credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer shows no certificate")
	}
	_ = c.refresh()
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

// current returns the certificate. A renewal that cannot be read leaves the
// last good one in use, since files are replaced one after another.
func (c *Credentials) current() (*tls.Certificate, error) {
	_ = c.refresh()
	return &c.loaded.Load().certificate, nil
}

// refresh reads the files if they changed. Two handshakes may do it at once,
// which costs a second reading and nothing else.
func (c *Credentials) refresh() error {
	var modified [3]time.Time
	for i, file := range []string{c.certificateFile, c.keyFile, c.authorityFile} {
		info, err := os.Stat(file)
		if err != nil {
			return fmt.Errorf("TLS file: %w", err)
		}
		modified[i] = info.ModTime()
	}
	if loaded := c.loaded.Load(); loaded != nil && loaded.modified == modified {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("TLS certificate: %w", err)
	}
	text, err := os.ReadFile(c.authorityFile)
	if err != nil {
		return fmt.Errorf("TLS authority: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return fmt.Errorf("TLS authority: %s holds no certificate", c.authorityFile)
	}
	c.loaded.Store(&loadedFiles{modified: modified, certificate: certificate, authorities: authorities})
	return nil
}
