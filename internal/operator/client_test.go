package operator_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/document"
	"cassiawood/internal/duty"
	"cassiawood/internal/operator"
)

// site is a certificate authority whose servers run on this machine.
type site struct {
	dir       string
	authority *operator.Authority
}

func newSite() *site {
	GinkgoHelper()
	authority, err := operator.NewAuthority(time.Now())
	Expect(err).NotTo(HaveOccurred())
	return &site{GinkgoT().TempDir(), authority}
}

// issue writes a certificate and key for 127.0.0.1 to files named after name.
func (s *site) issue(name string) (certFile, keyFile string) {
	GinkgoHelper()
	pair, err := s.authority.Issue("127.0.0.1", time.Now(), 1)
	Expect(err).NotTo(HaveOccurred())
	certFile, keyFile = filepath.Join(s.dir, name+".pem"), filepath.Join(s.dir, name+"-key.pem")
	Expect(os.WriteFile(certFile, pair.Cert, 0o600)).To(Succeed())
	Expect(os.WriteFile(keyFile, pair.Key, 0o600)).To(Succeed())
	return certFile, keyFile
}

// serve starts a server and returns its address and the group that runs its duties.
func (s *site) serve(backend operator.Backend) (string, *duty.Group) {
	GinkgoHelper()
	certificate, err := operator.LoadCertificate(firstOf(s.issue("host")), filepath.Join(s.dir, "host-key.pem"), discardLog)
	Expect(err).NotTo(HaveOccurred())
	server, err := operator.NewServer(operator.ServerOptions{
		Address: "127.0.0.1:0", Certificate: certificate, Authenticator: testAuthenticator(), Backend: backend, Log: discardLog,
	})
	Expect(err).NotTo(HaveOccurred())
	group := duty.NewGroup(discardLog, time.Hour, func(error) {})
	for _, d := range server.Duties() {
		group.Add(d)
	}
	group.Start()
	DeferCleanup(func() { Expect(group.Stop(context.Background())).To(Succeed()) })
	return server.Address(), group
}

func firstOf(a, _ string) string { return a }

func (s *site) roots() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(s.authority.KeyPair.Cert)
	return pool
}

// client returns a client with the token of team shop that does not wait between
// rounds.
func (s *site) client(hosts ...string) *operator.Client {
	return operator.NewClient(operator.ClientOptions{
		Hosts: hosts, Roots: s.roots(), Token: secrets["shop"],
		Sleep: func(context.Context, time.Duration) error { return nil },
	})
}

// closedAddress returns an address on which nothing listens.
func closedAddress() string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

func deskChange(id string, base uint64) operator.Change {
	return operator.Change{
		ID: id, Author: "bob", Section: "Orders", BaseVersion: base,
		Text: `The service "order-desk" is reached at 10.20.0.1, port 443.`,
	}
}

var _ = Describe("Client", func() {
	var s *site
	var shared *fakeStore
	ctx := context.Background()

	BeforeEach(func() { s, shared = newSite(), newFakeStore() })

	// Guards against a client that fails because one control host is down or is not
	// the leader.
	It("skips a host that is down and follows the leader", func() {
		leader, _ := s.serve(&fakeBackend{fakeStore: shared})
		follower, _ := s.serve(&fakeBackend{fakeStore: shared, before: func() error { return &operator.NotLeaderError{Leader: leader} }})
		answer, err := s.client(closedAddress(), follower).Save(ctx, deskChange("1", 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.InForce).To(Equal([]string{"east", "west"}))
	})

	// Guards against applying a change twice, or reporting it as failed, because its
	// first answer was lost.
	It("resends a change with the same ID after its answer was lost", func() {
		answerLost := false
		address, _ := s.serve(&fakeBackend{fakeStore: shared, after: func() error {
			if !answerLost {
				answerLost = true
				panic(http.ErrAbortHandler)
			}
			return nil
		}})
		answer, err := s.client(address).Save(ctx, deskChange("1", 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(answerLost).To(BeTrue())
		Expect(answer.Version).To(BeEquivalentTo(1))
		Expect(shared.saved).To(Equal(1))
	})

	// Guards against reporting "nothing was changed" for a change that may be in force.
	DescribeTable("reports whether a change may be in force", func(failure func(), sent bool, wanted string) {
		address := closedAddress()
		if failure != nil {
			address, _ = s.serve(&fakeBackend{fakeStore: shared, after: func() error { failure(); return nil }})
		}
		_, err := s.client(address).Save(ctx, deskChange("c-1", 0))
		var unreachable *operator.UnreachableError
		Expect(errors.As(err, &unreachable)).To(BeTrue(), "%v", err)
		Expect(unreachable.Sent).To(Equal(sent))
		Expect(err.Error()).To(ContainSubstring(wanted))
	},
		Entry("no host reached", nil, false, "nothing was changed"),
		Entry("answers lost", func() { panic(http.ErrAbortHandler) }, true, "change ID c-1 is safe"),
	)

	// Guards against reporting "nothing was changed" when the control hosts lose
	// their quorum after an answer was lost.
	It("reports an unknown outcome if a lost answer precedes a missing quorum", func() {
		first := true
		address, _ := s.serve(&fakeBackend{fakeStore: shared, before: func() error {
			if first {
				first = false
				panic(http.ErrAbortHandler)
			}
			return &operator.NoQuorumError{Reason: "1 of 3 control hosts"}
		}})
		_, err := s.client(address).Save(ctx, deskChange("c-1", 0))
		var unreachable *operator.UnreachableError
		Expect(errors.As(err, &unreachable)).To(BeTrue(), "%v", err)
		Expect(unreachable.Sent).To(BeTrue())
	})

	// Guards against a client that gives up during an election.
	It("retries until a leader is elected", func() {
		asked := 0
		address, _ := s.serve(&fakeBackend{fakeStore: shared, before: func() error {
			if asked++; asked < 3 {
				return &operator.NotLeaderError{}
			}
			return nil
		}})
		_, err := s.client(address).Save(ctx, deskChange("1", 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(asked).To(Equal(3))
	})

	// Guards against an error that changes its type or content between server and
	// client.
	DescribeTable("returns the backend's error", func(wanted error) {
		address, _ := s.serve(&fakeBackend{fakeStore: shared, before: func() error { return wanted }})
		_, err := s.client(address).Save(ctx, deskChange("1", 0))
		Expect(err).To(Equal(wanted))
	},
		Entry("refused", &operator.RefusedError{Reason: "failure domain west did not confirm", Findings: []document.Finding{{Section: "A", Line: 2, Words: "x", Problem: "is not understood"}}}),
		Entry("conflict", &operator.ConflictError{Section: "Orders", Version: 8, Team: "shop", Author: "ann", Text: "Note: hello."}),
		Entry("no quorum", &operator.NoQuorumError{Reason: "1 of 3 control hosts"}),
		Entry("unauthorised", &operator.UnauthorisedError{Reason: "no"}),
		Entry("not found", &operator.NotFoundError{Subject: "section A"}),
	)

	// Guards against fields or list elements that are lost in the JSON encoding.
	It("reads sections, versions and lists", func() {
		address, _ := s.serve(&fakeBackend{fakeStore: shared})
		client := s.client(address)
		_, err := client.Save(ctx, deskChange("1", 0))
		Expect(err).NotTo(HaveOccurred())
		section, err := client.Section(ctx, "Orders", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(section).To(Equal(document.Section{Heading: "Orders", Team: "shop", Version: 1, Text: deskChange("1", 0).Text}))
		Expect(client.Sections(ctx)).To(Equal([]document.Section{section}))
		Expect(client.History(ctx, "Orders")).To(HaveLen(1))
		Expect(client.BackendServers(ctx)).To(HaveLen(1))
		Expect(client.FailureDomains(ctx)).To(HaveLen(1))
		Expect(client.Services(ctx)).To(BeEmpty())
	})

	// Guards against sending a token to a host of another site.
	It("sends no request to a host with a certificate of another authority", func() {
		address, _ := newSite().serve(&fakeBackend{fakeStore: shared})
		_, err := s.client(address).Save(ctx, deskChange("1", 0))
		Expect(err).To(MatchError(ContainSubstring("certificate signed by unknown authority")))
		Expect(err).To(MatchError(ContainSubstring("nothing was changed")))
	})

	// Guards against accepting older TLS versions.
	It("serves TLS 1.3 only", func() {
		address, _ := s.serve(&fakeBackend{fakeStore: shared})
		_, err := tls.Dial("tcp", address, &tls.Config{RootCAs: s.roots(), MaxVersion: tls.VersionTLS12})
		Expect(err).To(MatchError(ContainSubstring("protocol version")))
	})

	// Guards against a shutdown that loses the answer of a save in progress.
	It("answers a save in progress when the server shuts down", func() {
		began, finish := make(chan struct{}), make(chan struct{})
		address, group := s.serve(&fakeBackend{fakeStore: shared, before: func() error {
			close(began)
			<-finish
			return nil
		}})
		result := make(chan error, 1)
		go func() {
			_, err := s.client(address).Save(ctx, deskChange("1", 0))
			result <- err
		}()
		<-began
		stopped := make(chan error, 1)
		go func() { stopped <- group.Stop(ctx) }()
		for { // until the server refuses connections, which shows that the shutdown has begun
			connection, err := net.Dial("tcp", address)
			if err != nil {
				break
			}
			connection.Close()
		}
		close(finish)
		Expect(<-result).To(Succeed())
		Expect(<-stopped).To(Succeed())
	})
})

var _ = Describe("Certificate", func() {
	// Guards against a new certificate that requires a restart and against a server
	// without a certificate while its files are being replaced.
	It("reloads changed files and keeps the current certificate while they do not match", func() {
		s := newSite()
		certFile, keyFile := s.issue("host")
		certificate, err := operator.LoadCertificate(certFile, keyFile, discardLog)
		Expect(err).NotTo(HaveOccurred())
		inUse := func() string {
			c, err := certificate.TLS().GetCertificate(nil)
			Expect(err).NotTo(HaveOccurred())
			return c.Leaf.SerialNumber.String()
		}
		first := inUse()
		Expect(certificate.Reload()).To(BeFalse())

		otherCert, otherKey := s.issue("other")
		Expect(os.Rename(otherCert, certFile)).To(Succeed())
		_, err = certificate.Reload()
		Expect(err).To(MatchError(ContainSubstring("private key does not match")))
		Expect(inUse()).To(Equal(first))

		Expect(os.Rename(otherKey, keyFile)).To(Succeed())
		Expect(certificate.Reload()).To(BeTrue())
		Expect(inUse()).NotTo(Equal(first))
	})

	// Guards against certificates that a site's machines reject because the authority
	// was not restored from its files.
	It("is accepted when an authority restored from its files issued it", func() {
		s := newSite()
		again, err := operator.ParseAuthority(s.authority.KeyPair)
		Expect(err).NotTo(HaveOccurred())
		s.authority = again
		address, _ := s.serve(&fakeBackend{fakeStore: newFakeStore()})
		_, err = s.client(address).Sections(context.Background())
		Expect(err).NotTo(HaveOccurred())
	})
})
