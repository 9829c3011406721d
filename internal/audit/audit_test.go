package audit_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/audit"
)

func TestAudit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "audit")
}

var _ = Describe("Trail", func() {
	var path string

	appendRecords := func(indexes ...uint64) {
		GinkgoHelper()
		trail, err := audit.Open(path)
		Expect(err).NotTo(HaveOccurred())
		for _, i := range indexes {
			r := audit.Record{Index: i, At: time.Unix(int64(i), 0).UTC(), Action: "save", Author: "ann", Outcome: "accepted"}
			Expect(trail.Append(r)).To(Succeed())
		}
		Expect(trail.Close()).To(Succeed())
	}
	readTrail := func() string {
		GinkgoHelper()
		b, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		return string(b)
	}
	writeTrail := func(text string) {
		GinkgoHelper()
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	}
	BeforeEach(func() { path = filepath.Join(GinkgoT().TempDir(), "audit.jsonl") })

	// Guards against a restart that starts a new chain or records replayed entries twice.
	It("continues the chain after a restart and skips replayed entries", func() {
		appendRecords(3, 5)
		appendRecords(3, 5, 9)
		last, err := audit.Verify(strings.NewReader(readTrail()))
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Index).To(BeEquivalentTo(9))
		Expect(strings.Count(readTrail(), "\n")).To(Equal(3))
	})

	// Guards against an undetected modification of the file.
	DescribeTable("detects a modified trail",
		func(change func(lines []string) []string, line int) {
			appendRecords(1, 2, 3)
			writeTrail(strings.Join(change(strings.SplitAfter(readTrail(), "\n")), ""))
			_, err := audit.Open(path)
			var broken *audit.BrokenChainError
			Expect(errors.As(err, &broken)).To(BeTrue())
			Expect(broken.Line).To(Equal(line))
		},
		Entry("an edited author", func(l []string) []string {
			l[1] = strings.Replace(l[1], "ann", "eve", 1)
			return l
		}, 2),
		Entry("a removed record", func(l []string) []string { return append(l[:1], l[2:]...) }, 2),
		Entry("two records in the wrong order", func(l []string) []string {
			l[1], l[2] = l[2], l[1]
			return l
		}, 2),
	)

	// Guards against a trail that cannot be opened after a crash during a write.
	It("removes a torn last record", func() {
		appendRecords(1, 2)
		complete := readTrail()
		writeTrail(complete + `{"index":3,"at":"19`)
		appendRecords(3)
		last, err := audit.Verify(strings.NewReader(readTrail()))
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Index).To(BeEquivalentTo(3))
		Expect(readTrail()).To(HavePrefix(complete))
	})
})
