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

// logTailBytes is the number of bytes at the end of a log that a failed test prints.
const logTailBytes = 3000

// process runs the program of a host. After a restart it keeps its name, settings
// and log.
type process struct {
	name, binary, settings, log string
	command                     *exec.Cmd // nil while the program does not run
	exited                      *ring.Ring[int]
	logStart                    int64 // offset at which the log of the running program begins
}

func newProcess(folder, name, binary string) *process {
	p := &process{
		name: name, binary: binary,
		settings: filepath.Join(folder, name+".json"), log: filepath.Join(folder, name+".log"),
	}
	DeferCleanup(p.cleanUp)
	return p
}

// start starts the process. The kernel kills it when the test process exits
// without cleaning up, which happens at the time limit of go test.
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
		_ = command.Wait() // ProcessState holds the same information
		_, _ = exited.Put(command.ProcessState.ExitCode())
	}()
}

func (p *process) signal(s syscall.Signal) {
	GinkgoHelper()
	Expect(p.command.Process.Signal(s)).To(Succeed())
}

// awaitExit waits for the process to exit and returns its exit code, which is -1
// if a signal killed it.
func (p *process) awaitExit() int {
	GinkgoHelper()
	code, err := p.exited.Get()
	Expect(err).NotTo(HaveOccurred())
	p.command = nil
	return code
}

// hasExited reports whether the process has exited, for whatever reason.
func (p *process) hasExited() bool { return p.command == nil || p.exited.Depth() > 0 }

// kill kills the process and checks that it had not exited by itself before.
func (p *process) kill() {
	GinkgoHelper()
	p.signal(syscall.SIGKILL)
	Expect(p.awaitExit()).To(Equal(-1), p.name+" exited by itself")
}

// currentLog returns the log of the process since its latest start.
func (p *process) currentLog() string {
	GinkgoHelper()
	text, err := os.ReadFile(p.log)
	Expect(err).NotTo(HaveOccurred())
	return string(text[p.logStart:])
}

// cleanUp kills the process, and prints the end of its log if the test has failed.
func (p *process) cleanUp() {
	if p.command != nil {
		_ = p.command.Process.Kill() // fails only if the process has exited
		p.awaitExit()
	}
	if !CurrentSpecReport().Failed() {
		return
	}
	text, _ := os.ReadFile(p.log)
	shown := string(text[max(0, len(text)-logTailBytes):])
	fmt.Fprintf(GinkgoWriter, "--- %s\n%s\n", p.name, strings.TrimSpace(shown))
}
