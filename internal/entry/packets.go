package entry

import (
	"net/netip"
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/flow"
	"cassiawood/internal/packet"
)

const protocolTCP = document.TCP

// names maps the hashes in hand-off options to names of services and hosts, and
// host names to the addresses that receive packets.
type names struct {
	services map[uint64]string
	hosts    map[uint64]string
	address  map[string]netip.AddrPort
}

func (n *names) update(state *directory.State) {
	n.services, n.hosts, n.address = map[uint64]string{}, map[uint64]string{}, map[string]netip.AddrPort{}
	for _, name := range state.Services() {
		n.services[packet.NameHash(name)] = name
	}
	for _, h := range state.Hosts() {
		n.hosts[packet.NameHash(h.Name)] = h.Name
		n.address[h.Name] = h.PacketAddr
	}
}

// packets processes the datagrams of a batch and prepares those to send.
func (d *engineDuty) packets(now time.Duration, b *batch) {
	d.lastSeen = now
	for i := range b.n {
		d.packet(now, &b.slots[i])
	}
}

// packet decodes one datagram, obtains the flow engine's verdict and applies it.
func (d *engineDuty) packet(now time.Duration, s *slot) {
	var g packet.Geneve
	var h packet.Headers
	datagram := s.buffer[s.start:s.end]
	err := packet.DecodeGeneve(datagram, &g)
	if err == nil {
		err = packet.Parse(g.Inner, &h)
	}
	if err != nil {
		d.counters.refuse(err)
		return
	}
	s.start = s.end - len(g.Inner)
	s.end = s.start + h.TotalLen
	p := flow.Packet{
		Protocol: uint8(h.Protocol), Flags: uint8(h.Flags), Sequence: h.Seq, Ack: h.Ack, PayloadLen: h.PayloadLen,
	}
	if g.Handoff != nil && !d.readHandoff(g.Handoff, &p.Handoff) {
		d.counters.refuse(packet.ErrHandoff)
		return
	}
	d.setDirection(&p, &h)
	if p.Handoff.HasRecord {
		// The option omits the fields that the inner packet contains.
		p.Handoff.Record.Caller, p.Handoff.Record.Service, p.Handoff.Record.Protocol = p.Caller, p.Service, p.Protocol
	}
	verdict := d.flow.HandlePacket(now, &p)
	d.carryOut(s, &h, &verdict)
}

// setDirection sets the direction, caller and service of p. A packet to a service
// address comes from a caller, any other from a backend server.
func (d *engineDuty) setDirection(p *flow.Packet, h *packet.Headers) {
	if _, ok := d.state.ServiceByAddress(h.Dst, h.Protocol); ok {
		p.Direction, p.Caller, p.Service = flow.FromCaller, h.Src, h.Dst
		return
	}
	p.Direction, p.Caller, p.Backend = flow.FromBackend, h.Dst, h.Src
	if endpoint, ok := d.state.EndpointByAddress(h.Src); ok {
		if service, ok := d.state.Service(endpoint.Service); ok {
			p.Service = service.Address
		}
	}
}

// readHandoff decodes a hand-off option into to. It returns false if the option is
// malformed or names a service that the directory does not list.
func (d *engineDuty) readHandoff(option []byte, to *flow.Handoff) bool {
	var h packet.Handoff
	if packet.DecodeHandoff(option, &h) != nil {
		return false
	}
	service, ok := d.names.services[h.Service]
	if !ok {
		return false
	}
	// An ingress host that started cut off from the control hosts is not in the
	// directory; it receives no hint.
	ingress := d.names.hosts[h.Ingress]
	*to = flow.Handoff{
		Present: true, HasRecord: h.HasRecord, Hops: h.Hops, AskedCount: h.AskedLen, Bucket: h.Bucket,
		Service: service, Ingress: ingress, AskedAt: h.AskedAt, PassedToSecond: flow.DomainID(h.Passed),
	}
	for i, domain := range h.Asked[:h.AskedLen] {
		to.Asked[i] = flow.DomainID(domain)
	}
	if h.HasRecord {
		to.Record = flow.Record{
			State: flow.RecordState(h.Record.State), Endpoint: h.Record.Endpoint,
			Sequence: h.Record.InitialSequence, Home: flow.DomainID(h.Record.Home),
		}
	}
	return true
}

// writeHandoff converts a hand-off of the flow engine to its encoded form.
func writeHandoff(h *flow.Handoff) packet.Handoff {
	out := packet.Handoff{
		Hops: h.Hops, AskedLen: h.AskedCount, Service: packet.NameHash(h.Service), Ingress: packet.NameHash(h.Ingress),
		AskedAt: h.AskedAt, Bucket: h.Bucket, Passed: uint32(h.PassedToSecond), HasRecord: h.HasRecord,
	}
	for i, domain := range h.Asked[:h.AskedCount] {
		out.Asked[i] = uint32(domain)
	}
	if h.HasRecord {
		out.Record = packet.Record{
			Endpoint: h.Record.Endpoint, State: uint8(h.Record.State), InitialSequence: h.Record.Sequence,
			Home: uint32(h.Record.Home),
		}
	}
	return out
}

// carryOut applies a verdict: it rewrites and wraps the packet or builds a reset.
// A dropped packet leaves the slot without a target.
func (d *engineDuty) carryOut(s *slot, h *packet.Headers, v *flow.Verdict) {
	d.counters.count(v)
	inner := s.buffer[s.start:s.end]
	switch v.Action {
	case flow.ForwardToBackend:
		if packet.RewriteDst(inner, h, v.Address) == nil {
			d.wrap(s, d.fabric, nil)
		}
	case flow.ForwardToCaller:
		if packet.RewriteSrc(inner, h, v.Address) == nil {
			d.wrap(s, d.fabric, nil)
		}
	case flow.HandOff:
		if to, ok := d.names.address[v.Host]; ok {
			option := writeHandoff(&v.Handoff)
			d.wrap(s, to, &option)
		}
	case flow.Reset:
		if reset, ok := packet.AppendReset(s.buffer[headroom:headroom], h); ok {
			s.start, s.end = headroom, headroom+len(reset)
			d.wrap(s, d.fabric, nil)
		}
	case flow.Drop:
	}
}

// wrap writes a Geneve header in front of the inner packet and sets the target of the slot.
func (d *engineDuty) wrap(s *slot, to netip.AddrPort, handoff *packet.Handoff) {
	var header [packet.MaxHeaderLen]byte
	h := packet.AppendGeneve(header[:0], 0, handoff)
	s.start -= len(h)
	copy(s.buffer[s.start:], h)
	s.to = to
}
