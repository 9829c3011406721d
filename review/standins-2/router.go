package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// router stands for the routers of one zone. It probes the nodes twice a second and hashes flows over those in rotation with "mod".
type router struct {
	record *record
	nodes  []*machine
	socket *net.UDPConn
	mu     sync.Mutex
	misses []int
	ready  []bool
	// datagrams counts those between clients and nodes, and from endpoints to clients.
	datagrams atomic.Int64
}

func newRouter(r *record, s *site, nodes []*machine) (*router, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(s.address(clientKind, 200), 0)))
	if err != nil {
		return nil, err
	}
	o := &router{record: r, nodes: nodes, socket: socket, misses: make([]int, len(nodes)), ready: make([]bool, len(nodes))}
	for i := range nodes {
		go o.probe(i)
	}
	return o, nil
}

func (o *router) probe(i int) {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/cassiawood/ready", netip.AddrPortFrom(o.nodes[i].ip, readyPort))
	for ; ; time.Sleep(500 * time.Millisecond) {
		ok := false
		if response, err := client.Get(url); err == nil {
			ok = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
		o.mu.Lock()
		before := o.ready[i]
		if o.misses[i]++; ok {
			o.misses[i], o.ready[i] = 0, true
		} else if o.misses[i] >= 2 {
			o.ready[i] = false
		}
		if o.ready[i] != before {
			o.record.say("router: %s in rotation: %t", o.nodes[i].name, o.ready[i])
		}
		o.mu.Unlock()
	}
}

func (o *router) readyCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, ready := range o.ready {
		if ready {
			count++
		}
	}
	return count
}

// nodeOf returns the node that the packets of a flow go to now. With fewer than half of the nodes in rotation all are used.
func (o *router) nodeOf(from, to netip.AddrPort) *machine {
	o.mu.Lock()
	defer o.mu.Unlock()
	var used []*machine
	for i, ready := range o.ready {
		if ready {
			used = append(used, o.nodes[i])
		}
	}
	if 2*len(used) < len(o.nodes) {
		used = slices.Clone(o.nodes)
	}
	h := fnv.New32a()
	for _, a := range []netip.AddrPort{from, to} {
		_, _ = h.Write(a.Addr().AsSlice()) // a hash never fails
		_, _ = h.Write(binary.BigEndian.AppendUint16(nil, a.Port()))
	}
	return used[int(h.Sum32()>>3)%len(used)]
}

// send forwards a packet of a client.
func (o *router) send(p *packet) *machine {
	node := o.nodeOf(p.from, p.to)
	o.datagrams.Add(1)
	_, _ = o.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(node.ip, datagramPort)) // a lost packet is sent again
	return node
}
