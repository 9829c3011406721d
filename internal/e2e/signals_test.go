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

// Guards against a graceful stop that a second signal cannot abort, and against an
// aborted stop that does not log what was lost (docs/design.md, section 1.1, P7). The test starts
// no control host, so the entry host cannot hand its records over and its stop waits.
var _ = It("exits at once on a second signal and logs what is lost", func() {
	s := &site{folder: GinkgoT().TempDir(), teams: map[string]operator.ClientOptions{}}
	p := newProcess(s.folder, "entry-a1", "cassiawood-entry")
	s.entries = append(s.entries, p)
	s.writeSettings(p, s.entrySettings(p.name, 0, 1))
	p.start()
	awaitLog := func(text string) {
		GinkgoHelper()
		Eventually(func() (string, error) {
			exited := p.hasExited() // checked before the read, so that the log of an exited process is complete
			content, err := os.ReadFile(p.log)
			if err == nil && exited && !strings.Contains(string(content), text) {
				return "", StopTrying(p.name + " exited without logging the text; are the addresses in use by another run?")
			}
			return string(content), err
		}, eventTimeout, pollInterval).Should(ContainSubstring(text))
	}
	awaitLog("entry host started")
	p.signal(syscall.SIGTERM)
	awaitLog("handing over records")
	p.signal(syscall.SIGTERM)
	Expect(p.awaitExit()).To(Equal(daemon.ExitAborted))
	awaitLog("second signal")
	awaitLog("lost=")
})
