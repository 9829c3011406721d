package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flag bits of a packet, as PROTOCOL.md specifies them.
const (
	flagRST = 1
	flagFIN = 16
	flagSYN = 32
	flagACK = 128
)

// headBytes is the length of the head of a packet.
const headBytes = 34

// packet is a packet between a client and an endpoint.
type packet struct {
	seq, ack, echo uint32
	from, to       netip.AddrPort
	flags          byte
	data           []byte
	sum            uint32
}

func (p *packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
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
	binary.BigEndian.PutUint32(b[14:], sumOf(b))
	return b
}

// sumOf covers everything but echo, the sum and the bytes after the flags. It is never 0, which marks a reset of the system.
func sumOf(b []byte) uint32 {
	c := crc32.NewIEEE()
	_, _ = c.Write([]byte("key of the stand-ins")) // a hash never fails
	_, _ = c.Write(b[:10])
	_, _ = c.Write(b[18:31])
	_, _ = c.Write(b[headBytes:])
	return c.Sum32() | 1
}

// decode returns the packet in b, or nil if it is malformed or its sum is wrong. A sum of 0 is accepted.
func decode(b []byte) *packet {
	if len(b) < headBytes || int(binary.BigEndian.Uint16(b)) != len(b)-headBytes {
		return nil
	}
	p := &packet{
		seq: binary.BigEndian.Uint32(b[2:]), ack: binary.BigEndian.Uint32(b[6:]), echo: binary.BigEndian.Uint32(b[10:]),
		sum: binary.BigEndian.Uint32(b[14:]), flags: b[30], data: b[headBytes:],
		from: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[26:30])), binary.BigEndian.Uint16(b[18:])),
		to:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[22:26])), binary.BigEndian.Uint16(b[20:])),
	}
	if p.sum != 0 && p.sum != sumOf(b) {
		return nil
	}
	return p
}
