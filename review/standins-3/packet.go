package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// headerLength is the length of the head of a packet.
const headerLength = 34

const (
	flagRST = 1
	flagFIN = 16
	flagSYN = 32
	flagACK = 128
)

// packet is a packet between a client and a server.
type packet struct {
	seq, ack, echo uint32
	from, to       netip.AddrPort
	flags          byte
	data           []byte
	sum            uint32
}

// fromSystem reports whether the packet is a reset of the system's own, which has no sum.
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
	binary.BigEndian.PutUint32(b[14:], sumOf(b))
	return b
}

// sumOf covers all fields but the echo, the sum and the three bytes after the flags. It is never 0.
func sumOf(b []byte) uint32 {
	covered := append(append(append([]byte("key"), b[:10]...), b[18:31]...), b[headerLength:]...)
	return crc32.ChecksumIEEE(covered) | 1
}

// decode returns the packet, or nil if it is none that its sender has written so.
func decode(b []byte) *packet {
	if len(b) < headerLength || int(binary.BigEndian.Uint16(b)) != len(b)-headerLength {
		return nil
	}
	p := &packet{
		seq: binary.BigEndian.Uint32(b[2:]), ack: binary.BigEndian.Uint32(b[6:]), echo: binary.BigEndian.Uint32(b[10:]),
		sum: binary.BigEndian.Uint32(b[14:]), flags: b[30], data: append([]byte(nil), b[headerLength:]...),
		from: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[26:30])), binary.BigEndian.Uint16(b[18:])),
		to:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[22:26])), binary.BigEndian.Uint16(b[20:])),
	}
	if p.sum != 0 && p.sum != sumOf(b) {
		return nil
	}
	return p
}
