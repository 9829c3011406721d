package settings

import (
	"errors"
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const validEntry = `{
  // An entry host in failure domain a.
  "host": "entry-a1",
  "failureDomain": "a",
  "packetAddress": "127.0.1.1:6081",
  "fabricAddress": "127.0.0.1:6081",
  "peerAddress": "127.0.1.1:7000",
  "announceAddress": "127.0.1.1:8080",
  "telemetryAddress": "127.0.1.1:9090",
  "controlHosts": ["127.0.9.1:7100"],
  "log": {"level": "info", "format": "json"},
  "maxFlows": 1000,
  "drainSeconds": 1,
  "shutdownLimitSeconds": 10,
}`

func decodeFindings(source string, dst checker) []string {
	GinkgoHelper()
	err := decode("f.json", []byte(source), dst)
	var found *FindingsError
	if !errors.As(err, &found) {
		Expect(err).NotTo(HaveOccurred())
		return nil
	}
	var lines []string
	for _, f := range found.Findings {
		lines = append(lines, f.String())
	}
	return lines
}

var _ = Describe("decode", func() {
	It("accepts a complete file with comments and trailing commas", func() {
		Expect(decodeFindings(validEntry, &EntryHost{})).To(BeEmpty())
	})

	// Guards against reporting only the first problem, or a problem at the wrong position.
	It("reports all findings together with their places", func() {
		source := `{
  "hots": "entry-a1",
  "failureDomain": 7,
  "packetAddress": "127.0.1.1",
  "maxFlows": 1,
  "log": {"level": "loud", "format": "json"},
}`
		found := decodeFindings(source, &EntryHost{})
		Expect(found).To(ContainElements(
			`f.json:2:3: "hots": there is no such setting; did you mean "host"?`,
			`f.json:3:20: "failureDomain": must be a text in quotes, but is a number`,
			HavePrefix(`f.json:4:20: "packetAddress": `),
			HavePrefix(`f.json:5:15: "maxFlows": must be from`),
			`f.json:6:20: "log.level": must be debug, info, warn or error`,
			HavePrefix(`f.json:1:1: "controlHosts": is missing`),
		))
	})

	// Guards against plain TCP between hosts over a network.
	It("requires TLS for addresses other than loopback addresses", func() {
		e := EntryHost{}
		Expect(decode("f.json", []byte(validEntry), &e)).To(Succeed())
		var problems []string
		e.PeerAddress = netip.MustParseAddrPort("10.0.0.1:7000")
		e.check(func(path, problem string) { problems = append(problems, path+" "+problem) })
		Expect(problems).To(ConsistOf("tls " + loopbackOnlyProblem))
	})
})

// FuzzDecode guards against a panic on a malformed file.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{validEntry, "", "{", `{"members":[{"id":1}]}`, `[1]`, `{"members":{}}`, "// c"} {
		f.Add(seed)
	}
	f.Fuzz(func(_ *testing.T, source string) {
		_ = decode("f.json", []byte(source), &EntryHost{})
		_ = decode("f.json", []byte(source), &ControlHost{})
	})
}
