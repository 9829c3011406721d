package flow

import (
	"encoding/binary"
	"net/netip"

	"cassiawood/internal/directory"
)

// packetContext holds a packet and the results of the lookups for it.
type packetContext struct {
	packet       *Packet
	svc          *Service
	bucket       directory.Bucket
	bucketNumber int
	key          flowKey
	hash         uint64
	handoff      *Handoff // hand-off option for the packet if it is handed off
}

// isFirst reports whether the packet is the first of a flow, a SYN from the caller.
func (pc *packetContext) isFirst() bool {
	return pc.packet.Direction == FromCaller && pc.packet.Protocol == ProtocolTCP && pc.packet.Flags&(SYN|ACK) == SYN
}

// needsFirstHolder reports whether the first holder must see the packet, because it begins
// or may end the flow.
func (pc *packetContext) needsFirstHolder() bool {
	return pc.isFirst() || (pc.packet.Protocol == ProtocolTCP && pc.packet.Flags&(FIN|RST) != 0)
}

// packAddress packs an IPv4 address, port and protocol into a map key.
func packAddress(a netip.AddrPort, protocol uint8) (uint64, bool) {
	if !a.Addr().Is4() {
		return 0, false
	}
	ip := a.Addr().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<32 | uint64(a.Port())<<8 | uint64(protocol), true
}

// lookUp finds the service, the flow key and the bucket of a packet.
func (e *Engine) lookUp(pc *packetContext) Reason {
	p := pc.packet
	address, cached := p.Service, e.services
	if p.Direction == FromBackend {
		address, cached = p.Backend, e.backends
	}
	packed, ok := packAddress(address, p.Protocol)
	if !ok {
		return ReasonMalformed
	}
	if pc.svc = cached[packed]; pc.svc == nil {
		svc, r := e.findService(p)
		if r != NoReason {
			return r
		}
		pc.svc = &svc
		cached[packed] = pc.svc
	}
	if pc.key, ok = makeKey(p.Caller, pc.svc.Address, p.Protocol); !ok {
		return ReasonMalformed
	}
	pc.hash = pc.key.hash()
	pc.bucketNumber = int(pc.hash & uint64(pc.svc.BucketCount-1))
	pc.bucket = pc.svc.Buckets.Bucket(pc.bucketNumber)
	return NoReason
}

// findService finds the service of a packet in the table. For a response, it is the service
// of the source endpoint: at most one endpoint at an address is not a tombstone.
func (e *Engine) findService(p *Packet) (Service, Reason) {
	if p.Direction == FromCaller {
		svc, ok := e.table.Service(p.Service, p.Protocol)
		if !ok {
			return svc, ReasonNoService
		}
		return svc, NoReason
	}
	for _, id := range e.table.EndpointIDsAt(p.Backend) {
		ep, ok := e.endpoint(id)
		if !ok || ep.State == directory.Removed {
			continue
		}
		if svc, ok := e.table.ServiceNamed(ep.Service); ok && svc.Protocol == p.Protocol {
			return svc, NoReason
		}
	}
	return Service{}, ReasonWrongEndpoint
}
