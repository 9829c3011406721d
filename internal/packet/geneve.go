package packet

import "encoding/binary"

// Port is the UDP port assigned to Geneve (RFC 8926, section 3.3).
const Port = 6081

// HeaderLen is the length of a Geneve header without options.
const HeaderLen = 8

// MaxHeaderLen is the length of a Geneve header with the longest hand-off.
const MaxHeaderLen = HeaderLen + optionHeaderLen + handoffMaxLen

// HandoffClass is the option class of hand-offs, from the experimental range
// (RFC 8926, section 7). HandoffType has the critical bit set, so that a receiver
// that does not know the option drops the packet: if it forwarded the packet by its
// own rules, the packet could loop.
const (
	HandoffClass = 0xffca
	HandoffType  = criticalTypeBit | 1
)

const (
	etherTypeIPv4   = 0x0800
	optionHeaderLen = 4
	criticalTypeBit = 0x80
	controlFlag     = 0x80 // O bit of the Geneve header
	criticalFlag    = 0x40 // C bit of the Geneve header
)

// Geneve is a decoded Geneve packet. Its slices point into the decoded buffer.
type Geneve struct {
	VNI     uint32
	Handoff []byte // data of the hand-off option; nil if there is none
	Inner   []byte // inner IPv4 packet, not validated
}

// DecodeGeneve decodes the UDP payload b into g, or returns an Error. Unknown
// options are skipped unless they are critical (RFC 8926, section 3.5.1).
func DecodeGeneve(b []byte, g *Geneve) error {
	if len(b) < HeaderLen {
		return ErrTruncated
	}
	if b[0]>>6 != 0 {
		return ErrGeneveVersion
	}
	end := HeaderLen + int(b[0]&0x3f)*4
	if len(b) < end {
		return ErrTruncated
	}
	if b[1]&controlFlag != 0 {
		return ErrControlPacket
	}
	if binary.BigEndian.Uint16(b[2:4]) != etherTypeIPv4 {
		return ErrGeneveType
	}
	*g = Geneve{VNI: binary.BigEndian.Uint32(b[4:8]) >> 8, Inner: b[end:]}
	return g.decodeOptions(b[HeaderLen:end])
}

func (g *Geneve) decodeOptions(options []byte) error {
	for len(options) > 0 {
		if len(options) < optionHeaderLen {
			return ErrGeneveOption
		}
		end := optionHeaderLen + int(options[3]&0x1f)*4
		if len(options) < end {
			return ErrGeneveOption
		}
		class, optionType := binary.BigEndian.Uint16(options[0:2]), options[2]
		switch {
		case class == HandoffClass && optionType == HandoffType && g.Handoff == nil:
			g.Handoff = options[optionHeaderLen:end]
		case optionType&criticalTypeBit != 0:
			return ErrCriticalOption
		}
		options = options[end:]
	}
	return nil
}

// AppendGeneve appends a Geneve header for an inner IPv4 packet to dst, with a
// hand-off option unless handoff is nil. The caller appends the inner packet.
func AppendGeneve(dst []byte, vni uint32, handoff *Handoff) []byte {
	start := len(dst)
	dst = append(dst, 0, 0, etherTypeIPv4>>8, etherTypeIPv4&0xff, byte(vni>>16), byte(vni>>8), byte(vni), 0)
	if handoff == nil {
		return dst
	}
	option := len(dst)
	dst = append(dst, HandoffClass>>8, HandoffClass&0xff, HandoffType, 0)
	dst = handoff.append(dst)
	dst[option+3] = byte((len(dst) - option - optionHeaderLen) / 4)
	dst[start] = byte((len(dst) - option) / 4)
	dst[start+1] = criticalFlag
	return dst
}
