// Package packet decodes, rewrites and builds the packets of the data path: IPv4
// with TCP or UDP, encapsulated in Geneve (RFC 8926). It makes no forwarding decisions.
package packet

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"cassiawood/internal/document"
)

// Error is the reason for rejecting a packet. It is a number, so that a flood of
// malformed packets causes no allocations and can be counted by reason.
type Error uint8

// Reasons for rejecting a packet.
const (
	ErrTruncated      Error = iota + 1 // shorter than a header or one of its length fields requires
	ErrIPVersion                       // not IPv4
	ErrIPHeader                        // IPv4 header length is out of range
	ErrIPChecksum                      // IPv4 header checksum is wrong
	ErrFragment                        // part of a fragmented packet; only the first fragment has ports
	ErrProtocol                        // neither TCP nor UDP
	ErrTCPHeader                       // TCP data offset is out of range
	ErrTCPFlags                        // SYN together with FIN or RST
	ErrUDPLength                       // UDP length is out of range
	ErrGeneveVersion                   // not version 0
	ErrGeneveType                      // payload is not IPv4
	ErrGeneveOption                    // option extends past the end of the options
	ErrCriticalOption                  // unknown option with the critical bit set
	ErrControlPacket                   // control packet (O bit)
	ErrHandoffOption                   // malformed hand-off option
	ErrRewriteAddress                  // new address of a rewrite is not IPv4
)

// ErrorCount is one more than the highest Error, for arrays of counters.
const ErrorCount = int(ErrRewriteAddress) + 1

var errorTexts = [ErrorCount]string{
	ErrTruncated:      "packet is truncated",
	ErrIPVersion:      "not an IPv4 packet",
	ErrIPHeader:       "IPv4 header length is out of range",
	ErrIPChecksum:     "IPv4 header checksum is wrong",
	ErrFragment:       "packet is a fragment",
	ErrProtocol:       "neither TCP nor UDP",
	ErrTCPHeader:      "TCP data offset is out of range",
	ErrTCPFlags:       "TCP flags contradict each other",
	ErrUDPLength:      "UDP length is out of range",
	ErrGeneveVersion:  "unknown Geneve version",
	ErrGeneveType:     "Geneve payload is not IPv4",
	ErrGeneveOption:   "Geneve option is malformed",
	ErrCriticalOption: "unknown critical Geneve option",
	ErrControlPacket:  "Geneve control packet",
	ErrHandoffOption:  "hand-off option is malformed",
	ErrRewriteAddress: "address is not IPv4",
}

// Error returns a description of the reason.
func (e Error) Error() string {
	if e == 0 || int(e) >= ErrorCount {
		return fmt.Sprintf("packet error %d", uint8(e))
	}
	return errorTexts[e]
}

// Flags are the control bits of a TCP segment.
type Flags uint8

// TCP control bits.
const (
	FIN Flags = 1 << iota
	SYN
	RST
	PSH
	ACK
	URG
	ECE
	CWR
)

// Has reports whether all bits of want are set.
func (f Flags) Has(want Flags) bool { return f&want == want }

// Headers holds the fields of an inner packet that forwarding depends on. For UDP the
// TCP fields are zero.
type Headers struct {
	Src             netip.AddrPort
	Dst             netip.AddrPort
	Protocol        document.Protocol
	Flags           Flags
	Seq             uint32
	Ack             uint32
	PayloadLen      int // bytes after the TCP or UDP header
	TotalLen        int // bytes of the IPv4 packet; a buffer may be longer
	transportOffset int // offset of the TCP or UDP header
}

// IsNewFlow reports whether the packet opens a new TCP connection (SYN without ACK).
func (h *Headers) IsNewFlow() bool { return h.Flags&(SYN|ACK) == SYN }

// SegmentLen returns the number of sequence numbers that the segment occupies
// (RFC 9293, section 3.4): its payload length, and one each for SYN and FIN.
func (h *Headers) SegmentLen() uint32 {
	n := uint32(h.PayloadLen)
	if h.Flags.Has(SYN) {
		n++
	}
	if h.Flags.Has(FIN) {
		n++
	}
	return n
}

const (
	ipv4HeaderLen = 20
	tcpHeaderLen  = 20
	udpHeaderLen  = 8
	// fragmentBits masks the "more fragments" flag and the fragment offset.
	fragmentBits = 0x3fff
)

// Parse decodes the IPv4 packet p into h, or returns an Error. It verifies the IPv4
// header checksum, since a corrupt address could select another service. It leaves
// the TCP or UDP checksum to the receiver: rewriting preserves any error in it.
func Parse(p []byte, h *Headers) error {
	if len(p) < ipv4HeaderLen {
		return ErrTruncated
	}
	if p[0]>>4 != 4 {
		return ErrIPVersion
	}
	headerLen := int(p[0]&0x0f) * 4
	total := int(binary.BigEndian.Uint16(p[2:4]))
	if headerLen < ipv4HeaderLen || headerLen > total {
		return ErrIPHeader
	}
	if total > len(p) {
		return ErrTruncated
	}
	if foldSum(onesComplementSum(p[:headerLen])) != 0xffff {
		return ErrIPChecksum
	}
	if binary.BigEndian.Uint16(p[6:8])&fragmentBits != 0 {
		return ErrFragment
	}
	*h = Headers{Protocol: document.Protocol(p[9]), TotalLen: total, transportOffset: headerLen}
	segment := p[headerLen:total]
	var err error
	switch h.Protocol {
	case document.TCP:
		err = h.parseTCP(segment)
	case document.UDP:
		err = h.parseUDP(segment)
	default:
		err = ErrProtocol
	}
	if err != nil {
		return err
	}
	h.Src = addrPort(p[12:16], segment[0:2])
	h.Dst = addrPort(p[16:20], segment[2:4])
	return nil
}

func (h *Headers) parseTCP(segment []byte) error {
	if len(segment) < tcpHeaderLen {
		return ErrTruncated
	}
	offset := int(segment[12]>>4) * 4
	if offset < tcpHeaderLen || offset > len(segment) {
		return ErrTCPHeader
	}
	h.Flags = Flags(segment[13])
	if h.Flags.Has(SYN) && h.Flags&(FIN|RST) != 0 {
		return ErrTCPFlags
	}
	h.Seq = binary.BigEndian.Uint32(segment[4:8])
	h.Ack = binary.BigEndian.Uint32(segment[8:12])
	h.PayloadLen = len(segment) - offset
	return nil
}

func (h *Headers) parseUDP(segment []byte) error {
	if len(segment) < udpHeaderLen {
		return ErrTruncated
	}
	length := int(binary.BigEndian.Uint16(segment[4:6]))
	if length < udpHeaderLen || length > len(segment) {
		return ErrUDPLength
	}
	h.PayloadLen = length - udpHeaderLen
	return nil
}

func addrPort(addr, port []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(addr)), binary.BigEndian.Uint16(port))
}
