package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/ring"
)

// logTail is the part of a log that a failed test shows.
const logTail = 3000

// process is a host's process. A host that restarts keeps its name, settings and log.
type process struct {
	name, binary, settings, log string
	command                     *exec.Cmd // nil while none runs
	exited                      *ring.Ring[int]
	logStart                    int64 // where the log of the running process begins
}

func newProcess(folder, name, binary string) *process {
	p := &process{
		name: name, binary: binary,
		settings: filepath.Join(folder, name+".json"), log: filepath.Join(folder, name+".log"),
	}
	DeferCleanup(p.cleanUp)
	return p
}

// start starts the process. The kernel kills it when the test process ends
// without cleaning up, as it does at the limit of go test.
func (p *process) start() {
	GinkgoHelper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	info, err := log.Stat()
	Expect(err).NotTo(HaveOccurred())
	p.logStart = info.Size()
	command := exec.Command(binary(p.binary), "-settings", p.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(command.Start()).To(Succeed())
	exited := ring.New[int]("exit of "+p.name, 1, ring.DropNewest)
	p.command, p.exited = command, exited
	go func() {
		_ = command.Wait() // the state of the process says the same
		_, _ = exited.Put(command.ProcessState.ExitCode())
	}()
}

func (p *process) signal(s syscall.Signal) {
	GinkgoHelper()
	Expect(p.command.Process.Signal(s)).To(Succeed())
}

// awaitExit waits for the end of the process and returns its exit code, which is
// -1 after a signal that it did not handle.
func (p *process) awaitExit() int {
	GinkgoHelper()
	code, err := p.exited.Get()
	Expect(err).NotTo(HaveOccurred())
	p.command = nil
	return code
}

// hasEnded reports whether the process has ended, by itself or not.
func (p *process) hasEnded() bool { return p.command == nil || p.exited.Depth() > 0 }

func (p *process) kill() {
	GinkgoHelper()
	p.signal(syscall.SIGKILL)
	Expect(p.awaitExit()).To(Equal(-1), p.name+" ended by itself")
}

// runningLog returns what the running process has logged.
func (p *process) runningLog() string {
	GinkgoHelper()
	text, err := os.ReadFile(p.log)
	Expect(err).NotTo(HaveOccurred())
	return string(text[p.logStart:])
}

// cleanUp ends the process, and shows the end of its log when the test has failed.
func (p *process) cleanUp() {
	if p.command != nil {
		_ = p.command.Process.Kill() // fails only if the process has ended
		p.awaitExit()
	}
	if !CurrentSpecReport().Failed() {
		return
	}
	text, _ := os.ReadFile(p.log)
	shown := string(text[max(0, len(text)-logTail):])
	fmt.Fprintf(GinkgoWriter, "--- %s\n%s\n", p.name, strings.TrimSpace(shown))
}
