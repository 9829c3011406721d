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

// reloadInterval is the interval at which the certificate files are read again. They
// are a few kilobytes long, so reading them is cheap, and it is more reliable than
// comparing modification times, which some copying tools preserve.
const reloadInterval = 2 * time.Second

// Certificate is a TLS certificate that is reloaded when its files change.
type Certificate struct {
	certFile, keyFile string
	log               *slog.Logger
	current           atomic.Pointer[tls.Certificate]
	certPEM, keyPEM   []byte // contents of the files in use; written only by the reloading duty
	lastReloadFailed  bool   // whether the last reload failed; consecutive failures are logged once
}

// LoadCertificate reads a certificate and its key.
func LoadCertificate(certFile, keyFile string, log *slog.Logger) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, log: log}
	if _, err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files and reports whether the certificate changed. On an error,
// such as a key that does not match, the current certificate stays in use.
func (c *Certificate) Reload() (bool, error) {
	certPEM, err := os.ReadFile(c.certFile)
	if err != nil {
		return false, fmt.Errorf("certificate file: %w", err)
	}
	keyPEM, err := os.ReadFile(c.keyFile)
	if err != nil {
		return false, fmt.Errorf("certificate key file: %w", err)
	}
	if bytes.Equal(certPEM, c.certPEM) && bytes.Equal(keyPEM, c.keyPEM) {
		return false, nil
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return false, fmt.Errorf("certificate %s with key %s: %w", c.certFile, c.keyFile, err)
	}
	c.certPEM, c.keyPEM = certPEM, keyPEM
	c.current.Store(&pair)
	return true, nil
}

// TLS returns a server configuration that always presents the current certificate.
func (c *Certificate) TLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current.Load(), nil
		},
	}
}

// Duty returns the duty that reloads the certificate when its files change.
func (c *Certificate) Duty() duty.Duty {
	return duty.Every("operator certificate", reloadInterval, c.reloadAndLog)
}

// reloadAndLog reloads the certificate and logs the result. The two files do not match
// while they are being replaced, so a failure is only a warning, and the next tick
// tries again.
func (c *Certificate) reloadAndLog() {
	changed, err := c.Reload()
	if err != nil && !c.lastReloadFailed {
		c.log.Warn("certificate not reloaded, keeping the current one", "error", err)
	}
	c.lastReloadFailed = err != nil
	if changed {
		c.log.Info("certificate reloaded", "file", c.certFile, "expires", c.current.Load().Leaf.NotAfter)
	}
}
