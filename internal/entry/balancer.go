package entry

import (
	"math/rand/v2"
	"time"

	"cassiawood/internal/balance"
	"cassiawood/internal/directory"
	"cassiawood/internal/document"
)

// balancer chooses endpoints for new flows of balance-first services. Only the
// engine duty uses it. An entry host forwards packets and cannot see requests, so
// each flow counts as one request.
type balancer struct {
	host     string
	random   *rand.Rand
	now      time.Duration
	pictures map[string]*balance.LoadModel // by service
	known    map[directory.EndpointID]string
}

func newBalancer(host string, seed uint64) *balancer {
	return &balancer{
		host: host, random: rand.New(rand.NewPCG(seed, 0)),
		pictures: map[string]*balance.LoadModel{}, known: map[directory.EndpointID]string{},
	}
}

// advance sets the current time.
func (b *balancer) advance(now time.Duration) {
	b.now = now
	for _, p := range b.pictures {
		p.Advance(now)
	}
}

// update adds and removes endpoints as the directory lists them. An endpoint that
// is added to a service with existing endpoints counts as cold.
func (b *balancer) update(state *directory.State) {
	var hosts []string
	for _, h := range state.Hosts() {
		hosts = append(hosts, h.Name)
	}
	present := map[directory.EndpointID]bool{}
	for _, name := range state.Services() {
		service, _ := state.Service(name)
		if service.Priority != document.BalanceFirst {
			continue
		}
		picture, ok := b.pictures[name]
		if !ok {
			picture = balance.New(balance.Config{Host: b.host, Hosts: hosts}, b.random)
			picture.Advance(b.now)
			b.pictures[name] = picture
		}
		picture.SetHosts(hosts)
		for _, id := range service.EndpointIDs() {
			present[id] = true
			if endpoint, found := state.Endpoint(id); found && b.known[id] == "" {
				picture.Add(id, endpoint.Slots, ok)
				b.known[id] = name
			}
		}
	}
	for id, service := range b.known {
		if !present[id] {
			b.pictures[service].Remove(id)
			delete(b.known, id)
		}
	}
}

// choose implements flow.Config.Choose.
func (b *balancer) choose(service string, candidates []directory.EndpointID) directory.EndpointID {
	picture, ok := b.pictures[service]
	if !ok {
		return candidates[0]
	}
	id := picture.Choose(service, candidates)
	if id != 0 {
		picture.Sent(id)
	}
	return id
}

// closed implements flow.Config.Closed.
func (b *balancer) closed(id directory.EndpointID, age time.Duration) {
	if picture, ok := b.pictures[b.known[id]]; ok {
		picture.Done(id, balance.Answered, age)
	}
}

// observe records a load report of an endpoint.
func (b *balancer) observe(endpoint *directory.Endpoint, report balance.Report) {
	if picture, ok := b.pictures[endpoint.Service]; ok {
		picture.Observe(endpoint.ID, report)
	}
}
