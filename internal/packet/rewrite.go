package packet

import (
	"encoding/binary"
	"net/netip"

	"cassiawood/internal/document"
)

// Offsets of addresses and ports in the IPv4 and transport headers.
const (
	srcAddrOffset = 12
	dstAddrOffset = 16
	srcPortOffset = 0
	dstPortOffset = 2
)

// RewriteDst replaces the destination of p, which Parse has decoded into h, and
// updates h and the checksums. It is used for packets from callers to backend servers.
func RewriteDst(p []byte, h *Headers, to netip.AddrPort) error {
	if err := rewrite(p, h, dstAddrOffset, dstPortOffset, to); err != nil {
		return err
	}
	h.Dst = to
	return nil
}

// RewriteSrc replaces the source of p, which Parse has decoded into h, and updates h
// and the checksums. It is used for packets from backend servers to callers.
func RewriteSrc(p []byte, h *Headers, to netip.AddrPort) error {
	if err := rewrite(p, h, srcAddrOffset, srcPortOffset, to); err != nil {
		return err
	}
	h.Src = to
	return nil
}

func rewrite(p []byte, h *Headers, addrOffset, portOffset int, to netip.AddrPort) error {
	if !to.Addr().Is4() {
		return ErrRewriteAddress
	}
	if len(p) < h.TotalLen || h.TotalLen == 0 {
		return ErrTruncated
	}
	newAddr := to.Addr().As4()
	addr := p[addrOffset : addrOffset+4]
	port := p[h.transportOffset+portOffset : h.transportOffset+portOffset+2]

	// The sum of ~m + m' over the changed 16-bit words m (RFC 1624, equation 3).
	delta := negatedAddressSum(addr) + addressSum(newAddr[:])
	updateChecksum(p[10:12], delta)
	delta += uint32(^binary.BigEndian.Uint16(port)) + uint32(to.Port())
	updateTransportChecksum(p[h.transportOffset:], h.Protocol, delta)

	copy(addr, newAddr[:])
	binary.BigEndian.PutUint16(port, to.Port())
	return nil
}

func updateTransportChecksum(segment []byte, protocol document.Protocol, delta uint32) {
	if protocol == document.TCP {
		updateChecksum(segment[16:18], delta)
		return
	}
	checksum := segment[6:8]
	if binary.BigEndian.Uint16(checksum) == 0 {
		return // the sender computed no checksum (RFC 768)
	}
	updateChecksum(checksum, delta)
	if binary.BigEndian.Uint16(checksum) == 0 {
		binary.BigEndian.PutUint16(checksum, 0xffff) // 0 would mean "no checksum"
	}
}

// updateChecksum applies RFC 1624, equation 3: HC' = ~(~HC + ~m + m').
func updateChecksum(checksum []byte, delta uint32) {
	old := binary.BigEndian.Uint16(checksum)
	binary.BigEndian.PutUint16(checksum, ^foldSum(uint32(^old)+delta))
}

// addressSum adds the two 16-bit words of a 4-byte address.
func addressSum(b []byte) uint32 {
	return uint32(binary.BigEndian.Uint16(b[0:2])) + uint32(binary.BigEndian.Uint16(b[2:4]))
}

// negatedAddressSum adds the one's complements of the two 16-bit words of a 4-byte address.
func negatedAddressSum(b []byte) uint32 {
	return uint32(^binary.BigEndian.Uint16(b[0:2])) + uint32(^binary.BigEndian.Uint16(b[2:4]))
}

// onesComplementSum returns the one's complement sum of the 16-bit words of b
// (RFC 1071), partly folded. It adds 32 bits at a time, since 2^16 is 1 modulo
// 2^16-1; the 16384 additions of the longest packet cannot overflow 64 bits.
func onesComplementSum(b []byte) uint32 {
	var s uint64
	for len(b) >= 4 {
		s += uint64(binary.BigEndian.Uint32(b))
		b = b[4:]
	}
	if len(b) >= 2 {
		s += uint64(binary.BigEndian.Uint16(b))
		b = b[2:]
	}
	if len(b) == 1 {
		s += uint64(b[0]) << 8
	}
	s = s>>32 + s&0xffffffff
	s = s>>16 + s&0xffff
	return uint32(s>>16 + s&0xffff)
}

// foldSum reduces a one's complement sum to 16 bits.
func foldSum(s uint32) uint16 {
	for s > 0xffff {
		s = s>>16 + s&0xffff
	}
	return uint16(s)
}

// transportChecksum computes the TCP or UDP checksum of segment, whose checksum field
// must be zero.
func transportChecksum(src, dst [4]byte, protocol document.Protocol, segment []byte) uint16 {
	pseudo := addressSum(src[:]) + addressSum(dst[:]) + uint32(protocol) + uint32(len(segment))
	return ^foldSum(pseudo + onesComplementSum(segment))
}
