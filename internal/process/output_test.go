package process

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/duty"
)

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "process")
}

// slowWriter blocks every write until release is closed.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *slowWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

var _ = Describe("Output", func() {
	// Guards against a duty that blocks because nothing reads the log.
	It("drops lines that exceed the queue and reports their number", func() {
		w := &slowWriter{release: make(chan struct{})}
		o := NewOutput(w)
		const extra = 10
		for range outputCapacity + extra {
			_, err := o.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		close(w.release)
		o.Close(time.Minute)
		Expect(w.String()).To(ContainSubstring(`"msg":"log lines dropped"`))
		Expect(strings.Count(w.String(), "line\n")).To(BeNumerically(">=", outputCapacity))
	})
})

var _ = Describe("Reload", func() {
	var (
		file  string
		loads chan struct{}
		fails bool
	)
	BeforeEach(func() {
		file, loads, fails = filepath.Join(GinkgoT().TempDir(), "settings"), make(chan struct{}, 8), false
		Expect(os.WriteFile(file, []byte("a"), 0o600)).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		d := Reload(file, slog.New(slog.DiscardHandler), func() error {
			loads <- struct{}{}
			if fails {
				return errors.New("not readable")
			}
			return nil
		})
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx, &duty.Progress{}) }()
		DeferCleanup(func() {
			cancel()
			Eventually(ended, time.Minute).Should(Receive(BeNil()))
		})
	})

	It("loads the file on a signal", func() {
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		Eventually(loads, time.Minute).Should(Receive())
	})

	// Guards against changes of the file that are ignored because no signal was sent, and
	// against a process that exits because the file is invalid.
	It("loads the file when it has changed, also after a failed load", func() {
		fails = true
		text := "a"
		for range 2 {
			// The file grows until a change is detected, since the duty may read its initial state late.
			Eventually(func() chan struct{} {
				text += "a"
				Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
				return loads
			}, time.Minute, 200*time.Millisecond).Should(Receive())
		}
	})
})
