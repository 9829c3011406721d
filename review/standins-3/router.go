package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	maxMisses     = 2
)

// router selects an entry machine for each packet of a zone: by a hash over those in rotation (mod), or over all if fewer than half are.
type router struct {
	entries []*process

	mu     sync.Mutex
	misses []int
}

// newRouter starts to ask the entry machines of a zone for their readiness.
func newRouter(entries []*process) *router {
	r := &router{entries: entries, misses: make([]int, len(entries))}
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, p := range entries {
		r.misses[i] = maxMisses
		go func() {
			for {
				response, err := client.Get(fmt.Sprintf("http://%s:%d/cassiawood/ready", p.machine.IP, readyPort))
				ready := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				r.mu.Lock()
				if r.misses[i]++; ready {
					r.misses[i] = 0
				}
				r.mu.Unlock()
				time.Sleep(probeInterval)
			}
		}()
	}
	return r
}

// inRotation returns the machines in rotation.
func (r *router) inRotation() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*process
	for i, p := range r.entries {
		if r.misses[i] < maxMisses {
			list = append(list, p)
		}
	}
	return list
}

func (r *router) pick(from, to netip.AddrPort) netip.AddrPort {
	list := r.inRotation()
	if 2*len(list) < len(r.entries) {
		list = r.entries
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(from.String() + to.String())) // a hash never fails
	return list[int(h.Sum32()%uint32(len(list)))].packetAddress()
}

// waitAll waits until all machines are in rotation.
func (r *router) waitAll(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if len(r.inRotation()) == len(r.entries) {
			return nil
		}
	}
	return fmt.Errorf("not all entry machines of the zone are in rotation after %v", limit)
}
