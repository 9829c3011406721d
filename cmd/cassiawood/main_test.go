package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/document"
	"cassiawood/internal/operator"
)

// fakeBackend is a backend with two sections. saved holds the changes that it
// received, and err is the result of changes.
type fakeBackend struct {
	operator.Backend
	err   error
	saved []operator.Change
}

var (
	ordersText = `The service "order-desk" is reached at 10.20.0.1, port 443.`
	orders     = document.Section{Heading: "Orders", Team: "shop", Version: 7, Text: ordersText}
	sheets     = document.Section{Heading: "Sheets", Team: "print-room", Version: 3, Text: `The service "sheet-print" is reached at 10.20.0.2, port 443.`}
)

func (f *fakeBackend) Sections(context.Context) ([]document.Section, error) {
	return []document.Section{orders, sheets}, nil
}

func (f *fakeBackend) Section(_ context.Context, heading string, version uint64) (document.Section, error) {
	if heading != "Orders" || version > 7 {
		return document.Section{}, &operator.NotFoundError{Subject: "section " + heading}
	}
	s := orders
	if version > 0 && version < 7 {
		s.Version, s.Text = version, "Note: empty."
	}
	return s, nil
}

func (f *fakeBackend) Save(_ context.Context, c operator.Change) (operator.SaveResult, error) {
	f.saved = append(f.saved, c)
	return operator.SaveResult{Section: c.Section, Version: c.BaseVersion + 1, InForce: []string{"east", "middle", "west"}, OutOfService: []string{"south"}}, f.err
}

func (f *fakeBackend) History(context.Context, string) ([]operator.Revision, error) {
	return []operator.Revision{{Version: 7, Team: "shop", Author: "ann"}}, nil
}

func (f *fakeBackend) Services(context.Context) ([]operator.Service, error) {
	return []operator.Service{{Name: "sheet-print", Priority: "balance", BackendServers: 4, Ready: 3, Connections: 1}}, nil
}

func (f *fakeBackend) BackendServers(context.Context) ([]operator.BackendServer, error) {
	return []operator.BackendServer{
		{Instance: "a\x1b[2J", Service: "order-desk", State: "leaving", Connections: 12},
		{Instance: "b", Service: "sheet-print", State: "ready", Slots: 2, SlotsInUse: 1, Connections: 1},
		{Instance: "c", Service: "sheet-print", State: "ready", Suspected: true, Connections: 1},
		{Instance: "d", Service: "sheet-print", State: "ready", Slots: 2, SlotsInUse: operator.UnknownCount, Connections: operator.UnknownCount},
	}, nil
}

func (f *fakeBackend) Hosts(context.Context) ([]operator.Host, error) {
	return []operator.Host{{Name: "e1", Kind: "entry", State: "draining", Connections: 2, EntriesBehind: 3}, {Name: "c1", Kind: "control", State: "leader"}}, nil
}

func (f *fakeBackend) FailureDomains(context.Context) ([]operator.FailureDomain, error) {
	return []operator.FailureDomain{{Name: "south", OutOfService: true, DeclaredBy: "ann", Hosts: 2}}, nil
}

func (f *fakeBackend) DeclareOutOfService(context.Context, operator.DomainChange) error { return f.err }

func (f *fakeBackend) DrainHost(context.Context, operator.HostDrain) error { return f.err }

// outcome holds the exit code and the output of a run of the tool.
type outcome struct {
	code     int
	out, err string
}

func runWith(backend operator.Backend, args ...string) outcome {
	var out, errs bytes.Buffer
	p := &program{out: &out, err: &errs, newID: func() string { return "id-1" }}
	p.connect = func(string) (operator.Backend, operator.ClientSettings, error) {
		return backend, operator.ClientSettings{Team: "shop"}, nil
	}
	code := p.run(context.Background(), args)
	return outcome{code, out.String(), errs.String()}
}

// writeDocument writes a document to a file and returns its path.
func writeDocument(sections ...document.Section) string {
	GinkgoHelper()
	file := filepath.Join(GinkgoT().TempDir(), "site.document")
	Expect(os.WriteFile(file, []byte(document.FormatDocument(sections)), 0o640)).To(Succeed())
	return file
}

// changedOrders returns section Orders with another port.
func changedOrders() document.Section {
	s := orders
	s.Text = strings.Replace(s.Text, "443", "444", 1)
	return s
}

var _ = Describe("cassiawood", func() {
	// Guards against a command that prints the wrong state, or exits with a code
	// other than the one that scripts expect.
	DescribeTable("prints", func(code int, wanted string, args ...string) {
		got := runWith(&fakeBackend{}, args...)
		Expect(got.code).To(Equal(code), got.err)
		Expect(got.out + got.err).To(ContainSubstring(wanted))
	},
		Entry("help", 0, "Exit codes", "-h"),
		Entry("no command", 2, "Usage"),
		Entry("an unknown command", 2, `no command "sve"`, "sve"),
		Entry("help of a command", 0, "-change-id", "save", "-h"),
		Entry("an unknown flag", 2, "not defined: -x", "services", "-x"),
		Entry("a missing operand", 2, "check takes one FILE", "check"),
		Entry("show", 0, `Section "Orders", owned by team "shop", version 7.`, "show"),
		Entry("show of one section", 0, "Note: empty.", "show", "-section", "Orders", "-version", "2"),
		Entry("show of an unknown section", 1, "there is no section", "show", "-section", "X"),
		Entry("history of the team's only section", 0, "ann", "history"),
		Entry("services", 0, "balance first, 3 of 4 backend servers ready, 1 connection\n", "services"),
		Entry("a leaving backend server", 0, "leaving, 12 connections remain", "backends"),
		Entry("a name with control characters", 0, "a?[2J", "backends"),
		Entry("a ready backend server", 0, "ready, 1 of 2 places in use, 1 connection", "backends"),
		Entry("a backend server of unknown load", 0, "ready, 2 places\n", "backends"),
		Entry("a suspected backend server", 0, "takes no new connections, 1 connection remains", "backends"),
		Entry("hosts", 0, "draining, 2 connections remain, 3 entries behind", "hosts"),
		Entry("domains", 0, "out of service (declared by ann), 0 of 2 hosts in contact", "domains"),
		Entry("JSON", 0, `"state": "leaving"`, "backends", "-json"),
		Entry("out-of-service", 0, "failure domain south is out of service", "out-of-service", "south"),
		Entry("in service again", 0, "in service again", "out-of-service", "south", "-undo"),
		Entry("drain", 0, "host e1 hands over", "drain", "e1"),
		Entry("a file that does not exist", 2, "no such file", "check", "/nowhere"),
		Entry("an example", 0, "no problems in 2 sections with 2 services", "check", "../../examples/site-k.document"),
	)

	// Guards against a check that stops at the first problem or needs a control host.
	It("checks a document offline and reports every problem with its line in the file", func() {
		bad := orders
		bad.Text = strings.Replace(ordersText, "port", "prot", 1) + "\nBe quick."
		p := &program{out: &bytes.Buffer{}, err: &bytes.Buffer{}}
		Expect(p.run(context.Background(), []string{"check", writeDocument(sheets, bad)})).To(Equal(exitRefused))
		Expect(p.err.(*bytes.Buffer).String()).To(And(ContainSubstring(`line 7: "prot 443"`), ContainSubstring(`line 8: "Be quick"`)))
	})

	// Guards against a save that sends unchanged sections or a wrong base version,
	// and against a file that keeps the old version, so that its next save would
	// fail as a race.
	It("saves the changed section, prints where it is in force, and updates the file", func() {
		backend := &fakeBackend{}
		file := writeDocument(changedOrders(), sheets)
		got := runWith(backend, "save", file, "-author", "bob")
		Expect(got).To(Equal(outcome{0, "section \"Orders\" is now version 8 and in force in east, middle and west; out of service, so not asked: south\n", ""}))
		Expect(backend.saved).To(Equal([]operator.Change{{ID: "id-1", Author: "bob", Section: "Orders", BaseVersion: 7, Text: changedOrders().Text}}))
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring(`owned by team "shop", version 8.`))
		info, err := os.Stat(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(info.Mode().Perm()).To(BeEquivalentTo(0o640))
	})

	// Guards against a failed save whose exit code means success or another failure.
	DescribeTable("fails to save", func(err error, code int, wanted string) {
		file := writeDocument(changedOrders())
		before, _ := os.ReadFile(file)
		got := runWith(&fakeBackend{err: err}, "save", file)
		Expect(got.code).To(Equal(code))
		Expect(got.err).To(ContainSubstring(wanted))
		Expect(os.ReadFile(file)).To(Equal(before))
		got = runWith(&fakeBackend{err: err}, "save", "-json", file)
		Expect(got.code).To(Equal(code))
		Expect(got.out).To(ContainSubstring(`"kind"`))
	},
		Entry("refused", &operator.RefusedError{Reason: "failure domain west did not confirm within 5 s"}, 1, `section "Orders" was not saved: failure domain west`),
		Entry("refused with a finding", &operator.RefusedError{Findings: []document.Finding{{Section: "Orders", Line: 1, Words: "x", Problem: "is taken"}}}, 1, `line 3: "x" is taken`),
		Entry("unauthorised", &operator.UnauthorisedError{Reason: "the token is not known"}, 1, "the token is not known"),
		Entry("race", &operator.ConflictError{Section: "Orders", Version: 8, Team: "shop", Author: "ann", Text: "Note: new."}, 3, "changed first by ann of team \"shop\" and is now at version 8"),
		Entry("no quorum", &operator.NoQuorumError{Reason: "1 of 3"}, 4, "nothing was changed"),
		Entry("unknown", &operator.UnreachableError{Sent: true, ChangeID: "id-1", LastErr: errors.New("reset")}, 4, "change ID id-1 is safe"),
	)

	// Guards against a save that sends some sections of a file and then fails at
	// another team's section.
	It("rejects a file that changes another team's section before it sends anything", func() {
		backend := &fakeBackend{}
		other := sheets
		other.Text = "Note: none."
		got := runWith(backend, "save", writeDocument(changedOrders(), other))
		Expect(got.code).To(Equal(exitRefused))
		Expect(got.err).To(ContainSubstring(`section "Sheets" belongs to team "print-room"`))
		Expect(backend.saved).To(BeEmpty())
	})

	// Guards against a file that keeps an old version although its text is in force,
	// so that its next save would fail as a race. A save whose answer is lost leaves
	// such a file.
	It("writes the version in force into the file when the text is the same", func() {
		old := orders
		old.Version = 6
		file := writeDocument(old)
		Expect(runWith(&fakeBackend{}, "save", file).code).To(BeZero())
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring("version 7."))
	})

	// Guards against a save without changes that creates a version, and a diff that
	// hides a change.
	It("saves nothing and shows no differences when the text is in force", func() {
		backend := &fakeBackend{}
		file := writeDocument(orders, sheets)
		Expect(runWith(backend, "save", file).out).To(HavePrefix("nothing to save"))
		Expect(backend.saved).To(BeEmpty())
		Expect(runWith(backend, "diff", file).out).To(Equal("no differences\n"))
		got := runWith(backend, "diff", writeDocument(changedOrders())).out
		Expect(got).To(And(ContainSubstring("\n-"+ordersText), ContainSubstring("\n+"+changedOrders().Text)))
	})

	// Guards against restoring an earlier text with a base version other than the one
	// in force, which would overwrite a version that the operator has not seen.
	It("restores an earlier version as a change of the one in force", func() {
		backend := &fakeBackend{}
		got := runWith(backend, "take-back", "2")
		Expect(got.code).To(BeZero(), got.err)
		Expect(backend.saved).To(HaveLen(1))
		Expect(backend.saved[0].BaseVersion).To(BeEquivalentTo(7))
		Expect(backend.saved[0].Text).To(Equal("Note: empty."))
		Expect(runWith(backend, "take-back", "x").code).To(Equal(exitUsage))
		Expect(runWith(backend, "take-back", "9").code).To(Equal(exitRefused))
	})

	// Guards against a panic that shows an operator a stack trace.
	It("reports a panic without a stack trace", func() {
		got := runWith(nil, "services")
		Expect(got.code).To(Equal(exitUnreachable))
		Expect(got.err).To(And(ContainSubstring("please report it"), Not(ContainSubstring("goroutine"))))
	})
})
