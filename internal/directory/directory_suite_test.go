package directory_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "directory")
}

// testLog applies commands to a state with increasing indexes and log times.
type testLog struct {
	state *directory.State
	at    time.Duration
	index uint64
}

func newTestLog() *testLog { return &testLog{state: directory.New()} }

func (l *testLog) apply(c directory.Command) directory.Outcome {
	l.index++
	l.at += time.Millisecond
	return l.state.Apply(directory.Entry{Index: l.index, At: l.at, Command: c})
}

// acceptChange prepares and accepts a change of a section with the given services.
func (l *testLog) acceptChange(section string, base uint64, services ...document.Service) directory.Outcome {
	id := fmt.Sprintf("change-%d", l.index)
	l.apply(directory.ChangePrepared{ChangeID: id, Team: "team-" + section, Author: "ann", Section: section, BaseVersion: base, Text: "text of " + section, Services: services})
	return l.apply(directory.ChangeDecided{ChangeID: id, Accepted: true})
}

// commit commits all prepared moves.
func (l *testLog) commit() { l.apply(directory.MovesCommitted{UpTo: l.index}) }

func service(name string, last byte) document.Service {
	return document.Service{Name: name, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 80), Protocol: document.TCP}
}

func endpoint(service string, n int, domain string, state directory.EndpointState) directory.Endpoint {
	return directory.Endpoint{
		Instance: fmt.Sprintf("%s-%d", service, n), Service: service, Domain: domain, Slots: 2, State: state,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 8080),
	}
}

// newLogWithEndpoints returns a log with one service that has n ready endpoints and
// settled buckets.
func newLogWithEndpoints(n int) *testLog {
	l := newTestLog()
	l.acceptChange("desk", 0, service("desk", 1))
	for i := range n {
		l.apply(directory.EndpointAdded{Endpoint: endpoint("desk", i+1, fmt.Sprintf("zone-%d", i%3), directory.Ready)})
	}
	l.commit()
	l.commit() // settles the buckets on their first endpoint
	return l
}

// buckets returns the buckets of a service.
func (l *testLog) buckets(name string) []directory.Bucket {
	s, ok := l.state.Service(name)
	if !ok {
		return nil
	}
	all := make([]directory.Bucket, s.BucketCount())
	for i := range all {
		all[i] = s.Bucket(i)
	}
	return all
}

// countOwned counts the buckets that each endpoint owns once all moves are
// committed.
func countOwned(buckets []directory.Bucket) map[directory.EndpointID]int {
	counts := map[directory.EndpointID]int{}
	for _, b := range buckets {
		if b.Next != 0 {
			counts[b.Next]++
		} else {
			counts[b.Current]++
		}
	}
	return counts
}
