package packet

import (
	"encoding/binary"

	"cassiawood/internal/document"
)

// resetTTL is the recommended initial time to live (RFC 1700).
const resetTTL = 64

// AppendReset appends to dst an IPv4 packet with a TCP reset that answers the
// segment h. It appends nothing and returns false if h is a reset or not TCP over
// IPv4. Sequence numbers follow RFC 9293, section 3.10.7.1, so that a receiver that
// checks them strictly (RFC 5961) accepts the reset.
func AppendReset(dst []byte, h *Headers) ([]byte, bool) {
	if h.Protocol != document.TCP || h.Flags.Has(RST) || !h.Src.Addr().Is4() || !h.Dst.Addr().Is4() {
		return dst, false
	}
	flags, seq, ack := RST, h.Ack, uint32(0)
	if !h.Flags.Has(ACK) {
		flags, seq, ack = RST|ACK, 0, h.Seq+h.SegmentLen()
	}
	var p [ipv4HeaderLen + tcpHeaderLen]byte
	src, to := h.Dst.Addr().As4(), h.Src.Addr().As4()
	putIPv4Header(p[:ipv4HeaderLen], len(p), src, to)
	segment := p[ipv4HeaderLen:]
	binary.BigEndian.PutUint16(segment[0:2], h.Dst.Port())
	binary.BigEndian.PutUint16(segment[2:4], h.Src.Port())
	binary.BigEndian.PutUint32(segment[4:8], seq)
	binary.BigEndian.PutUint32(segment[8:12], ack)
	segment[12] = tcpHeaderLen / 4 << 4
	segment[13] = byte(flags)
	binary.BigEndian.PutUint16(segment[16:18], transportChecksum(src, to, document.TCP, segment))
	return append(dst, p[:]...), true
}

// putIPv4Header writes the header of an unfragmented TCP packet. It sets "don't fragment",
// so the identification field may have any value (RFC 6864, section 4.1).
func putIPv4Header(header []byte, total int, src, dst [4]byte) {
	header[0] = 4<<4 | ipv4HeaderLen/4
	binary.BigEndian.PutUint16(header[2:4], uint16(total))
	header[6] = 0x40
	header[8] = resetTTL
	header[9] = byte(document.TCP)
	copy(header[12:16], src[:])
	copy(header[16:20], dst[:])
	binary.BigEndian.PutUint16(header[10:12], ^foldSum(onesComplementSum(header)))
}
