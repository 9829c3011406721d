package operator

import (
	"bytes"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/tailscale/hujson"
)

// ClientSettings is the settings file of the command line.
type ClientSettings struct {
	Team  string   `json:"team"`
	Hosts []string `json:"hosts"` // operator addresses of the control hosts, such as 10.0.0.1:8443
	CA    string   `json:"ca"`    // PEM file of the site's certificate authority, relative to the settings file
	Token string   `json:"token"`
}

// ReadClientSettings reads the settings file of the command line and returns its
// content and the options for a client.
func ReadClientSettings(path string) (ClientSettings, ClientOptions, error) {
	var s ClientSettings
	text, err := os.ReadFile(path)
	if err != nil {
		return s, ClientOptions{}, err
	}
	standardJSON, err := hujson.Standardize(text)
	if err != nil {
		return s, ClientOptions{}, fmt.Errorf("%s: %w", path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standardJSON))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, ClientOptions{}, fmt.Errorf("%s: %w", path, err)
	}
	options, err := s.options(filepath.Dir(path))
	if err != nil {
		return s, ClientOptions{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, options, nil
}

func (s ClientSettings) options(dir string) (ClientOptions, error) {
	if len(s.Hosts) == 0 {
		return ClientOptions{}, fmt.Errorf(`"hosts" names no control host`)
	}
	for _, host := range s.Hosts {
		if _, _, err := net.SplitHostPort(host); err != nil {
			return ClientOptions{}, fmt.Errorf(`"hosts": %q is not an address with a port, such as 10.0.0.1:8443`, host)
		}
	}
	file := s.CA
	if !filepath.IsAbs(file) {
		file = filepath.Join(dir, file)
	}
	ca, err := os.ReadFile(file)
	if err != nil {
		return ClientOptions{}, fmt.Errorf(`"ca": %w`, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return ClientOptions{}, fmt.Errorf(`"ca": %s holds no certificate`, file)
	}
	return ClientOptions{Hosts: s.Hosts, Roots: roots, Token: s.Token}, nil
}

// EncodeJSON returns value as indented JSON with a final newline.
func EncodeJSON(value any) ([]byte, error) {
	text, err := json.MarshalIndent(value, "", "  ")
	return append(text, '\n'), err
}
