package lab

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"cassiawood/internal/packet"
)

// EntryHost describes an entry host to the fabric.
type EntryHost struct {
	Name   string
	Domain string
	Addr   netip.AddrPort // receives Geneve packets
	// ForwardAddr, if valid, is an address at which the fabric receives the Geneve
	// packets of other entry hosts and forwards them to Addr. When the host publishes
	// it as its own, link faults also apply to packets between entry hosts.
	ForwardAddr netip.AddrPort
}

// Link describes the quality of the path from one failure domain to another.
type Link struct {
	Delay     time.Duration
	Jitter    time.Duration // upper bound of a uniformly distributed addition to Delay; keeps the order of packets
	Loss      float64       // share of packets that are dropped
	Duplicate float64       // share of packets that are delivered twice
	Reorder   float64       // share of packets that are delayed by another Delay plus Jitter
	Cut       bool          // drops every packet
}

// FabricStats counts the packets of the fabric.
type FabricStats struct {
	FromStacks, ToEntryHosts, FromEntryHosts, ToStacks uint64
	BetweenEntryHosts                                  uint64 // through forwarding addresses
	Lost, CutOff, Duplicated, Reordered, Silenced      uint64
	NoEntryHost                                        uint64 // every entry host was removed from the spray
	UnknownSource                                      uint64 // from an address that belongs to no entry host
	UnknownDestination                                 uint64 // to an address that belongs to no attached stack
	Malformed                                          uint64
	Overflow                                           uint64 // dropped because a ring was full
}

// attachment connects a stack to the fabric.
type attachment struct {
	domain    string
	addresses []netip.Addr
	inject    func(inner []byte)
}

// delivery is a packet in transit through the fabric.
type delivery struct {
	due     time.Duration
	order   uint64 // breaks ties of due, so that a run is reproducible
	toEntry netip.AddrPort
	toStack *attachment // nil if the packet goes to an entry host
	inner   []byte      // inner packet, or a complete datagram if raw
	raw     bool        // sent by another entry host and forwarded unchanged
}

// sprayTarget is an entry host that receives the stacks' packets unless it is removed.
type sprayTarget struct {
	EntryHost
	removed bool
}

type linkKey struct{ from, to string }

// linkTable holds the quality of each link.
type linkTable struct {
	inside  Link             // within a failure domain
	between Link             // between failure domains
	links   map[linkKey]Link // those that differ from inside and between
}

func (t *linkTable) linkFor(key linkKey) Link {
	if l, ok := t.links[key]; ok {
		return l
	}
	if key.from == key.to {
		return t.inside
	}
	return t.between
}

// flowPair identifies a connection by the backend server's and the caller's address.
type flowPair struct{ backend, caller netip.AddrPort }

// network decides where and when each packet is delivered. Its decisions depend
// only on the seed and on the packets, times and faults that it is given.
type network struct {
	random           *rand.Rand
	entryHosts       []sprayTarget
	entryIndexByAddr map[netip.AddrPort]int // index in entryHosts
	stacks           map[netip.Addr]*attachment
	linkTable
	lastDue  map[linkKey]time.Duration // of the packets that keep their order
	silenced map[flowPair]bool
	pending  deliveries
	order    uint64
	stats    FabricStats
}

func newNetwork(seed uint64, entryHosts []EntryHost, inside, between Link) *network {
	n := &network{
		random:           rand.New(rand.NewPCG(seed, 0)),
		entryIndexByAddr: map[netip.AddrPort]int{},
		stacks:           map[netip.Addr]*attachment{},
		linkTable:        linkTable{inside: inside, between: between, links: map[linkKey]Link{}},
		lastDue:          map[linkKey]time.Duration{},
		silenced:         map[flowPair]bool{},
	}
	for _, e := range entryHosts {
		n.addEntryHost(e)
	}
	return n
}

// addEntryHost adds an entry host to the spray, or puts a removed one back.
func (n *network) addEntryHost(e EntryHost) {
	for i := range n.entryHosts {
		if n.entryHosts[i].Name == e.Name {
			delete(n.entryIndexByAddr, n.entryHosts[i].Addr)
			n.entryHosts[i] = sprayTarget{EntryHost: e}
			n.entryIndexByAddr[e.Addr] = i
			return
		}
	}
	n.entryIndexByAddr[e.Addr] = len(n.entryHosts)
	n.entryHosts = append(n.entryHosts, sprayTarget{EntryHost: e})
}

func (n *network) attach(a *attachment) {
	for _, address := range a.addresses {
		n.stacks[address] = a
	}
}

func (n *network) detach(a *attachment) {
	for _, address := range a.addresses {
		if n.stacks[address] == a {
			delete(n.stacks, address)
		}
	}
}

// routeFromStack sprays a packet of an attached stack over the entry hosts.
func (n *network) routeFromStack(a *attachment, inner []byte, now time.Duration) {
	n.stats.FromStacks++
	if n.isDetached(a) || n.dropIfSilenced(inner) {
		return
	}
	target := n.pickEntryHost()
	if target == nil {
		n.stats.NoEntryHost++
		return
	}
	n.scheduleDelivery(delivery{toEntry: target.Addr, inner: inner}, linkKey{a.domain, target.Domain}, now)
}

// routeFromEntry routes a packet from an entry host to the stack with its destination address.
func (n *network) routeFromEntry(source netip.AddrPort, inner []byte, now time.Duration) {
	n.stats.FromEntryHosts++
	i, known := n.entryIndexByAddr[source]
	if !known {
		n.stats.UnknownSource++
		return
	}
	var h packet.Headers
	if packet.Parse(inner, &h) != nil {
		n.stats.Malformed++
		return
	}
	a := n.stacks[h.Dst.Addr()]
	if a == nil {
		n.stats.UnknownDestination++
		return
	}
	if n.dropIfSilenced(inner) {
		return
	}
	n.scheduleDelivery(delivery{toStack: a, inner: inner}, linkKey{n.entryHosts[i].Domain, a.domain}, now)
}

// routeBetweenEntries forwards a datagram that an entry host has sent to the
// forwarding address of another one.
func (n *network) routeBetweenEntries(source, target netip.AddrPort, datagram []byte, now time.Duration) {
	n.stats.BetweenEntryHosts++
	from, known := n.entryIndexByAddr[source]
	to, ok := n.entryIndexByAddr[target]
	if !known || !ok {
		n.stats.UnknownSource++
		return
	}
	key := linkKey{n.entryHosts[from].Domain, n.entryHosts[to].Domain}
	n.scheduleDelivery(delivery{toEntry: target, inner: datagram, raw: true}, key, now)
}

func (n *network) isDetached(a *attachment) bool {
	return len(a.addresses) > 0 && n.stacks[a.addresses[0]] != a
}

// dropIfSilenced reports whether a packet belongs to a silenced connection, and
// counts it as dropped if so.
func (n *network) dropIfSilenced(inner []byte) bool {
	if len(n.silenced) == 0 {
		return false
	}
	var h packet.Headers
	if packet.Parse(inner, &h) != nil {
		return false
	}
	if n.silenced[flowPair{h.Src, h.Dst}] || n.silenced[flowPair{h.Dst, h.Src}] {
		n.stats.Silenced++
		return true
	}
	return false
}

// pickEntryHost returns a random entry host that is not removed from the spray, or
// nil if there is none.
func (n *network) pickEntryHost() *sprayTarget {
	usable := 0
	for i := range n.entryHosts {
		if !n.entryHosts[i].removed {
			usable++
		}
	}
	if usable == 0 {
		return nil
	}
	pick := n.random.IntN(usable)
	for i := range n.entryHosts {
		if n.entryHosts[i].removed {
			continue
		}
		if pick == 0 {
			return &n.entryHosts[i]
		}
		pick--
	}
	return nil
}

// scheduleDelivery schedules the delivery of d, subject to the delay and the faults
// of the link from key.from to key.to.
func (n *network) scheduleDelivery(d delivery, key linkKey, now time.Duration) {
	l := n.linkFor(key)
	switch {
	case l.Cut:
		n.stats.CutOff++
		return
	case n.randomBool(l.Loss):
		n.stats.Lost++
		return
	}
	d.due = now + l.Delay + n.randomJitter(l)
	if n.randomBool(l.Reorder) {
		n.stats.Reordered++
		d.due += l.Delay + l.Jitter
	} else {
		d.due = max(d.due, n.lastDue[key])
		n.lastDue[key] = d.due
	}
	n.push(d)
	if n.randomBool(l.Duplicate) {
		n.stats.Duplicated++
		d.due += n.randomJitter(l)
		d.inner = append([]byte(nil), d.inner...) // the receiver owns its packet
		n.push(d)
	}
}

func (n *network) push(d delivery) {
	n.order++
	d.order = n.order
	heap.Push(&n.pending, d)
}

// popDue removes and returns the next delivery that is due by now.
func (n *network) popDue(now time.Duration) (delivery, bool) {
	if len(n.pending) == 0 || n.pending[0].due > now {
		return delivery{}, false
	}
	return heap.Pop(&n.pending).(delivery), true
}

// randomBool returns true with the given probability.
func (n *network) randomBool(share float64) bool {
	return share > 0 && n.random.Float64() < share
}

func (n *network) randomJitter(l Link) time.Duration {
	if l.Jitter <= 0 {
		return 0
	}
	return time.Duration(n.random.Int64N(int64(l.Jitter)))
}

// deliveries is a heap ordered by due time.
type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if d[i].due != d[j].due {
		return d[i].due < d[j].due
	}
	return d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }

// Pop implements heap.Interface.
func (d *deliveries) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = delivery{}
	*d = (*d)[:last]
	return x
}
