package main

import (
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The commands of the roles in deploy/system.toml.
const (
	entryCommand   = "target/cassiawood-platform-entry"
	controlCommand = "target/cassiawood-platform-control"
)

// The bounds of a small deployment, as the settings file gives them.
const (
	heartbeatInterval = 1200 * time.Millisecond
	drainTime         = 3000 * time.Millisecond  // drainMs
	stableWindow      = 4000 * time.Millisecond  // stableWindowMs
	catchUp           = 4 * time.Second          // catchUpS
	recoveryTime      = 12 * time.Second         // recoveryS
	graceTime         = 6 * time.Second          // graceS
	idleTimeout       = 15000 * time.Millisecond // idleTimeoutMs of the desired state
	flowMax           = 60 * time.Second         // flowMaxS

	// restartTime is the short delay after which the infrastructure starts a process again.
	restartTime = 300 * time.Millisecond
)

// program is one program of the system on its machine.
type program struct {
	name, command, folder string
	zone, class           string
	ip                    netip.Addr
	control               string // address of its control API; empty on an entry host
	site                  *site

	mu      sync.Mutex
	running *exec.Cmd
	exited  chan struct{}
	ending  bool // the case ends it
	starts  int
}

// start writes the settings file and starts the program.
func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.site.ctx.Err(); err != nil {
		return err
	}
	path := filepath.Join(p.folder, p.name+".toml")
	if err := os.WriteFile(path, p.settings(), 0o600); err != nil {
		return err
	}
	p.starts++
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(p.command)
	c.Env = append(os.Environ(), "CASSIAWOOD_SETTINGS="+path)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	p.running, p.exited, p.ending = c, make(chan struct{}), false
	go func(exited chan struct{}) {
		_ = c.Wait() // the state of the process has the exit code
		_ = log.Close()
		close(exited)
		p.restartIfEndedByItself(c)
	}(p.exited)
	p.site.record.line("%s started", p.name)
	return nil
}

// restartIfEndedByItself starts a program again that nobody has ended, as the infrastructure does.
func (p *program) restartIfEndedByItself(c *exec.Cmd) {
	p.mu.Lock()
	ending := p.ending
	p.mu.Unlock()
	if ending || p.site.ctx.Err() != nil {
		return
	}
	p.site.record.line("%s has ended by itself: %v", p.name, c.ProcessState)
	time.Sleep(restartTime)
	if err := p.start(); err != nil {
		p.site.record.line("%s was not started again: %v", p.name, err)
	}
}

func (p *program) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		_ = p.running.Process.Signal(s) // fails only if the process has ended
	}
}

func (p *program) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// end sends a signal and waits until the process has ended; after graceTime it kills the process.
func (p *program) end(s syscall.Signal) {
	p.mu.Lock()
	exited := p.exited
	p.ending = true
	p.mu.Unlock()
	if exited == nil {
		return
	}
	p.site.record.line("%s gets the signal %v", p.name, s)
	p.signal(s)
	select {
	case <-exited:
	case <-time.After(graceTime):
		p.signal(syscall.SIGKILL)
		<-exited
	}
	p.site.record.line("%s has ended", p.name)
}

func (p *program) dataFolder() string { return filepath.Join(p.folder, p.name+".data") }

// diskSwitch returns the file that makes the program's disk slow, full or silent. There is none while the disk is sound.
func (p *program) diskSwitch() string { return p.dataFolder() + ".disk" }

// settings returns the settings file in the format of the platform.
func (p *program) settings() []byte {
	isCore := p.control != ""
	serves := "frontend"
	if isCore {
		serves = "control_plane"
	}
	return body("settings.toml.tmpl", map[string]any{
		"Node": p.name, "Serves": serves, "Class": p.class, "IsCore": isCore, "IP": p.ip, "Zone": p.zone, "Control": p.control,
		"FirstPort": p.site.ports.links, "LastPort": p.site.ports.links + 15, "PacketPort": p.site.ports.packets, "ReadyPort": p.site.ports.ready,
		"Seeds": p.site.controlHosts(), "FirstStart": p.starts == 0 && p.site.isNew, "DataFolder": p.dataFolder(), "DiskSwitch": p.diskSwitch(),
		"HeartbeatMs": heartbeatInterval.Milliseconds(), "StableMs": stableWindow.Milliseconds(), "DrainMs": drainTime.Milliseconds(),
		"CatchUpS": int(catchUp.Seconds()), "GraceS": int(graceTime.Seconds()), "RecoveryS": int(recoveryTime.Seconds()), "FlowMaxS": int(flowMax.Seconds()),
	})
}
