package lab

import (
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"

	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"cassiawood/internal/packet"
)

const (
	nicID = 1
	// innerMTU leaves room for the Geneve header with the longest hand-off option on
	// a path with an MTU of 1500 bytes.
	innerMTU = 1340
)

// link connects a user-space stack with the fabric. It replaces the queue of the
// channel endpoint, which would need another goroutine, by a function call.
type link struct {
	*channel.Endpoint
	send func(inner []byte)
	// dropNewFlows makes inject drop the first packets of connections.
	dropNewFlows    atomic.Bool
	droppedNewFlows atomic.Uint64 // first packets dropped, retransmitted ones included
}

// WritePackets passes the stack's outgoing packets to the fabric. It must not
// block, since the stack calls it with locks held.
func (l *link) WritePackets(packets stack.PacketBufferList) (int, tcpip.Error) {
	for _, p := range packets.AsSlice() {
		b := p.ToBuffer()
		l.send(b.Flatten())
		b.Release()
	}
	return packets.Len(), nil
}

// inject delivers a packet from the fabric to the stack.
func (l *link) inject(inner []byte) {
	if l.dropNewFlows.Load() {
		var h packet.Headers
		if packet.Parse(inner, &h) == nil && h.IsNewFlow() {
			l.droppedNewFlows.Add(1)
			return
		}
	}
	p := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(inner)})
	l.InjectInbound(header.IPv4ProtocolNumber, p)
	p.DecRef()
}

// tcpStack is a user-space TCP stack with its link to the fabric.
type tcpStack struct {
	gvisor *stack.Stack
	link   *link
}

func newTCPStack(addresses []netip.Addr, send func(inner []byte)) (*tcpStack, error) {
	s := stack.New(stack.Options{
		NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
		TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
	})
	l := &link{Endpoint: channel.New(1, innerMTU, ""), send: send}
	if err := s.CreateNIC(nicID, l); err != nil {
		return nil, fmt.Errorf("create interface: %s", err)
	}
	for _, a := range addresses {
		address := tcpip.ProtocolAddress{
			Protocol:          header.IPv4ProtocolNumber,
			AddressWithPrefix: tcpip.AddrFrom4(a.As4()).WithPrefix(),
		}
		if err := s.AddProtocolAddress(nicID, address, stack.AddressProperties{}); err != nil {
			return nil, fmt.Errorf("add address %s: %s", a, err)
		}
	}
	s.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: nicID}})
	sack := tcpip.TCPSACKEnabled(true)
	if err := s.SetTransportProtocolOption(tcp.ProtocolNumber, &sack); err != nil {
		return nil, fmt.Errorf("enable selective acknowledgement: %s", err)
	}
	return &tcpStack{gvisor: s, link: l}, nil
}

// hasOpenConnection reports whether a connection is open or being opened, including those
// that the stack holds and nobody has accepted.
func (t *tcpStack) hasOpenConnection() bool {
	for _, e := range t.gvisor.RegisteredEndpoints() {
		endpoint, ok := e.(tcpip.Endpoint)
		if !ok {
			continue
		}
		switch tcp.EndpointState(endpoint.State()) {
		case tcp.StateSynRecv, tcp.StateEstablished:
			return true
		}
	}
	return false
}

func fullAddress(a netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFrom4(a.Addr().As4()), Port: a.Port()}
}

func addrPort(a tcpip.FullAddress) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(a.Addr.As4()), a.Port)
}

func stackError(err tcpip.Error) error { return errors.New(err.String()) }
