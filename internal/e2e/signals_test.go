package e2e

import (
	"os"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/operator"
	daemon "cassiawood/internal/process"
)

// Guards against a stop that cannot be cut short, and against one that is cut
// short without saying what was lost (P7). Without a control host the host can hand
// nothing over, so its stop waits.
var _ = It("ends an entry host at once on a second signal and says what is lost", func() {
	s := &site{folder: GinkgoT().TempDir(), teams: map[string]operator.ClientOptions{}}
	p := newProcess(s.folder, "entry-a1", "cassiawood-entry")
	s.entries = append(s.entries, p)
	s.writeSettings(p, s.entrySettings(p.name, 0, 1))
	p.start()
	logged := func(text string) {
		GinkgoHelper()
		Eventually(func() (string, error) {
			ended := p.hasEnded() // asked first, so that the log read then is whole
			content, err := os.ReadFile(p.log)
			if err == nil && ended && !strings.Contains(string(content), text) {
				return "", StopTrying(p.name + " ended without the line; are the addresses in use by another run?")
			}
			return string(content), err
		}, never, poll).Should(ContainSubstring(text))
	}
	logged("entry host started")
	p.signal(syscall.SIGTERM)
	logged("handing over records")
	p.signal(syscall.SIGTERM)
	Expect(p.awaitExit()).To(Equal(daemon.ExitAborted))
	logged("second signal")
	logged("lost=")
})
