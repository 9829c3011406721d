package main

import (
	"context"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cassiawood/internal/document"
	"cassiawood/internal/operator"
)

// operatorPort is the default port of a control host's operator interface.
const operatorPort = "8443"

// siteTeam is the team whose token also allows changes to failure domains and
// hosts.
const siteTeam = "site"

// keyGenerator creates the certificates, tokens and settings files of a site.
type keyGenerator struct {
	dir     string
	hosts   []string // with ports
	teams   []string
	days    int
	now     time.Time
	written []string
	kept    []string // existing files from an earlier run
}

func prepareKeys(p *program, flags *flag.FlagSet) action {
	k := &keyGenerator{now: time.Now()}
	var hosts, teams string
	flags.StringVar(&k.dir, "out", "", "`directory` for the files")
	flags.StringVar(&hosts, "hosts", "",
		"`addresses` of the control hosts, with commas between them; the port is "+operatorPort+" if none is given")
	flags.StringVar(&teams, "teams", "",
		"`names` of the teams that get a token, with commas between them; the team \""+siteTeam+"\" may also drain hosts")
	flags.IntVar(&k.days, "days", 730, "`days` for which certificates and tokens are valid")
	announce := flags.Bool("announce", false, "only print a token for backend servers' announcements and its fingerprint")
	return func(context.Context, []string) error {
		if *announce {
			return p.printAnnounceToken()
		}
		k.hosts, k.teams = splitList(hosts), splitList(teams)
		if k.dir == "" || len(k.hosts) == 0 || k.days < 1 {
			return &usageError{"keys needs -out DIRECTORY, -hosts ADDRESSES and at least 1 day"}
		}
		if err := k.run(); err != nil {
			return &usageError{err.Error()}
		}
		return p.print(k.summary(), map[string][]string{"written": k.written, "kept": k.kept})
	}
}

// check returns an error if a name cannot be part of a file name or a certificate.
// It runs before anything is written, so that invalid input leaves no files.
func (k *keyGenerator) check() error {
	for _, team := range k.teams {
		if !document.ValidName(team) {
			return fmt.Errorf("%q cannot be the name of a team", team)
		}
	}
	for _, host := range k.hosts {
		name, _ := splitHost(host)
		if name == "" || strings.ContainsAny(name, `/\[]`) {
			return fmt.Errorf("%q is not the address of a host", host)
		}
	}
	return nil
}

func splitHost(host string) (name, port string) {
	name, port, err := net.SplitHostPort(host)
	if err != nil {
		return host, operatorPort
	}
	return name, port
}

func (k *keyGenerator) summary() string {
	var b strings.Builder
	for _, file := range k.written {
		fmt.Fprintf(&b, "wrote %s\n", file)
	}
	for _, file := range k.kept {
		fmt.Fprintf(&b, "kept %s\n", file)
	}
	b.WriteString("Copy each control host's two files to that host, and the entries of the tokens file into the settings of\n" +
		"every control host. Give each team its directory. Keep ca-key.pem away from the hosts: whoever has it\n" +
		"can pretend to be a control host.\n")
	return b.String()
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

func (p *program) printAnnounceToken() error {
	secret, hash := operator.NewSecret()
	fingerprint := hex.EncodeToString(hash[:])
	text := fmt.Sprintf("token for the backend servers: %s\nsentence for the document:\n"+
		"Its backend servers show the announcement token with fingerprint\n\"%s\".\n", secret, fingerprint)
	return p.print(text, map[string]string{"token": secret, "fingerprint": fingerprint})
}

func (k *keyGenerator) run() error {
	if err := k.check(); err != nil {
		return err
	}
	if err := os.MkdirAll(k.dir, 0o700); err != nil {
		return err
	}
	authority, err := k.readOrCreateAuthority()
	if err != nil {
		return err
	}
	addresses := make([]string, len(k.hosts))
	for i, host := range k.hosts {
		name, port := splitHost(host)
		addresses[i] = net.JoinHostPort(name, port)
		file := "control-" + strings.ReplaceAll(name, ":", "-")
		if k.keepExisting(file + ".pem") {
			continue
		}
		pair, err := authority.Issue(name, k.now, k.days)
		if err != nil {
			return err
		}
		if err := k.writePair(file, pair); err != nil {
			return err
		}
	}
	return k.writeTokens(authority, addresses)
}

// readOrCreateAuthority reads the certificate authority of an earlier run or
// creates one.
func (k *keyGenerator) readOrCreateAuthority() (*operator.Authority, error) {
	cert, err := os.ReadFile(filepath.Join(k.dir, "ca.pem"))
	if err == nil {
		key, err := os.ReadFile(filepath.Join(k.dir, "ca-key.pem"))
		if err != nil {
			return nil, err
		}
		return operator.ParseAuthority(operator.KeyPair{Cert: cert, Key: key})
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	authority, err := operator.NewAuthority(k.now)
	if err != nil {
		return nil, err
	}
	return authority, k.writePair("ca", authority.KeyPair)
}

// keepExisting reports whether a file exists, and lists it as kept if it does.
func (k *keyGenerator) keepExisting(name string) bool {
	file := filepath.Join(k.dir, name)
	if _, err := os.Lstat(file); err != nil {
		return false
	}
	k.kept = append(k.kept, file)
	return true
}

func (k *keyGenerator) writePair(name string, pair operator.KeyPair) error {
	return errors.Join(k.write(name+".pem", pair.Cert, 0o644), k.write(name+"-key.pem", pair.Key, 0o600))
}

func (k *keyGenerator) write(name string, text []byte, mode os.FileMode) error {
	file := filepath.Join(k.dir, name)
	if err := createFile(file, text, mode); err != nil {
		return err
	}
	k.written = append(k.written, file)
	return nil
}

// writeTokens writes the settings of each new team, and a file with the hashes of
// their tokens for the control hosts.
func (k *keyGenerator) writeTokens(authority *operator.Authority, addresses []string) error {
	var settings []operator.TokenSetting
	for _, team := range k.teams {
		if k.keepExisting(filepath.Join("team-"+team, "cassiawood.json")) {
			continue
		}
		secret, hash := operator.NewSecret()
		settings = append(settings, operator.TokenSetting{
			Team: team, SHA256: hex.EncodeToString(hash[:]),
			Expires: k.now.UTC().AddDate(0, 0, k.days).Format(time.DateOnly), Site: team == siteTeam,
		})
		if err := k.writeTeamFolder(team, operator.ClientSettings{Team: team, Hosts: addresses, CA: "ca.pem", Token: secret}, authority); err != nil {
			return err
		}
	}
	if len(settings) == 0 {
		return nil
	}
	text, err := operator.EncodeJSON(settings)
	if err != nil {
		return err
	}
	return k.write("tokens-"+k.now.UTC().Format("20060102-150405")+".json", text, 0o600)
}

// writeTeamFolder writes the directory of a team: its settings and the certificate of
// the authority.
func (k *keyGenerator) writeTeamFolder(team string, settings operator.ClientSettings, authority *operator.Authority) error {
	text, err := operator.EncodeJSON(settings)
	if err != nil {
		return err
	}
	dir := "team-" + team
	if err := os.MkdirAll(filepath.Join(k.dir, dir), 0o700); err != nil {
		return err
	}
	return errors.Join(
		k.write(filepath.Join(dir, "cassiawood.json"), text, 0o600),
		k.write(filepath.Join(dir, "ca.pem"), authority.KeyPair.Cert, 0o644),
	)
}
