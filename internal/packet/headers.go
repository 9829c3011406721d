// Package packet decodes, rewrites and builds the packets of the data path:
// Geneve (RFC 8926) outside, IPv4 with TCP or UDP inside. It decides nothing.
package packet

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"cassiawood/internal/document"
)

// Error says why a packet was refused. It is a number, so that a flood of
// malformed packets causes no allocation and can be counted by reason.
type Error uint8

// Reasons for refusing a packet.
const (
	ErrTruncated     Error = iota + 1 // shorter than one of its length fields says
	ErrIPVersion                      // not IPv4
	ErrIPHeader                       // IPv4 header length is out of range
	ErrIPChecksum                     // IPv4 header checksum is wrong
	ErrFragment                       // part of a fragmented packet; has no ports to decide on
	ErrProtocol                       // neither TCP nor UDP
	ErrTCPHeader                      // TCP data offset is out of range
	ErrTCPFlags                       // SYN together with FIN or RST
	ErrUDPLength                      // UDP length is out of range
	ErrGeneveVersion                  // not version 0
	ErrGeneveType                     // payload is not IPv4
	ErrGeneveOption                   // option runs past the options' end
	ErrCritical                       // unknown option that must not be ignored
	ErrControl                        // control packet (O bit), which carries no data
	ErrHandoff                        // malformed hand-off option
	ErrAddress                        // rewrite to an address that is not IPv4
)

// ErrorCount is one more than the highest Error, for arrays of counters.
const ErrorCount = int(ErrAddress) + 1

var errorTexts = [ErrorCount]string{
	ErrTruncated:     "packet is truncated",
	ErrIPVersion:     "not an IPv4 packet",
	ErrIPHeader:      "IPv4 header length is out of range",
	ErrIPChecksum:    "IPv4 header checksum is wrong",
	ErrFragment:      "packet is a fragment",
	ErrProtocol:      "neither TCP nor UDP",
	ErrTCPHeader:     "TCP data offset is out of range",
	ErrTCPFlags:      "TCP flags contradict each other",
	ErrUDPLength:     "UDP length is out of range",
	ErrGeneveVersion: "unknown Geneve version",
	ErrGeneveType:    "Geneve payload is not IPv4",
	ErrGeneveOption:  "Geneve option is malformed",
	ErrCritical:      "unknown critical Geneve option",
	ErrControl:       "Geneve control packet",
	ErrHandoff:       "hand-off option is malformed",
	ErrAddress:       "address is not IPv4",
}

// Error returns the reason in words.
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

// Headers are the fields of an inner packet on which decisions depend. For UDP
// the TCP fields are zero.
type Headers struct {
	Src        netip.AddrPort
	Dst        netip.AddrPort
	Protocol   document.Protocol
	Flags      Flags
	Seq        uint32
	Ack        uint32
	PayloadLen int // bytes after the TCP or UDP header
	TotalLen   int // bytes of the IPv4 packet; a buffer may be longer
	transport  int // offset of the TCP or UDP header
}

// IsNewFlow reports whether the packet asks for a new TCP connection.
func (h *Headers) IsNewFlow() bool { return h.Flags&(SYN|ACK) == SYN }

// SegmentLen returns the sequence numbers that the segment occupies (RFC 9293,
// 3.4): its payload, and one each for SYN and FIN.
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
	// fragmentBits are "more fragments" and the offset; "don't fragment" is allowed.
	fragmentBits = 0x3fff
)

// Parse fills h from the IPv4 packet p, or returns an Error. It verifies the IPv4
// header checksum, since a damaged address could select another service; the
// receiver verifies the TCP or UDP checksum, which rewriting keeps as wrong as it was.
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
	if fold(sum(p[:headerLen])) != 0xffff {
		return ErrIPChecksum
	}
	if binary.BigEndian.Uint16(p[6:8])&fragmentBits != 0 {
		return ErrFragment
	}
	*h = Headers{Protocol: document.Protocol(p[9]), TotalLen: total, transport: headerLen}
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
