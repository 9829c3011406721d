package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Layout and flags of the packet header.
const (
	headerLength   = 34
	prefixLength   = 8 // the intended endpoint, before a packet to an endpoint
	maxPacketBytes = 2048

	flagRST = 1
	flagFIN = 16
	flagSYN = 32
	flagACK = 128
)

// packet is a packet between a client and an endpoint.
type packet struct {
	seq, ack, echo uint32
	from, to       netip.AddrPort
	flags          byte
	data           []byte
	sum            uint32
}

// fromSystem reports whether the load balancer made the packet: only its resets carry no sum.
func (p *packet) fromSystem() bool { return p.sum == 0 }

func (p *packet) encode() []byte {
	b := make([]byte, headerLength, headerLength+len(p.data))
	binary.BigEndian.PutUint16(b, uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[2:], p.seq)
	binary.BigEndian.PutUint32(b[6:], p.ack)
	binary.BigEndian.PutUint32(b[10:], p.echo)
	binary.BigEndian.PutUint16(b[18:], p.from.Port())
	binary.BigEndian.PutUint16(b[20:], p.to.Port())
	copy(b[22:], p.to.Addr().AsSlice())
	copy(b[26:], p.from.Addr().AsSlice())
	b[30] = p.flags
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[14:], packetSum(b))
	return b
}

// packetSum covers all fields except echo, sum and pad. It is never 0.
func packetSum(b []byte) uint32 {
	c := crc32.NewIEEE()
	_, _ = c.Write(b[:10]) // a hash never fails
	_, _ = c.Write(b[18:31])
	_, _ = c.Write(b[headerLength:])
	return c.Sum32() | 1
}

// decodePacket returns the packet in b, or nil if b is none or its sum is wrong.
func decodePacket(b []byte) *packet {
	if len(b) < headerLength || int(binary.BigEndian.Uint16(b)) != len(b)-headerLength {
		return nil
	}
	p := &packet{
		seq: binary.BigEndian.Uint32(b[2:]), ack: binary.BigEndian.Uint32(b[6:]), echo: binary.BigEndian.Uint32(b[10:]),
		sum: binary.BigEndian.Uint32(b[14:]), flags: b[30], data: append([]byte(nil), b[headerLength:]...),
		from: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[26:30])), binary.BigEndian.Uint16(b[18:])),
		to:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[22:26])), binary.BigEndian.Uint16(b[20:])),
	}
	if p.sum != 0 && p.sum != packetSum(b) {
		return nil
	}
	return p
}
