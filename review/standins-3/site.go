package main

import (
	_ "embed"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
)

// Bounds of a small deployment, as its page gives them.
const (
	stableWindow = 4 * time.Second
	ackLimit     = 5 * time.Second
	gracePeriod  = 6 * time.Second
)

const (
	controlCount = 3
	controlPort  = 8166
	packetPort   = 8172
	readyPort    = 8167
)

//go:embed settings.toml.tmpl
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

// site is one run of a case: the machines, their folder and the record of what was seen.
type site struct {
	trouble bool
	network int // second byte of all addresses
	// reservation keeps other runs from using the network.
	reservation net.Listener
	folder      string
	begin       time.Time
	random      *rand.Rand

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

func newSite(recordFile string) (*site, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &site{
		trouble: os.Getenv("TROUBLE") != "0", folder: folder, begin: time.Now(), record: record,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	if s.network, s.reservation, err = reserveNetwork(); err != nil {
		return nil, err
	}
	s.note("trouble: %t", s.trouble)
	return s, nil
}

// reserveNetwork returns a second byte of loopback addresses that no other run uses, and the listener that reserves it.
func reserveNetwork() (int, net.Listener, error) {
	for range 50 {
		network := 100 + rand.IntN(150)
		reservation, err := net.Listen("tcp", fmt.Sprintf("127.%d.9.9:%d", network, controlPort))
		if err != nil {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", network, controlPort))
		if err == nil {
			return network, reservation, l.Close()
		}
		_ = reservation.Close()
	}
	return 0, nil, fmt.Errorf("no free loopback network")
}

// note writes a line to the record and to standard output.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%9.4f %s\n", time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

// detail writes a line to the record only.
func (s *site) detail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%9.4f %s\n", time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the folder.
func (s *site) close() {
	for _, p := range s.processes {
		p.end(syscall.SIGKILL)
	}
	_ = s.reservation.Close()
	_ = os.RemoveAll(s.folder)
	_ = s.record.Close()
}

// machine is what the settings file says of a machine.
type machine struct {
	Name, Zone, IP, Folder, Seeds string
	IsControl, FirstStart         bool
	ControlPort, PacketPort       int
	ReadyPort                     int
}

// process is a program of the deploy file on one machine.
type process struct {
	s       *site
	machine machine
	program string

	command *exec.Cmd
	exited  chan struct{}
}

func (s *site) controlAddress(i int) string {
	return fmt.Sprintf("127.%d.1.%d:%d", s.network, i+1, controlPort)
}

func (s *site) seeds() string {
	var list []string
	for i := range controlCount {
		list = append(list, fmt.Sprintf("%q", s.controlAddress(i)))
	}
	return strings.Join(list, ",")
}

// newControl returns the control process of machine i, with an empty disk.
func (s *site) newControl(i int, folder string) *process {
	return s.add(&process{s: s, program: "target/cassiawood-platform-control", machine: machine{
		Name: fmt.Sprintf("core-%d", i+1), Zone: fmt.Sprintf("zone-%d", i+1), IP: fmt.Sprintf("127.%d.1.%d", s.network, i+1), IsControl: true,
		Folder: filepath.Join(folder, fmt.Sprintf("core-%d", i+1)),
	}})
}

func (s *site) add(p *process) *process {
	p.machine.Seeds = s.seeds()
	p.machine.ControlPort, p.machine.PacketPort, p.machine.ReadyPort = controlPort, packetPort, readyPort
	s.processes = append(s.processes, p)
	return p
}

// writeSettings replaces the settings file of the machine.
func (p *process) writeSettings() (string, error) {
	file := filepath.Join(p.s.folder, p.machine.Name+".toml")
	var text strings.Builder
	if err := settingsTemplate.Execute(&text, p.machine); err != nil {
		return "", err
	}
	return file, os.WriteFile(file, []byte(text.String()), 0o600)
}

// start writes the settings file and starts the program.
func (p *process) start(firstStart bool) error {
	p.machine.FirstStart = firstStart
	file, err := p.writeSettings()
	if err != nil {
		return err
	}
	if p.machine.IsControl {
		if err := os.MkdirAll(p.machine.Folder, 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(p.s.folder, p.machine.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(p.program)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CASSIAWOOD_SETTINGS=" + file}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait() // the state of the process tells how it ended
		close(exited)
	}(p.command, p.exited)
	return nil
}

// signal sends a signal. It fails only if the process has ended.
func (p *process) signal(sig syscall.Signal) { _ = p.command.Process.Signal(sig) }

// end sends a signal and waits until the process has ended; after the grace period it is killed.
func (p *process) end(sig syscall.Signal) {
	if p.command == nil || p.command.Process == nil {
		return
	}
	p.signal(sig)
	select {
	case <-p.exited:
	case <-time.After(gracePeriod):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// hasEnded reports whether the process has ended, and how.
func (p *process) hasEnded() (bool, string) {
	select {
	case <-p.exited:
		return true, p.command.ProcessState.String()
	default:
		return false, ""
	}
}

// newEntry returns the entry process of machine i, in a zone.
func (s *site) newEntry(i, zone int) *process {
	return s.add(&process{s: s, program: "target/cassiawood-platform-entry", machine: machine{
		Name: fmt.Sprintf("front-%d", i+1), Zone: fmt.Sprintf("zone-%d", zone+1), IP: fmt.Sprintf("127.%d.3.%d", s.network, i+1),
	}})
}

// packetAddress returns the address at which an entry machine takes packets.
func (p *process) packetAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(p.machine.IP), packetPort)
}

// startSystem starts the core and one entry machine in each zone, and puts the first desired state in force.
func (s *site) startSystem() (controls, entries []*process, err error) {
	for i := range controlCount {
		controls = append(controls, s.newControl(i, s.folder))
		entries = append(entries, s.newEntry(i, i))
	}
	for _, p := range append(append([]*process{}, controls...), entries...) {
		if err := p.start(true); err != nil {
			return nil, nil, err
		}
	}
	if _, ok := s.newOperator().put(firstVersion, time.Now().Add(startLimit)); !ok {
		return nil, nil, fmt.Errorf("the first desired state was not acknowledged")
	}
	return controls, entries, nil
}

// waitEntries waits until all entry machines are ready, which takes servers.
func waitEntries(entries []*process) error {
	for _, p := range entries {
		if !p.waitReady(time.Now().Add(startLimit)) {
			return fmt.Errorf("%s is not ready", p.machine.Name)
		}
	}
	return nil
}

// startLimit bounds the start of a system.
const startLimit = 15 * time.Second

// waitReady asks for the readiness of an entry machine, as the routers do, until it is ready.
func (p *process) waitReady(until time.Time) bool {
	client := &http.Client{Timeout: callTimeout}
	for time.Now().Before(until) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/cassiawood/ready", p.machine.IP, readyPort))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
