package flow

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawood/internal/directory"
)

// flowKey identifies a flow by caller address and port, service address and port, and
// protocol, in network byte order.
type flowKey [13]byte

// makeKey returns false unless both addresses are IPv4.
func makeKey(caller, service netip.AddrPort, protocol uint8) (k flowKey, ok bool) {
	if !caller.Addr().Is4() || !service.Addr().Is4() {
		return k, false
	}
	a := caller.Addr().As4()
	copy(k[0:4], a[:])
	binary.BigEndian.PutUint16(k[4:6], caller.Port())
	b := service.Addr().As4()
	copy(k[6:10], b[:])
	binary.BigEndian.PutUint16(k[10:12], service.Port())
	k[12] = protocol
	return k, true
}

func (k *flowKey) hash() uint64 { return xxhash.Sum64(k[:]) }

func (k *flowKey) caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(k[0:4])), binary.BigEndian.Uint16(k[4:6]))
}

func (k *flowKey) service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(k[6:10])), binary.BigEndian.Uint16(k[10:12]))
}

// timestamp is a time in units of 10 ms, so that 32 bits cover more than a year. 0 means unset.
type timestamp uint32

const timestampUnit = 10 * time.Millisecond

// timestampOf rounds down and never returns 0.
func timestampOf(t time.Duration) timestamp { return timestamp(t/timestampUnit) + 1 }

func (s timestamp) since(earlier timestamp) time.Duration {
	return time.Duration(int64(s)-int64(earlier)) * timestampUnit
}

// entryKind tells what an entry is used for. The kinds are ordered by the cost of losing an
// entry.
type entryKind uint8

const (
	entryFree     entryKind = iota
	entryObserved           // flow of a settled bucket, tracked to detect silent flows
	entryHint               // endpoint reported by a holder
	entryRecord             // record that this host stores
)

const (
	flagCallerFIN uint8 = 1 << iota
	flagBackendFIN
	flagReset
	flagSYN        // this host forwarded a SYN of the flow
	flagContinued  // the caller sent a packet after its first one
	flagFromPacket // the record was stored for a packet and is newer than any copy
)

// entry is the state of one flow. It refers to other entries by slab position; 0 means none.
type entry struct {
	key                flowKey
	kind               entryKind
	flags              uint8
	state              RecordState
	endpoint           directory.EndpointID
	sequence           uint32
	ack                uint32
	chain              uint32 // next entry in the hash slot, or next free entry
	next, prev         uint32 // neighbours in the holding's list
	holding            uint32
	createdAt          timestamp
	lastFromCaller     timestamp // last packet from the caller
	lastFromBackend    timestamp // last packet from the backend server
	suspectedAt        timestamp // last time that the flow became a suspect
	callerPacketsSince timestamp // first of the packets in callerPackets
	closedOrAskedAt    timestamp // record: time of closing; hint: time of the query
	hintEpoch          uint16    // hint: valid only in this epoch
	callerPackets      uint16    // packets from the caller since the last one from the backend server
}

const (
	slabBits = 12
	slabSize = 1 << slabBits
	slabMask = slabSize - 1

	defaultCapacity = 400_000
	// evictionProbes bounds the search for an entry to evict when the flow table is full.
	evictionProbes = 64
)

// flowTable is a hash table with chaining over slabs of entries. Slabs are never moved, so
// that growth reallocates only the 4-byte heads.
type flowTable struct {
	heads      []uint32
	slabs      []*[slabSize]entry
	freeHead   uint32 // head of the free list, linked through entry.chain
	nextUnused uint32 // next slab position never used so far; position 0 is reserved
	length     int
	capacity   int
	seed       uint64
	sweepPos   uint32 // last position examined by Engine.sweep
	evictPos   uint32 // last position examined by findEvictable
}

func newFlowTable(capacity int, seed uint64) flowTable {
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	return flowTable{heads: make([]uint32, 1024), capacity: capacity, seed: seed, nextUnused: 1}
}

func (t *flowTable) at(pos uint32) *entry { return &t.slabs[pos>>slabBits][pos&slabMask] }

func (t *flowTable) slot(hash uint64) uint32 {
	// The low bits of the hash select the service's bucket, so the slot uses the high ones.
	return uint32((hash^t.seed)>>32) & uint32(len(t.heads)-1)
}

func (t *flowTable) find(key *flowKey, hash uint64) (uint32, *entry) {
	for pos := t.heads[t.slot(hash)]; pos != 0; {
		e := t.at(pos)
		if e.key == *key {
			return pos, e
		}
		pos = e.chain
	}
	return 0, nil
}

// insert adds an entry and returns its position, or 0 if the flow table is full.
func (t *flowTable) insert(key *flowKey, hash uint64) (uint32, *entry) {
	if t.length >= t.capacity {
		return 0, nil
	}
	if t.length >= len(t.heads) {
		t.grow()
	}
	pos := t.freeHead
	if pos != 0 {
		t.freeHead = t.at(pos).chain
	} else {
		pos = t.nextUnused
		if int(pos>>slabBits) >= len(t.slabs) {
			t.slabs = append(t.slabs, new([slabSize]entry))
		}
		t.nextUnused++
	}
	e := t.at(pos)
	slot := t.slot(hash)
	*e = entry{key: *key, chain: t.heads[slot]}
	t.heads[slot] = pos
	t.length++
	return pos, e
}

// grow doubles the number of hash slots and relinks all entries.
func (t *flowTable) grow() {
	t.heads = make([]uint32, 2*len(t.heads))
	for pos := uint32(1); pos < t.nextUnused; pos++ {
		e := t.at(pos)
		if e.kind == entryFree {
			continue
		}
		slot := t.slot(e.key.hash())
		e.chain = t.heads[slot]
		t.heads[slot] = pos
	}
}

// remove frees an entry. The caller must have unlinked it from its holding's list.
func (t *flowTable) remove(pos uint32) {
	e := t.at(pos)
	link := &t.heads[t.slot(e.key.hash())]
	for *link != pos {
		link = &t.at(*link).chain
	}
	*link = e.chain
	*e = entry{chain: t.freeHead}
	t.freeHead = pos
	t.length--
}

// findEvictable returns the position of an entry that is not a record, or 0 if a bounded search
// finds none.
func (t *flowTable) findEvictable() uint32 {
	for range evictionProbes {
		t.evictPos++
		if t.evictPos >= t.nextUnused {
			t.evictPos = 1
		}
		kind := t.at(t.evictPos).kind
		if kind == entryObserved || kind == entryHint {
			return t.evictPos
		}
	}
	return 0
}
