package main

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/audit"
)

// writeTrail writes an audit trail of three records, altered by edit, and returns
// its path.
func writeTrail(edit func(lines []string) string) string {
	GinkgoHelper()
	file := filepath.Join(GinkgoT().TempDir(), "audit.jsonl")
	trail, err := audit.Open(file)
	Expect(err).NotTo(HaveOccurred())
	for i := uint64(1); i <= 3; i++ {
		at := time.Date(2026, 5, int(i), 12, 0, 0, 0, time.UTC)
		Expect(trail.Append(audit.Record{Index: i, At: at, Action: "decide change", Author: "ann", Outcome: "accepted"})).To(Succeed())
	}
	Expect(trail.Close()).To(Succeed())
	text, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(file, []byte(edit(strings.SplitAfter(string(text), "\n"))), 0o640)).To(Succeed())
	return file
}

var _ = Describe("cassiawood audit", func() {
	unaltered := func(lines []string) string { return strings.Join(lines, "") }

	// Guards against a broken trail that is reported as intact or with the wrong
	// line, and against an intact one that is reported as broken.
	DescribeTable("verifies a trail",
		func(code int, wanted string, edit func(lines []string) string) {
			got := runWith(nil, "audit", writeTrail(edit))
			Expect(got.code).To(Equal(code))
			Expect(got.out + got.err).To(ContainSubstring(wanted))
		},
		Entry("an intact trail", exitOK, "is whole, 3 records", unaltered),
		Entry("an empty trail", exitOK, "has no records", func([]string) string { return "" }),
		Entry("an altered author", exitRefused, "is broken at line 2: the record does not match its hash; the lines before it are whole",
			func(l []string) string { return l[0] + strings.Replace(l[1], "ann", "bob", 1) + l[2] }),
		Entry("a removed line", exitRefused, "is broken at line 2: the record does not follow the one before it",
			func(l []string) string { return l[0] + l[2] }),
		Entry("a removed first line", exitRefused, "is broken at line 1: the record does not follow the one before it; no record before it is good",
			func(l []string) string { return l[1] + l[2] }),
		Entry("exchanged lines", exitRefused, "is broken at line 2", func(l []string) string { return l[0] + l[2] + l[1] }),
		Entry("a line that is not a record", exitRefused, "is broken at line 3: not a record",
			func(l []string) string { return l[0] + l[1] + "hello\n" }),
		Entry("a line without its newline", exitRefused, "ends in the middle of line 3",
			func(l []string) string { return l[0] + l[1] + strings.TrimSuffix(l[2], "\n") }),
	)

	// Guards against a missing file with the exit code of a broken trail, and
	// against JSON without the hash that operators compare.
	It("distinguishes a missing file from a broken trail and prints JSON", func() {
		Expect(runWith(nil, "audit", filepath.Join(GinkgoT().TempDir(), "none")).code).To(Equal(exitUsage))
		got := runWith(nil, "audit", "-json", writeTrail(unaltered))
		Expect(got.code).To(Equal(exitOK))
		Expect(got.out).To(And(ContainSubstring(`"records": 3`), ContainSubstring(`"lastHash": "`)))
	})
})
