package packet

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawood/internal/directory"
)

// MaxAskedDomains is the maximum number of failure domains in a hand-off. It keeps the
// option within the 124 bytes that RFC 8926 allows.
const MaxAskedDomains = 8

// Record is the flow record that is sent with the first packet of a flow. The inner
// packet identifies the flow. This package does not interpret State.
type Record struct {
	Endpoint        directory.EndpointID
	State           uint8
	InitialSequence uint32
	Home            uint32 // failure domain whose holders keep the record
}

// Handoff is the option of a packet that one entry host forwards to another. Names
// are encoded as hashes, which the receiver looks up among the names it knows.
type Handoff struct {
	Hops           uint8 // hand-offs so far; a receiver drops a packet that exceeds its limit
	AskedCount     uint8
	Asked          [MaxAskedDomains]uint32 // failure domains whose holders have no record of the flow
	Service        uint64                  // NameHash of the service
	Ingress        uint64                  // NameHash of the host that received the packet from the fabric
	AskedAt        time.Duration           // start of the query on the clock of the ingress host; returned in its hint
	Bucket         uint32
	PassedToSecond uint32 // failure domain whose first holder has no complete copy and asks the second; 0 for none
	HasRecord      bool
	Record         Record // valid if HasRecord
}

// NameHash returns the hash that represents the name of a service or host in a hand-off.
func NameHash(name string) uint64 { return xxhash.Sum64String(name) }

// The option data consist of, with lengths in bytes: Hops (1), AskedCount (1), flags
// (1; bit 0: has record), Record.State (1), Bucket (4), Service (8), Ingress (8),
// AskedAt (8), PassedToSecond (4), Asked (4 each) and the other fields of Record (12).
const (
	handoffFixedLen = 36
	askedEntryLen   = 4
	recordLen       = 12
	handoffMaxLen   = handoffFixedLen + MaxAskedDomains*askedEntryLen + recordLen
	hasRecordFlag   = 1
)

func (h *Handoff) append(dst []byte) []byte {
	flags, state := byte(0), byte(0)
	if h.HasRecord {
		flags, state = hasRecordFlag, h.Record.State
	}
	dst = append(dst, h.Hops, h.AskedCount, flags, state)
	dst = binary.BigEndian.AppendUint32(dst, h.Bucket)
	dst = binary.BigEndian.AppendUint64(dst, h.Service)
	dst = binary.BigEndian.AppendUint64(dst, h.Ingress)
	dst = binary.BigEndian.AppendUint64(dst, uint64(h.AskedAt))
	dst = binary.BigEndian.AppendUint32(dst, h.PassedToSecond)
	for _, domain := range h.Asked[:h.AskedCount] {
		dst = binary.BigEndian.AppendUint32(dst, domain)
	}
	if h.HasRecord {
		dst = binary.BigEndian.AppendUint32(dst, uint32(h.Record.Endpoint))
		dst = binary.BigEndian.AppendUint32(dst, h.Record.InitialSequence)
		dst = binary.BigEndian.AppendUint32(dst, h.Record.Home)
	}
	return dst
}

// DecodeHandoff decodes the option data b into h, or returns ErrHandoffOption.
func DecodeHandoff(b []byte, h *Handoff) error {
	if len(b) < handoffFixedLen || b[1] > MaxAskedDomains || b[2]&^hasRecordFlag != 0 {
		return ErrHandoffOption
	}
	*h = Handoff{
		Hops:           b[0],
		AskedCount:     b[1],
		HasRecord:      b[2] == hasRecordFlag,
		Bucket:         binary.BigEndian.Uint32(b[4:8]),
		Service:        binary.BigEndian.Uint64(b[8:16]),
		Ingress:        binary.BigEndian.Uint64(b[16:24]),
		AskedAt:        time.Duration(binary.BigEndian.Uint64(b[24:32])),
		PassedToSecond: binary.BigEndian.Uint32(b[32:36]),
	}
	want := handoffFixedLen + int(h.AskedCount)*askedEntryLen
	if h.HasRecord {
		want += recordLen
	}
	if len(b) != want || (!h.HasRecord && b[3] != 0) {
		return ErrHandoffOption
	}
	rest := b[handoffFixedLen:]
	for i := range h.AskedCount {
		h.Asked[i] = binary.BigEndian.Uint32(rest)
		rest = rest[askedEntryLen:]
	}
	if h.HasRecord {
		h.Record = Record{
			Endpoint:        directory.EndpointID(binary.BigEndian.Uint32(rest[0:4])),
			State:           b[3],
			InitialSequence: binary.BigEndian.Uint32(rest[4:8]),
			Home:            binary.BigEndian.Uint32(rest[8:12]),
		}
	}
	return nil
}
