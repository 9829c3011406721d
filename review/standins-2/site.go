package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the machines. Each machine has a loopback address of its own.
const (
	linkPort     = 7720
	controlPort  = 8166
	readyPort    = 8167
	datagramPort = 8172
	metricsPort  = 9464
	endpointPort = 8080
)

// Kinds of machines: the third byte of their addresses.
const (
	controlKind = iota + 2
	entryKind
	endpointKind
	clientKind
	routeKind
)

// The commands of the deploy file, which run in the repository root.
const (
	entryCommand   = "target/cassiawood-platform-entry"
	controlCommand = "target/cassiawood-platform-control"
)

const (
	heartbeatInterval = 1200 * time.Millisecond // of kp-lb
	graceTime         = 6 * time.Second         // graceS of kp-lb
)

// site is a small deployment with the bounds of kp-lb.
type site struct {
	record   *record
	folder   string // settings, data and logs
	network  byte   // second byte of all addresses
	seeds    []string
	machines []*machine
}

// newSite returns a site on a free part of the loopback addresses.
func newSite(r *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, folder: folder}
	for offset := range 100 {
		s.network = byte(100 + (os.Getpid()+offset)%100)
		if s.isFree() {
			return s, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func (s *site) isFree() bool {
	for _, kind := range []int{controlKind, entryKind} {
		for number := range 4 {
			l, err := net.Listen("tcp", netip.AddrPortFrom(s.address(kind, number), metricsPort).String())
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *site) address(kind, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.network, byte(kind), byte(number + 1)})
}

func (s *site) controlAddress(number int) string {
	return netip.AddrPortFrom(s.address(controlKind, number), controlPort).String()
}

func zoneName(number int) string { return fmt.Sprintf("zone-%d", number) }

// machine is a machine with one process of the system.
type machine struct {
	site          *site
	name, command string
	ip            netip.Addr
	zone          string
	disk          bool
	mu            sync.Mutex
	process       *exec.Cmd
	ended         chan struct{}
	starts        int
	stopping      bool // the stand-in has ended the process
}

// addMachine adds a machine, which does not run yet. number tells its address among those of its kind.
func (s *site) addMachine(kind, number int, zone string) *machine {
	m := &machine{site: s, ip: s.address(kind, number), zone: zone, command: entryCommand, name: fmt.Sprintf("entry-%d", number+1)}
	if kind == controlKind {
		m.command, m.name, m.disk = controlCommand, fmt.Sprintf("control-%d", number+1), true
	}
	s.machines = append(s.machines, m)
	return m
}

func (m *machine) dataFolder() string { return filepath.Join(m.site.folder, m.name) }

func (m *machine) settings(firstStart bool) []byte {
	values := struct {
		Node, Serves, Class, Zone, DataFolder                             string
		IP                                                                netip.Addr
		FirstPort, LastPort, ControlPort, DatagramPort, ReadyPort, GraceS int
		HeartbeatMs                                                       int64
		Seeds, Zones                                                      []string
		FirstStart, HasDisk                                               bool
	}{
		Node: m.name, Serves: "frontend", Class: "frontend", Zone: m.zone, DataFolder: m.dataFolder(), IP: m.ip, FirstPort: linkPort, LastPort: linkPort + 15,
		ControlPort: controlPort, DatagramPort: datagramPort, ReadyPort: readyPort, GraceS: int(graceTime.Seconds()),
		HeartbeatMs: heartbeatInterval.Milliseconds(), Seeds: m.site.seeds, FirstStart: firstStart, HasDisk: m.disk,
	}
	if m.disk {
		values.Serves, values.Class = "control_plane", "core"
	}
	for i := range 3 {
		values.Zones = append(values.Zones, zoneName(i))
	}
	return body("settings.toml.tmpl", values)
}

// start writes the settings and starts the process.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.disk {
		if err := os.MkdirAll(m.dataFolder(), 0o700); err != nil {
			return err
		}
	}
	file := filepath.Join(m.site.folder, m.name+".toml")
	if err := os.WriteFile(file, m.settings(m.starts == 0 && m.site.isFirstStart(m)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.site.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := exec.Command(m.command)
	p.Env = append(os.Environ(), "CASSIAWOOD_SETTINGS="+file)
	p.Stdout, p.Stderr = log, log
	if err := p.Start(); err != nil {
		return err
	}
	m.starts++
	m.process, m.ended, m.stopping = p, make(chan struct{}), false
	m.site.record.say("platform: %s starts, zone %s", m.name, m.zone)
	go m.wait(p, log, m.ended)
	return nil
}

func (m *machine) wait(p *exec.Cmd, log *os.File, ended chan struct{}) {
	err := p.Wait()
	_ = log.Close()
	result := "exit code 0"
	if err != nil {
		result = err.Error()
	}
	m.mu.Lock()
	m.site.record.say("platform: %s has ended: %s, asked to end: %t", m.name, result, m.stopping)
	m.mu.Unlock()
	close(ended)
}

// isFirstStart reports whether a machine that starts for the first time belongs to the first start of the whole system.
func (s *site) isFirstStart(m *machine) bool {
	for _, seed := range s.seeds {
		if m.disk && seed == netip.AddrPortFrom(m.ip, controlPort).String() {
			return true
		}
	}
	return !m.disk
}

func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		m.stopping = true
	}
	m.site.record.say("platform: signal to %s: %v", m.name, sig)
	_ = m.process.Process.Signal(sig) // fails only if the process has ended
}

// end sends a signal and waits for the end. After the grace time it kills.
func (m *machine) end(sig syscall.Signal) {
	m.signal(sig)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(graceTime):
		m.signal(syscall.SIGKILL)
		<-ended
	}
}

// stop ends all processes of the site and removes its folder, unless KEEP is set.
func (s *site) stop() {
	for _, m := range s.machines {
		m.signal(syscall.SIGCONT)
		m.end(syscall.SIGKILL)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// loseDisk empties the disk of a machine whose process has ended.
func (m *machine) loseDisk() error {
	m.site.record.say("platform: the disk of %s is lost", m.name)
	return os.RemoveAll(m.dataFolder())
}
