package flow

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawood/internal/directory"
)

// flowKey identifies a flow: caller address and port, service address and
// port, protocol, in network byte order.
type flowKey [13]byte

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

// stamp is a time in units of 10 ms, which fit 32 bits for more than a year.
type stamp uint32

const stampUnit = 10 * time.Millisecond

// stampOf rounds down and never returns 0, which stands for no time.
func stampOf(t time.Duration) stamp { return stamp(t/stampUnit) + 1 }

func (s stamp) since(earlier stamp) time.Duration {
	return time.Duration(int64(s)-int64(earlier)) * stampUnit
}

// entryKind orders entries by what is lost with them.
type entryKind uint8

const (
	entryFree     entryKind = iota
	entryObserved           // flow of a settled bucket, for the detection of silent flows
	entryHint               // answer of a holder
	entryRecord             // held by this host
)

const (
	flagCallerFIN uint8 = 1 << iota
	flagBackendFIN
	flagReset
	flagSYN    // this host forwarded a SYN of the flow
	flagBegun  // the caller sent more than its first packet
	flagPlaced // the record came with a packet and is newer than any copy
)

// entry is one flow. References to other entries are slab positions; 0 is none.
type entry struct {
	key           flowKey
	kind          entryKind
	flags         uint8
	state         RecordState
	endpoint      directory.EndpointID
	sequence      uint32
	ack           uint32
	chain         uint32 // next entry with the same hash slot
	next, prev    uint32 // neighbours in the holding's list
	holding       uint32
	began         stamp
	fromCaller    stamp // last packet
	fromBackend   stamp
	suspected     stamp  // last report as a suspect
	callerSince   stamp  // first caller packet after the last one from the backend server
	mark          stamp  // record: time of closing; hint: time of the question
	epoch         uint16 // hint: valid only in this epoch
	callerPackets uint16
}

const (
	slabBits = 12
	slabSize = 1 << slabBits
	slabMask = slabSize - 1

	defaultCapacity = 400_000
	// evictionProbes bounds the search for an entry to evict when the table is full.
	evictionProbes = 64
)

// flowTable is a chained hash table over slabs of entries. Slabs are never moved,
// so growth copies only the 4-byte heads.
type flowTable struct {
	heads    []uint32
	slabs    []*[slabSize]entry
	free     uint32 // list through entry.chain
	used     uint32 // slab positions given out so far; position 0 stays unused
	length   int
	capacity int
	seed     uint64
	hand     uint32 // position of the clock hand
	evictAt  uint32
}

func newFlowTable(capacity int, seed uint64) flowTable {
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	return flowTable{heads: make([]uint32, 1024), capacity: capacity, seed: seed, used: 1}
}

func (t *flowTable) at(pos uint32) *entry { return &t.slabs[pos>>slabBits][pos&slabMask] }

func (t *flowTable) slot(hash uint64) uint32 {
	// The low bits of the hash choose the bucket, so the heads use the high ones.
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

// insert returns the position of a new entry, or 0 if the table is full.
func (t *flowTable) insert(key *flowKey, hash uint64) (uint32, *entry) {
	if t.length >= t.capacity {
		return 0, nil
	}
	if t.length >= len(t.heads) {
		t.grow()
	}
	pos := t.free
	if pos != 0 {
		t.free = t.at(pos).chain
	} else {
		pos = t.used
		if int(pos>>slabBits) >= len(t.slabs) {
			t.slabs = append(t.slabs, new([slabSize]entry))
		}
		t.used++
	}
	e := t.at(pos)
	slot := t.slot(hash)
	*e = entry{key: *key, chain: t.heads[slot]}
	t.heads[slot] = pos
	t.length++
	return pos, e
}

func (t *flowTable) grow() {
	t.heads = make([]uint32, 2*len(t.heads))
	for pos := uint32(1); pos < t.used; pos++ {
		e := t.at(pos)
		if e.kind == entryFree {
			continue
		}
		slot := t.slot(e.key.hash())
		e.chain = t.heads[slot]
		t.heads[slot] = pos
	}
}

// remove unlinks an entry. The caller has taken it off its holding's list.
func (t *flowTable) remove(pos uint32) {
	e := t.at(pos)
	link := &t.heads[t.slot(e.key.hash())]
	for *link != pos {
		link = &t.at(*link).chain
	}
	*link = e.chain
	*e = entry{chain: t.free}
	t.free = pos
	t.length--
}

// evictable looks for an entry that is no record, within a bounded search.
func (t *flowTable) evictable() uint32 {
	for range evictionProbes {
		t.evictAt++
		if t.evictAt >= t.used {
			t.evictAt = 1
		}
		kind := t.at(t.evictAt).kind
		if kind == entryObserved || kind == entryHint {
			return t.evictAt
		}
	}
	return 0
}
