package directory

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// activeHost is an active host with the hash of its name.
type activeHost struct {
	name   string
	domain string
	hash   uint64
}

func (s *State) addHost(h Host) Outcome {
	if h.Name == "" || h.Domain == "" {
		return refuse("host %q lacks a name or failure domain", h.Name)
	}
	if old, ok := s.hosts[h.Name]; ok && old.Incarnation >= h.Incarnation {
		return refuse("host %q is already present as incarnation %d", h.Name, old.Incarnation)
	}
	h.State = HostJoined
	s.hosts[h.Name] = &h
	if _, known := s.outOfService[h.Domain]; !known {
		s.outOfService[h.Domain] = false
	}
	s.rebuildHostLists()
	return Outcome{Applied: true}
}

func (s *State) activateHost(c HostActivated) Outcome {
	h, ok := s.hosts[c.Name]
	if !ok || h.Incarnation != c.Incarnation {
		return refuse("no host %q with incarnation %d", c.Name, c.Incarnation)
	}
	h.State = HostActive
	s.rebuildHostLists()
	return Outcome{Applied: true}
}

func (s *State) removeHost(c HostRemoved) Outcome {
	h, ok := s.hosts[c.Name]
	if !ok || h.Incarnation != c.Incarnation {
		return refuse("no host %q with incarnation %d", c.Name, c.Incarnation)
	}
	delete(s.hosts, c.Name)
	s.rebuildHostLists()
	return Outcome{Applied: true}
}

// setDomainService declares a failure domain in or out of service. A domain may
// be declared in service before any of its hosts has joined, so that changes
// wait for its confirmation.
func (s *State) setDomainService(c DomainService) Outcome {
	if _, known := s.outOfService[c.Domain]; !known && c.Out {
		return refuse("no host has announced failure domain %q", c.Domain)
	}
	s.outOfService[c.Domain] = c.Out
	for _, name := range sortedKeys(s.services) {
		s.rebalance(s.services[name].table)
	}
	return Outcome{Applied: true}
}

// rebuildHostLists rebuilds the lists of all hosts and of the active hosts,
// which Hosts and Holders read.
func (s *State) rebuildHostLists() {
	s.hostList = make([]Host, 0, len(s.hosts))
	s.activeHosts = s.activeHosts[:0]
	clear(s.activeByDomain)
	for _, name := range sortedKeys(s.hosts) {
		h := s.hosts[name]
		s.hostList = append(s.hostList, *h)
		if h.State != HostActive {
			continue
		}
		active := activeHost{name: h.Name, domain: h.Domain, hash: xxhash.Sum64String(h.Name)}
		s.activeHosts = append(s.activeHosts, active)
		s.activeByDomain[h.Domain] = append(s.activeByDomain[h.Domain], active)
	}
}

// Hosts returns all entry hosts in the order of their names. The caller must
// not modify the slice.
func (s *State) Hosts() []Host { return s.hostList }

// Host returns an entry host by its name.
func (s *State) Host(name string) (*Host, bool) {
	h, ok := s.hosts[name]
	return h, ok
}

// DomainsInService returns the failure domains that must confirm a change, in
// order. A domain stays listed after its hosts are gone, until an operator
// declares it out of service; otherwise a change would be accepted without the
// confirmation of a domain that is cut off.
func (s *State) DomainsInService() []string {
	return slices.DeleteFunc(sortedKeys(s.outOfService), func(d string) bool { return s.outOfService[d] })
}

// DomainOutOfService reports whether a failure domain is declared out of service.
func (s *State) DomainOutOfService(domain string) bool { return s.outOfService[domain] }

// Holders returns the hosts that hold the records of a bucket's flows on an
// endpoint; second is empty when only one host is active. ok is false when no
// host is active or the service or endpoint is unknown. When the endpoint's
// failure domain has no active host, hosts of other domains hold the records.
func (s *State) Holders(service string, bucket int, endpoint EndpointID) (first, second string, ok bool) {
	e, known := s.endpoints[endpoint]
	svc, found := s.services[service]
	if !known || !found || len(s.activeHosts) == 0 || bucket < 0 || bucket >= svc.table.size() {
		return "", "", false
	}
	key := hashBucket(svc.table.nameHash, bucket)
	first, runnerUp := topTwoHosts(s.activeByDomain[e.Domain], key, "")
	if first == "" {
		first, second = topTwoHosts(s.activeHosts, key, "")
		return first, second, true
	}
	current, present := s.endpoints[svc.table.current[bucket]]
	if present && current.Domain != e.Domain {
		second, _ = topTwoHosts(s.activeByDomain[current.Domain], key, "")
	}
	if second == "" {
		second = runnerUp
	}
	if second == "" {
		second, _ = topTwoHosts(s.activeHosts, key, e.Domain)
	}
	return first, second, true
}

// topTwoHosts returns the two hosts with the highest rendezvous ranks outside the
// excluded failure domain. An empty name means that there is no such host.
func topTwoHosts(hosts []activeHost, key uint64, exclude string) (first, second string) {
	var highestRank, secondRank uint64
	for i := range hosts {
		h := &hosts[i]
		if exclude != "" && h.domain == exclude {
			continue
		}
		rank := rendezvousRank(key, h.hash)
		switch {
		case first == "" || rank > highestRank:
			second, secondRank = first, highestRank
			first, highestRank = h.name, rank
		case second == "" || rank > secondRank:
			second, secondRank = h.name, rank
		}
	}
	return first, second
}

// hashBucket returns the hash of a bucket, given the hash of its service's name.
func hashBucket(serviceHash uint64, bucket int) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[0:], serviceHash)
	binary.LittleEndian.PutUint64(key[8:], uint64(bucket))
	return xxhash.Sum64(key[:])
}

// rendezvousRank returns the rank of a candidate for a key. The candidates for one
// key differ in one word, for which the finalizer of MurmurHash3 is sufficient;
// computing xxhash for each of the 67 hosts of a failure domain takes 1 µs.
func rendezvousRank(key, candidate uint64) uint64 {
	x := key ^ candidate*0x9E3779B97F4A7C15
	x ^= x >> 33
	x *= 0xFF51AFD7ED558CCD
	x ^= x >> 33
	x *= 0xC4CEB9FE1A85EC53
	return x ^ x>>33
}
