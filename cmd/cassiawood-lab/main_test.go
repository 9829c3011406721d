package main

import (
	"bytes"
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCassiawoodLab(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cassiawood-lab")
}

var _ = Describe("demo", func() {
	// Guards against a demo that passes although no entry host answers.
	It("fails when nothing was answered, and prints the table", func() {
		var out bytes.Buffer
		err := run([]string{
			"demo", "-fabric", "127.0.0.1:0", "-entry", "e1,a,127.0.0.1:9", "-service", "desk,10.9.0.1:80",
			"-backends", "1", "-connections", "1", "-open-after", "0s", "-duration", "50ms",
		}, &out, io.Discard)
		Expect(err).To(HaveOccurred())
		Expect(out.String()).To(ContainSubstring("imbalance"))
		Expect(out.String()).To(ContainSubstring("desk: no request was answered"))
	})

	// Guards against a mistyped flag that silently changes what the demo shows.
	DescribeTable("refuses flags that it cannot use",
		func(args ...string) {
			complete := []string{"-entry", "e1,a,127.0.0.1:9", "-service", "desk,10.9.0.1:80"}
			_, err := parseOptions(append(complete, args...), io.Discard)
			Expect(err).To(HaveOccurred())
		},
		Entry("entry host without a domain", "-entry", "e1,127.0.0.1:9"),
		Entry("service without an address", "-service", "desk"),
		Entry("unknown action", "-at", "5s destroy desk-1"),
		Entry("link with a loss above 1", "-between", "loss=2"),
		Entry("too many backend servers", "-backends", "255"),
		Entry("argument", "rest"),
	)
})
