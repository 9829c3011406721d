package main

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/duty"
	"cassiawood/internal/operator"
)

// runWithClient runs the tool with its real client instead of a fake backend.
func runWithClient(args ...string) outcome {
	var out, errs bytes.Buffer
	p := &program{out: &out, err: &errs, connect: connect, newID: newChangeID}
	code := p.run(context.Background(), args)
	return outcome{code, out.String(), errs.String()}
}

// startServer serves backend with the certificate and tokens that cassiawood keys
// wrote to dir. It returns the address and a function that stops the server.
func startServer(dir string, backend operator.Backend) (string, func()) {
	GinkgoHelper()
	log := slog.New(slog.DiscardHandler)
	certificate, err := operator.LoadCertificate(filepath.Join(dir, "control-127.0.0.1.pem"), filepath.Join(dir, "control-127.0.0.1-key.pem"), log)
	Expect(err).NotTo(HaveOccurred())
	files, err := filepath.Glob(filepath.Join(dir, "tokens-*.json"))
	Expect(err).NotTo(HaveOccurred())
	Expect(files).To(HaveLen(1))
	text, err := os.ReadFile(files[0])
	Expect(err).NotTo(HaveOccurred())
	var settings []operator.TokenSetting
	Expect(json.Unmarshal(text, &settings)).To(Succeed())
	var tokens []operator.Token
	for _, s := range settings {
		token, err := s.Token()
		Expect(err).NotTo(HaveOccurred())
		tokens = append(tokens, token)
	}
	server, err := operator.NewServer(operator.ServerOptions{
		Address: "127.0.0.1:0", Certificate: certificate, Authenticator: operator.NewAuthenticator(tokens, time.Now), Backend: backend, Log: log,
	})
	Expect(err).NotTo(HaveOccurred())
	group := duty.NewGroup(log, time.Hour, func(error) {})
	for _, d := range server.Duties() {
		group.Add(d)
	}
	group.Start()
	return server.Address(), func() { Expect(group.Stop(context.Background())).To(Succeed()) }
}

var _ = Describe("cassiawood keys", func() {
	// Guards against certificates, tokens and settings that do not match each other.
	// The test uses them all to save a change over TLS.
	It("creates files with which a team can save and only the site's token can drain", func() {
		dir := GinkgoT().TempDir()
		made := runWithClient("keys", "-out", dir, "-hosts", "127.0.0.1", "-teams", "shop,site")
		Expect(made.code).To(BeZero(), made.err)
		backend := &fakeBackend{}
		address, stop := startServer(dir, backend)
		defer stop()
		settings := map[string]string{}
		for _, team := range []string{"shop", "site"} {
			settings[team] = filepath.Join(dir, "team-"+team, "cassiawood.json")
			text, err := os.ReadFile(settings[team])
			Expect(err).NotTo(HaveOccurred())
			Expect(string(text)).To(ContainSubstring("127.0.0.1:8443"))
			text = bytes.ReplaceAll(text, []byte("127.0.0.1:8443"), []byte(address))
			Expect(os.WriteFile(settings[team], text, 0o600)).To(Succeed())
		}
		got := runWithClient("save", "-settings", settings["shop"], writeDocument(changedOrders()))
		Expect(got.code).To(BeZero(), got.err)
		Expect(backend.saved).To(HaveLen(1))
		Expect(backend.saved[0].Team).To(Equal("shop"))
		Expect(runWithClient("drain", "-settings", settings["shop"], "e1").code).To(Equal(exitRefused))
		Expect(runWithClient("drain", "-settings", settings["site"], "e1").code).To(BeZero())
	})

	// Guards against a second run that replaces keys in use, and against secrets
	// that other users can read.
	It("keeps the files of an earlier run and makes secrets readable by the owner only", func() {
		dir := GinkgoT().TempDir()
		Expect(runWithClient("keys", "-out", dir, "-hosts", "127.0.0.1", "-teams", "shop").code).To(BeZero())
		before := map[string][]byte{}
		for _, name := range []string{"ca-key.pem", "control-127.0.0.1-key.pem", "team-shop/cassiawood.json"} {
			info, err := os.Stat(filepath.Join(dir, name))
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Mode().Perm()).To(BeEquivalentTo(0o600))
			before[name], err = os.ReadFile(filepath.Join(dir, name))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(runWithClient("keys", "-out", dir, "-hosts", "127.0.0.1,127.0.0.2", "-teams", "shop").code).To(BeZero())
		for name, text := range before {
			Expect(os.ReadFile(filepath.Join(dir, name))).To(Equal(text))
		}
		Expect(filepath.Join(dir, "control-127.0.0.2.pem")).To(BeAnExistingFile())
	})

	// Guards against names that refer to paths outside the directory, and against
	// partial output.
	DescribeTable("rejects", func(wanted string, args ...string) {
		dir := filepath.Join(GinkgoT().TempDir(), "new")
		got := runWithClient(append([]string{"keys", "-out", dir}, args...)...)
		Expect(got.code).To(Equal(exitUsage))
		Expect(got.err).To(ContainSubstring(wanted))
		Expect(dir).NotTo(BeADirectory())
	},
		Entry("a team that is a path", "cannot be the name of a team", "-hosts", "10.0.0.1", "-teams", "../x"),
		Entry("a host that is a path", "is not the address of a host", "-hosts", "../x"),
		Entry("no hosts", "keys needs", "-teams", "shop"),
	)

	// Guards against a settings error that shows the internal chain of constructors.
	It("names the settings file that is missing", func() {
		got := runWithClient("services", "-settings", "/nowhere/cassiawood.json")
		Expect(got.code).To(Equal(exitUsage))
		Expect(got.err).To(HavePrefix("cassiawood: settings: open /nowhere/cassiawood.json: no such file or directory; give the file"))
	})
})
