package registry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// DigestGroups is the number of groups into which the endpoints are divided by their IDs. Only the groups that differ
// have to be exchanged.
const DigestGroups = 16

// Digests holds a digest of each group of endpoints. Two copies with the same digests know the same endpoints in
// the same states.
type Digests [DigestGroups]uint64

func groupOf(id uint64) int { return int(id % DigestGroups) }

// Digests returns the digests of this copy. They cover what decides whether an endpoint is used, and none of what
// differs between copies that agree: times and the conclusions from them.
func (r *Registry) Digests() Digests {
	if !r.digestsValid {
		r.digests, r.digestsValid = r.computeDigests(), true
	}
	return r.digests
}

func (r *Registry) computeDigests() Digests {
	var digests Digests
	var b [8 * 3]byte
	for _, e := range r.endpoints {
		binary.LittleEndian.PutUint64(b[0:], e.ID)
		binary.LittleEndian.PutUint64(b[8:], uint64(e.StartedAtMs))
		state := uint64(e.State)
		if e.RemovalReported() {
			state |= 1 << 8
		}
		binary.LittleEndian.PutUint64(b[16:], state^e.ColdSeq<<9) // earlier builds know no ColdSeq, which is 0 in most cases
		digests[groupOf(e.ID)] ^= xxhash.Sum64(b[:])
	}
	return digests
}

// InGroup reports whether an endpoint with the ID is in the group.
func InGroup(id uint64, group int) bool { return groupOf(id) == group }

// maxDifferences is the number of messages of a host in a row with another digest of a group after which its copy
// counts as different. Changes that are on their way between the hosts make single digests differ.
const maxDifferences = 3

// Comparison compares the copy of this host with those of other hosts, so that whatever one of them has missed, by
// whatever way, is found and sent again. The zero value is ready for use.
type Comparison struct {
	differences map[string]*[DigestGroups]int // messages in a row with another digest, by host
}

// Compare takes the digests of another host and of this one, and returns the groups that this host should send to the
// other one. The other host sees the same difference and sends its own endpoints, so that both copies
// hold the union afterwards. If that is lost, it is repeated after as many messages.
func (c *Comparison) Compare(host string, theirs, own Digests) []int {
	if c.differences == nil {
		c.differences = map[string]*[DigestGroups]int{}
	}
	counts := c.differences[host]
	if counts == nil {
		counts = &[DigestGroups]int{}
		c.differences[host] = counts
	}
	var differing []int
	for group := range counts {
		if theirs[group] == own[group] {
			counts[group] = 0
			continue
		}
		if counts[group]++; counts[group] >= maxDifferences {
			counts[group] = 0
			differing = append(differing, group)
		}
	}
	return differing
}

// Forget removes what is known of a host that is not compared with any more.
func (c *Comparison) Forget(host string) { delete(c.differences, host) }
