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
	// Guards against a demo that succeeds although no entry host answers.
	It("fails and prints the table when no request was answered", func() {
		var out bytes.Buffer
		err := run([]string{
			"demo", "-fabric", "127.0.0.1:0", "-entry", "e1,a,127.0.0.1:9", "-service", "desk,10.9.0.1:80",
			"-backends", "1", "-connections", "1", "-open-after", "0s", "-duration", "50ms",
		}, &out, io.Discard)
		Expect(err).To(HaveOccurred())
		Expect(out.String()).To(ContainSubstring("imbalance"))
		Expect(out.String()).To(ContainSubstring("desk: no request was answered"))
	})

	// Guards against mistyped flags that are accepted and change the demo silently.
	DescribeTable("rejects invalid flags",
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
