package packet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cassiawood/internal/directory"
)

// Kind says what the receiver of a handed-off packet is asked to do
// (docs/design.md, section 5.2).
type Kind uint8

const (
	// NewFlow asks the first holder to place a new flow and write its record (rule 2).
	NewFlow Kind = iota + 1
	// NewFlowRecord asks the second holder to write the record and forward the packet (rule 2).
	NewFlowRecord
	// MidFlow asks a holder to forward a packet of a flow that the ingress host does not know (rule 4).
	MidFlow
)

// MaxHostName is the longest host name that a hand-off carries, in bytes. With it
// the option stays below the 124 bytes that RFC 8926 allows.
const MaxHostName = 63

// HostName is the name of an entry host as a comparable value, so that decoding
// it allocates nothing and it can be the key of a map.
type HostName struct {
	length uint8
	bytes  [MaxHostName]byte
}

// NewHostName returns name as a HostName, or ErrNameLength.
func NewHostName(name string) (HostName, error) {
	if len(name) > MaxHostName {
		return HostName{}, ErrNameLength
	}
	n := HostName{length: uint8(len(name))}
	copy(n.bytes[:], name)
	return n, nil
}

// String returns the name.
func (n HostName) String() string { return string(n.bytes[:n.length]) }

// Record is the flow record that travels with the first packet of a flow. State
// is a flow record's state, which this package passes on unread.
type Record struct {
	Endpoint        directory.EndpointID
	State           uint8
	InitialSequence uint32
}

// Handoff accompanies a packet that one entry host forwards to another.
type Handoff struct {
	Kind      Kind
	Hops      uint8  // hand-offs so far; a receiver drops a packet above its limit
	Service   uint64 // ServiceHash of the service name
	Bucket    uint32
	Asked     uint64 // failure domains asked so far, one bit each in the directory's sorted order
	Ingress   HostName
	HasRecord bool
	Record    Record // valid if HasRecord
}

// ServiceHash returns the number that stands for a service name in a hand-off.
// The receiver compares it with the service it finds for the inner packet.
func ServiceHash(name string) uint64 { return xxhash.Sum64String(name) }

// The option data are: kind, hops, length of the name, flags (bit 0: record
// follows), service (8), bucket (4), asked (8), record (9, only with the flag),
// name, zeros up to a multiple of 4.
const (
	handoffFixedLen = 24
	recordLen       = 9
	handoffMaxLen   = (handoffFixedLen + recordLen + MaxHostName + 3) / 4 * 4
	hasRecordFlag   = 1
)

func (h *Handoff) append(dst []byte) []byte {
	start := len(dst)
	flags := byte(0)
	if h.HasRecord {
		flags = hasRecordFlag
	}
	dst = append(dst, byte(h.Kind), h.Hops, h.Ingress.length, flags)
	dst = binary.BigEndian.AppendUint64(dst, h.Service)
	dst = binary.BigEndian.AppendUint32(dst, h.Bucket)
	dst = binary.BigEndian.AppendUint64(dst, h.Asked)
	if h.HasRecord {
		dst = binary.BigEndian.AppendUint32(dst, uint32(h.Record.Endpoint))
		dst = append(dst, h.Record.State)
		dst = binary.BigEndian.AppendUint32(dst, h.Record.InitialSequence)
	}
	dst = append(dst, h.Ingress.bytes[:h.Ingress.length]...)
	for (len(dst)-start)%4 != 0 {
		dst = append(dst, 0)
	}
	return dst
}

// DecodeHandoff reads the option data b into h, or returns ErrHandoff.
func DecodeHandoff(b []byte, h *Handoff) error {
	if len(b) < handoffFixedLen {
		return ErrHandoff
	}
	*h = Handoff{
		Kind:      Kind(b[0]),
		Hops:      b[1],
		Service:   binary.BigEndian.Uint64(b[4:12]),
		Bucket:    binary.BigEndian.Uint32(b[12:16]),
		Asked:     binary.BigEndian.Uint64(b[16:24]),
		HasRecord: b[3]&hasRecordFlag != 0,
	}
	nameLen := int(b[2])
	rest := b[handoffFixedLen:]
	if h.HasRecord {
		if len(rest) < recordLen {
			return ErrHandoff
		}
		h.Record = Record{
			Endpoint:        directory.EndpointID(binary.BigEndian.Uint32(rest[0:4])),
			State:           rest[4],
			InitialSequence: binary.BigEndian.Uint32(rest[5:9]),
		}
		rest = rest[recordLen:]
	}
	if nameLen > MaxHostName || nameLen > len(rest) || !h.isConsistent() {
		return ErrHandoff
	}
	h.Ingress.length = uint8(nameLen)
	copy(h.Ingress.bytes[:], rest[:nameLen])
	return nil
}

// isConsistent reports whether the kind is known and has a record exactly if it needs one.
func (h *Handoff) isConsistent() bool {
	switch h.Kind {
	case NewFlow, MidFlow:
		return !h.HasRecord
	case NewFlowRecord:
		return h.HasRecord
	default:
		return false
	}
}
