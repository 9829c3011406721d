package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router is the infrastructure's router of a zone: it asks each entry host twice a second whether it is
// ready, and selects one by a hash of the flow over those in rotation.
type router struct {
	port uint16

	mu     sync.Mutex
	hosts  []netip.Addr
	ready  []netip.AddrPort
	misses []int
}

// missesOutOfRotation is the number of misses after which a host is out of rotation.
const missesOutOfRotation = 2

func (r *router) add(host netip.Addr, readyPort uint16) {
	r.hosts, r.ready, r.misses = append(r.hosts, host), append(r.ready, netip.AddrPortFrom(host, readyPort)), append(r.misses, missesOutOfRotation)
}

func (r *router) probe(ctx context.Context) {
	client := newHTTPClient(400*time.Millisecond, nil)
	for ctx.Err() == nil {
		for i, address := range r.ready {
			go func() {
				response, err := client.Get(fmt.Sprintf("http://%s/cassiawood/ready", address))
				isReady := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if r.misses[i]++; isReady {
					r.misses[i] = 0
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (r *router) inRotation() []netip.Addr {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []netip.Addr
	for i, host := range r.hosts {
		if r.misses[i] < missesOutOfRotation {
			list = append(list, host)
		}
	}
	if 2*len(list) < len(r.hosts) {
		return r.hosts
	}
	return list
}

func (r *router) readyCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, misses := range r.misses {
		if misses == 0 {
			count++
		}
	}
	return count
}

// pick returns the entry host that gets the packets of a flow.
func (r *router) pick(from, to netip.AddrPort) netip.AddrPort {
	hosts := r.inRotation()
	h := fnv.New32a()
	_, _ = h.Write([]byte(from.String() + to.String())) // a hash never fails
	return netip.AddrPortFrom(hosts[int(h.Sum32()%uint32(len(hosts)))], r.port)
}
