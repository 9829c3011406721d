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

// nameIndex maps the hashes in hand-off options to names of services and hosts, and
// host names to the addresses that receive packets.
type nameIndex struct {
	serviceNames    map[uint64]string
	hostNames       map[uint64]string
	packetAddresses map[string]netip.AddrPort
}

func (n *nameIndex) update(state *directory.State) {
	n.serviceNames, n.hostNames, n.packetAddresses = map[uint64]string{}, map[uint64]string{}, map[string]netip.AddrPort{}
	for _, name := range state.ServiceNames() {
		n.serviceNames[packet.NameHash(name)] = name
	}
	for _, h := range state.Hosts() {
		n.hostNames[packet.NameHash(h.Name)] = h.Name
		n.packetAddresses[h.Name] = h.PacketAddr
	}
}

// handlePackets processes the datagrams of a batch and prepares those to send.
func (d *engineDuty) handlePackets(now time.Duration, b *batch) {
	d.lastPacketAt = now
	for i := range b.count {
		d.handlePacket(now, &b.slots[i])
	}
}

// handlePacket decodes one datagram, obtains the flow engine's verdict and applies it.
func (d *engineDuty) handlePacket(now time.Duration, s *slot) {
	var g packet.Geneve
	var h packet.Headers
	datagram := s.buffer[s.start:s.end]
	err := packet.DecodeGeneve(datagram, &g)
	if err == nil {
		err = packet.Parse(g.Inner, &h)
	}
	if err != nil {
		d.counters.countMalformed(err)
		return
	}
	s.start = s.end - len(g.Inner)
	s.end = s.start + h.TotalLen
	p := flow.Packet{
		Protocol: uint8(h.Protocol), Flags: uint8(h.Flags), Sequence: h.Seq, Ack: h.Ack, PayloadLen: h.PayloadLen,
	}
	if g.Handoff != nil && !d.decodeHandoff(g.Handoff, &p.Handoff) {
		d.counters.countMalformed(packet.ErrHandoffOption)
		return
	}
	d.setDirection(&p, &h)
	if p.Handoff.HasRecord {
		// The option omits the fields that the inner packet contains.
		p.Handoff.Record.Caller, p.Handoff.Record.Service, p.Handoff.Record.Protocol = p.Caller, p.Service, p.Protocol
	}
	verdict := d.flow.HandlePacket(now, &p)
	d.applyVerdict(s, &h, &verdict)
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

// decodeHandoff decodes a hand-off option into to. It returns false if the option is
// malformed or names a service that the directory does not list.
func (d *engineDuty) decodeHandoff(option []byte, to *flow.Handoff) bool {
	var h packet.Handoff
	if packet.DecodeHandoff(option, &h) != nil {
		return false
	}
	service, ok := d.names.serviceNames[h.Service]
	if !ok {
		return false
	}
	// An ingress host that started cut off from the control hosts is not in the
	// directory; it receives no hint.
	ingress := d.names.hostNames[h.Ingress]
	*to = flow.Handoff{
		Present: true, HasRecord: h.HasRecord, Hops: h.Hops, AskedCount: h.AskedCount, Bucket: h.Bucket,
		Service: service, Ingress: ingress, AskedAt: h.AskedAt, PassedToSecond: flow.DomainID(h.PassedToSecond),
	}
	for i, domain := range h.Asked[:h.AskedCount] {
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

// toPacketHandoff converts a hand-off of the flow engine to its encoded form.
func toPacketHandoff(h *flow.Handoff) packet.Handoff {
	out := packet.Handoff{
		Hops: h.Hops, AskedCount: h.AskedCount, Service: packet.NameHash(h.Service), Ingress: packet.NameHash(h.Ingress),
		AskedAt: h.AskedAt, Bucket: h.Bucket, PassedToSecond: uint32(h.PassedToSecond), HasRecord: h.HasRecord,
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

// applyVerdict applies a verdict: it rewrites and encapsulates the packet or builds a reset.
// A dropped packet leaves the slot without a target.
func (d *engineDuty) applyVerdict(s *slot, h *packet.Headers, v *flow.Verdict) {
	d.counters.countVerdict(v)
	inner := s.buffer[s.start:s.end]
	switch v.Action {
	case flow.ForwardToBackend:
		if packet.RewriteDst(inner, h, v.Address) == nil {
			d.encapsulate(s, d.fabric, nil)
		}
	case flow.ForwardToCaller:
		if packet.RewriteSrc(inner, h, v.Address) == nil {
			d.encapsulate(s, d.fabric, nil)
		}
	case flow.HandOff:
		if to, ok := d.names.packetAddresses[v.Host]; ok {
			option := toPacketHandoff(&v.Handoff)
			d.encapsulate(s, to, &option)
		}
	case flow.Reset:
		if reset, ok := packet.AppendReset(s.buffer[headroomBytes:headroomBytes], h); ok {
			s.start, s.end = headroomBytes, headroomBytes+len(reset)
			d.encapsulate(s, d.fabric, nil)
		}
	case flow.Drop:
	}
}

// encapsulate writes a Geneve header in front of the inner packet and sets the target of the slot.
func (d *engineDuty) encapsulate(s *slot, to netip.AddrPort, handoff *packet.Handoff) {
	var header [packet.MaxHeaderLen]byte
	h := packet.AppendGeneve(header[:0], 0, handoff)
	s.start -= len(h)
	copy(s.buffer[s.start:], h)
	s.target = to
}
