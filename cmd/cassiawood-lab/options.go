package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"cassiawood/internal/lab"
)

// callerAddresses is the number of source addresses of callers per service. Each
// provides about 49,000 ports.
const callerAddresses = 16

// maxPerByte is the largest number of services, and of backend servers of a
// service: the address plan has one byte for each.
const maxPerByte = 254

// options holds the demo's options after validation.
type options struct {
	lab      lab.Config
	duration time.Duration
	level    slog.Level
}

// demoService is the value of one -service flag.
type demoService struct {
	name                  string
	target                netip.AddrPort
	requestsPerConnection int // 0: use -requests-per-connection
}

// demoFlags holds the parsed flags before validation.
type demoFlags struct {
	entries                                                    []lab.EntryHost
	services                                                   []demoService
	proxies                                                    []lab.ProxyConfig
	announce                                                   []string
	timeline                                                   []lab.TimedAction
	inside, between                                            string
	fabric, probes, token                                      string
	backends, connections, slots, queue, requestsPerConnection int
	pause, work, coldStart, lease, requestTimeout, openAfter   time.Duration
	body                                                       int
	openRate, idempotent                                       float64
	seed                                                       uint64
	duration                                                   time.Duration
	verbose                                                    bool
}

func parseOptions(args []string, diagnostics io.Writer) (*options, error) {
	f := &demoFlags{}
	set := flag.NewFlagSet("cassiawood-lab demo", flag.ContinueOnError)
	set.SetOutput(diagnostics)
	f.defineLists(set)
	f.defineValues(set)
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	if set.NArg() > 0 {
		return nil, fmt.Errorf("unexpected argument %q", set.Arg(0))
	}
	return f.options()
}

func (f *demoFlags) defineLists(set *flag.FlagSet) {
	set.Func("entry", "entry host `NAME,DOMAIN,ADDRESS:PORT[,FORWARD:PORT]` with its Geneve address, and the address at which the fabric receives other entry hosts' packets for it; repeat for each", func(text string) error {
		e, err := parseEntryHost(text)
		f.entries = append(f.entries, e)
		return err
	})
	set.Func("service", "service `NAME,ADDRESS:PORT[,REQUESTS]`, with the number of requests after which a connection is "+
		"closed and reopened; repeat for each", func(text string) error {
		s, err := parseService(text)
		f.services = append(f.services, s)
		return err
	})
	set.Func("proxy", "`LISTEN:PORT,TARGET:PORT,DOMAIN`: forwards TCP connections to a process with the links of its failure domain; repeat for each", func(text string) error {
		fields := strings.Split(text, ",")
		if len(fields) != 3 {
			return errors.New("want LISTEN:PORT,TARGET:PORT,DOMAIN")
		}
		listen, err1 := netip.ParseAddrPort(fields[0])
		target, err2 := netip.ParseAddrPort(fields[1])
		f.proxies = append(f.proxies, lab.ProxyConfig{Listen: listen, Target: target, Domain: fields[2]})
		return errors.Join(err1, err2)
	})
	set.Func("announce", "announcement `URL` of an entry host, such as http://127.0.1.1:8080/v1/announce; repeat for each", func(text string) error {
		f.announce = append(f.announce, text)
		return nil
	})
	set.Func("at", "`ACTION` at a time, such as \"5s drain order-desk-1\"; repeat for each", func(text string) error {
		action, err := lab.ParseTimedAction(text)
		f.timeline = append(f.timeline, action)
		return err
	})
}

func parseService(text string) (demoService, error) {
	fields := strings.Split(text, ",")
	if len(fields) != 2 && len(fields) != 3 {
		return demoService{}, errors.New("want NAME,ADDRESS:PORT[,REQUESTS]")
	}
	s := demoService{name: fields[0]}
	var err error
	if s.target, err = netip.ParseAddrPort(fields[1]); err != nil || len(fields) == 2 {
		return s, err
	}
	s.requestsPerConnection, err = strconv.Atoi(fields[2])
	return s, err
}

func parseEntryHost(text string) (lab.EntryHost, error) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 && len(fields) != 4 {
		return lab.EntryHost{}, errors.New("want NAME,DOMAIN,ADDRESS:PORT[,FORWARD:PORT]")
	}
	e := lab.EntryHost{Name: fields[0], Domain: fields[1]}
	var err error
	if e.Addr, err = netip.ParseAddrPort(fields[2]); err != nil || len(fields) == 3 {
		return e, err
	}
	e.ForwardAddr, err = netip.ParseAddrPort(fields[3])
	return e, err
}

func (f *demoFlags) defineValues(set *flag.FlagSet) {
	set.StringVar(&f.fabric, "fabric", "127.0.0.1:6081", "`address` of the fabric, to which entry hosts send")
	set.StringVar(&f.probes, "probes", "127.0.0.1:0", "listening `address` of each backend server's health and load endpoints")
	set.StringVar(&f.token, "token", "", "bearer token of announcements")
	set.StringVar(&f.inside, "inside", "", "link within a failure domain, such as \"delay=0.1ms loss=0.001\"")
	set.StringVar(&f.between, "between", "delay=3ms jitter=500us", "link between failure domains")
	set.IntVar(&f.backends, "backends", 6, "backend servers per service, spread over the failure domains")
	set.IntVar(&f.connections, "connections", 200, "connections of callers per service")
	set.IntVar(&f.slots, "slots", 2, "requests that a backend server runs at once")
	set.IntVar(&f.queue, "queue", 64, "requests that may wait at a backend server")
	set.IntVar(&f.requestsPerConnection, "requests-per-connection", 0, "requests after which a connection is closed and reopened; 0 keeps it open")
	set.DurationVar(&f.pause, "pause", 500*time.Millisecond, "mean pause between two requests of a connection")
	set.DurationVar(&f.work, "work", 5*time.Millisecond, "mean time that a request occupies a slot")
	set.DurationVar(&f.coldStart, "cold-start", 0, "time that a backend server is in state \"starting\"")
	set.DurationVar(&f.lease, "lease", 6*time.Second, "lease of an announcement")
	set.DurationVar(&f.requestTimeout, "request-timeout", 0, "time after which a caller gives up a request; 0 waits forever")
	set.DurationVar(&f.openAfter, "open-after", 2*time.Second, "time until callers open their first connection; backend servers must have announced themselves by then")
	set.IntVar(&f.body, "body", 500, "bytes of a request's and a response's body")
	set.Float64Var(&f.openRate, "open-rate", 500, "connections opened per second and service at the start")
	set.Float64Var(&f.idempotent, "idempotent", 0.5, "share of idempotent requests")
	set.Uint64Var(&f.seed, "seed", 1, "seed of all random choices")
	set.DurationVar(&f.duration, "duration", 30*time.Second, "time until the last request")
	set.BoolVar(&f.verbose, "v", false, "log in detail")
}

func (f *demoFlags) options() (*options, error) {
	listen, err := netip.ParseAddrPort(f.fabric)
	if err != nil {
		return nil, fmt.Errorf("-fabric: %w", err)
	}
	inside, err1 := lab.ParseLink(strings.Fields(f.inside))
	between, err2 := lab.ParseLink(strings.Fields(f.between))
	if err := errors.Join(err1, err2); err != nil {
		return nil, fmt.Errorf("-inside or -between: %w", err)
	}
	if len(f.entries) == 0 || len(f.services) == 0 {
		return nil, errors.New("at least one -entry and one -service are needed")
	}
	if f.backends < 1 || f.backends > maxPerByte || len(f.services) > maxPerByte {
		return nil, fmt.Errorf("got %d backend servers of each of %d services; the address plan has room for 1 to %d backend servers of up to %d services",
			f.backends, len(f.services), maxPerByte, maxPerByte)
	}
	o := &options{duration: f.duration, level: slog.LevelInfo}
	if f.verbose {
		o.level = slog.LevelDebug
	}
	o.lab = lab.Config{
		Fabric:   lab.FabricConfig{Listen: listen, EntryHosts: f.entries, Inside: inside, Between: between, Seed: f.seed},
		Proxies:  f.proxies,
		Timeline: f.timeline,
	}
	for i, s := range f.services {
		o.lab.Backends = append(o.lab.Backends, f.backendConfigs(i, s)...)
		o.lab.Callers = append(o.lab.Callers, f.callersConfig(i, s))
	}
	return o, nil
}

// backendConfigs returns the backend servers of service i, with the addresses
// 10.7.i.1 and following, spread over the failure domains.
func (f *demoFlags) backendConfigs(i int, s demoService) []lab.BackendConfig {
	var domains []string
	seen := map[string]bool{}
	for _, e := range f.entries {
		if !seen[e.Domain] {
			seen[e.Domain] = true
			domains = append(domains, e.Domain)
		}
	}
	configs := make([]lab.BackendConfig, f.backends)
	for n := range configs {
		configs[n] = lab.BackendConfig{
			Instance: fmt.Sprintf("%s-%d", s.name, n+1), Service: s.name, Domain: domains[n%len(domains)],
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 7, byte(i), byte(n + 1)}), 8080),
			Slots:   f.slots, QueueLimit: f.queue, ColdStart: f.coldStart, Lease: f.lease,
			AnnounceURLs: f.announce, Token: f.token, ProbeListen: f.probes,
		}
	}
	return configs
}

// callersConfig returns the callers of service i, with the addresses 10.1.i.1 and
// following.
func (f *demoFlags) callersConfig(i int, s demoService) lab.CallersConfig {
	addresses := make([]netip.Addr, callerAddresses)
	for n := range addresses {
		addresses[n] = netip.AddrFrom4([4]byte{10, 1, byte(i), byte(n + 1)})
	}
	requestsPerConnection := f.requestsPerConnection
	if s.requestsPerConnection > 0 {
		requestsPerConnection = s.requestsPerConnection
	}
	return lab.CallersConfig{
		Name: "callers-" + s.name, Group: uint64(i + 1), Domain: "callers", Addresses: addresses,
		Service: s.name, Target: s.target, Connections: f.connections, OpenAfter: f.openAfter, OpenPerSecond: f.openRate,
		RequestsPerConnection: requestsPerConnection, Pause: f.pause, Work: f.work, BodyBytes: f.body,
		IdempotentShare: f.idempotent, Retries: 1, RequestTimeout: f.requestTimeout, Seed: f.seed,
	}
}
