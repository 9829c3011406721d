package flow_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/flow"
)

// tableLog is a log of directory entries, from which each host builds its table.
type tableLog struct {
	entries []directory.Entry
	head    *directory.State
}

const modelBuckets = 16

func (l *tableLog) apply(at time.Duration, c directory.Command) directory.Outcome {
	entry := directory.Entry{Index: uint64(len(l.entries) + 1), At: at, Command: c}
	l.entries = append(l.entries, entry)
	return l.head.Apply(entry)
}

// expectApplied applies a command that must not be rejected.
func (l *tableLog) expectApplied(c directory.Command) {
	out := l.apply(0, c)
	Expect(out.Applied).To(BeTrue(), out.Reason)
}

// document puts the services of a document in force.
func (l *tableLog) document(at time.Duration, version uint64, services ...document.Service) {
	id := fmt.Sprint("change", len(l.entries))
	l.apply(at, directory.ChangePrepared{ChangeID: id, Team: "ops", Section: "all", BaseVersion: version, Services: services})
	l.apply(at, directory.ChangeDecided{ChangeID: id, Accepted: true})
}

// commit commits all prepared moves.
func (l *tableLog) commit() {
	for i := 0; i < 4; i++ {
		if _, pending := l.head.OldestPendingMove(); !pending {
			return
		}
		l.apply(0, nil)
		l.apply(0, directory.MovesCommitted{UpTo: l.head.Index()})
	}
}

// state returns a directory built from all entries.
func (l *tableLog) state() *directory.State {
	s := directory.NewWithBuckets(modelBuckets)
	for _, e := range l.entries {
		s.Apply(e)
	}
	return s
}

func modelService(n int, p document.Priority) document.Service {
	return document.Service{
		Name: fmt.Sprint("svc", n), AnnouncedAs: fmt.Sprint("svc", n), Protocol: document.TCP, Priority: p,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(n)}), 443),
	}
}

func modelEndpoint(service, place, instance, domains int) directory.Endpoint {
	return directory.Endpoint{
		Instance: fmt.Sprintf("svc%d-%d-%d", service, place, instance), Service: fmt.Sprint("svc", service),
		Domain: fmt.Sprint("d", place%domains), State: directory.Ready, Slots: 2,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(service), byte(place)}), 8080),
	}
}

// newTableLog returns a log with two services, each with the given number of endpoints, and
// hosts h0, h1 and so on. Endpoints and hosts are assigned to the domains in turn.
func newTableLog(domains, hosts, endpoints int, p document.Priority) *tableLog {
	l := &tableLog{head: directory.NewWithBuckets(modelBuckets)}
	l.document(0, 0, modelService(1, p), modelService(2, p))
	for i := range hosts {
		name := fmt.Sprint("h", i)
		l.expectApplied(directory.HostAdded{Host: directory.Host{Name: name, Incarnation: 1, Domain: fmt.Sprint("d", i%domains)}})
		l.expectApplied(directory.HostActivated{Name: name, Incarnation: 1})
	}
	for s := 1; s <= 2; s++ {
		for place := range endpoints {
			l.expectApplied(directory.EndpointAdded{Endpoint: modelEndpoint(s, place, 1, domains)})
		}
	}
	l.commit()
	return l
}

func engineOf(l *tableLog, host string) *flow.Engine {
	h, _ := l.head.Host(host)
	e := flow.New(flow.Config{Host: host, Incarnation: h.Incarnation, Domain: h.Domain})
	e.RenewLease(1000 * time.Hour)
	e.SetTable(0, flow.TableOf(l.state()))
	return e
}

// engines holds the engine of each host by name.
type engines map[string]*flow.Engine

func enginesOf(l *tableLog) engines {
	es := engines{}
	for _, h := range l.head.Hosts() {
		es[h.Name] = engineOf(l, h.Name)
	}
	return es
}

// update gives the current table to some hosts, or to all if none are named.
func (es engines) update(now time.Duration, l *tableLog, hosts ...string) {
	for name, e := range es {
		if len(hosts) == 0 || slices.Contains(hosts, name) {
			e.SetTable(now, flow.TableOf(l.state()))
		}
	}
	es.exchangeMessages(now)
}

// exchangeMessages delivers messages between the engines until there are no more.
func (es engines) exchangeMessages(now time.Duration) {
	for range 100 {
		quiet := true
		for name, e := range es {
			for _, m := range e.TakeEffects().Messages {
				if to := es[m.To]; to != nil {
					quiet = false
					deliver(to, now, name, m)
				}
			}
		}
		if quiet {
			return
		}
	}
}

func deliver(to *flow.Engine, now time.Duration, from string, m flow.Message) {
	switch {
	case m.Batch != nil:
		to.HandleRecordBatch(now, from, m.Batch)
	case m.Ack != nil:
		to.HandleRecordAck(now, from, *m.Ack)
	case m.Suspects != nil:
		to.HandleSuspects(now, from, m.Suspects)
	case m.Done != nil:
		to.HandleHandoverDone(now, *m.Done)
	default:
		to.HandleHints(now, from, m.Hints)
	}
}

// resolve returns the final verdict for a packet, after all hand-offs from its ingress host.
func (es engines) resolve(now time.Duration, ingress string, p *flow.Packet) flow.Verdict {
	at, q := ingress, *p
	for range 40 {
		e := es[at]
		if e == nil {
			return flow.Verdict{}
		}
		v := e.HandlePacket(now, &q)
		if v.Action != flow.HandOff {
			es.exchangeMessages(now)
			return v
		}
		at, q.Handoff = v.Host, v.Handoff
	}
	Fail("a packet was handed off 40 times without a final verdict")
	return flow.Verdict{}
}
