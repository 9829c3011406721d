package operator

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"cassiawood/internal/duty"
)

// reloadEvery is how often the certificate files are read again. The files are
// a few kilobytes, so reading them is cheaper than relying on their times,
// which some ways of copying keep.
const reloadEvery = 2 * time.Second

// Certificate is a TLS certificate that follows its files.
type Certificate struct {
	certFile, keyFile string
	log               *slog.Logger
	current           atomic.Pointer[tls.Certificate]
	cert, key         []byte // contents of the files in use; only the reloading duty changes them
	failed            bool   // the last attempt failed, so that one fault is logged once
}

// LoadCertificate reads a certificate and its key.
func LoadCertificate(certFile, keyFile string, log *slog.Logger) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, log: log}
	if _, err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files and reports whether they hold another certificate.
// If they are not a matching pair, the certificate in use stays in use.
func (c *Certificate) Reload() (bool, error) {
	cert, err := os.ReadFile(c.certFile)
	if err != nil {
		return false, fmt.Errorf("certificate file: %w", err)
	}
	key, err := os.ReadFile(c.keyFile)
	if err != nil {
		return false, fmt.Errorf("certificate key file: %w", err)
	}
	if bytes.Equal(cert, c.cert) && bytes.Equal(key, c.key) {
		return false, nil
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return false, fmt.Errorf("certificate %s with key %s: %w", c.certFile, c.keyFile, err)
	}
	c.cert, c.key = cert, key
	c.current.Store(&pair)
	return true, nil
}

// TLS returns a configuration that presents the certificate in use.
func (c *Certificate) TLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current.Load(), nil
		},
	}
}

// Duty returns the duty that follows the files.
func (c *Certificate) Duty() duty.Duty {
	return duty.Every("operator certificate", reloadEvery, c.follow)
}

// follow reloads and logs. While the two files are being replaced they do not
// match, so a failure is a warning and the next tick tries again.
func (c *Certificate) follow() {
	changed, err := c.Reload()
	if err != nil && !c.failed {
		c.log.Warn("certificate not reloaded, the old one stays in use", "error", err)
	}
	c.failed = err != nil
	if changed {
		c.log.Info("certificate reloaded", "file", c.certFile, "expires", c.current.Load().Leaf.NotAfter)
	}
}
