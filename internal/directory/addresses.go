package directory

import (
	"encoding/binary"
	"net/netip"

	"cassiawood/internal/document"
)

// addressKey identifies a service's address for callers.
type addressKey struct {
	address  netip.AddrPort
	protocol document.Protocol
}

// addressMap maps addresses to values. IPv4 addresses, which all packets of the
// fabric have, are packed into one word: a map with the 40-byte addressKey takes
// more than half of the time of a bucket lookup.
type addressMap[V any] struct {
	packed map[uint64]V
	other  map[addressKey]V
}

func newAddressMap[V any]() addressMap[V] {
	return addressMap[V]{packed: map[uint64]V{}, other: map[addressKey]V{}}
}

// pack returns an IPv4 key in one word.
func (k addressKey) pack() (packed uint64, ok bool) {
	if !k.address.Addr().Is4() {
		return 0, false
	}
	ip := k.address.Addr().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<32 | uint64(k.address.Port())<<8 | uint64(k.protocol), true
}

func (m *addressMap[V]) get(k addressKey) (V, bool) {
	if packed, ok := k.pack(); ok {
		value, found := m.packed[packed]
		return value, found
	}
	value, found := m.other[k]
	return value, found
}

func (m *addressMap[V]) set(k addressKey, value V) {
	if packed, ok := k.pack(); ok {
		m.packed[packed] = value
		return
	}
	m.other[k] = value
}

func (m *addressMap[V]) remove(k addressKey) {
	if packed, ok := k.pack(); ok {
		delete(m.packed, packed)
		return
	}
	delete(m.other, k)
}
