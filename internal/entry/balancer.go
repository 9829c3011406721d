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
	host       string
	random     *rand.Rand
	now        time.Duration
	loadModels map[string]*balance.LoadModel // by service
	serviceOf  map[directory.EndpointID]string
}

func newBalancer(host string, seed uint64) *balancer {
	return &balancer{
		host: host, random: rand.New(rand.NewPCG(seed, 0)),
		loadModels: map[string]*balance.LoadModel{}, serviceOf: map[directory.EndpointID]string{},
	}
}

// advance sets the current time.
func (b *balancer) advance(now time.Duration) {
	b.now = now
	for _, model := range b.loadModels {
		model.Advance(now)
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
	for _, name := range state.ServiceNames() {
		service, _ := state.Service(name)
		if service.Priority != document.BalanceFirst {
			continue
		}
		model, ok := b.loadModels[name]
		if !ok {
			model = balance.New(balance.Config{Host: b.host, Hosts: hosts}, b.random)
			model.Advance(b.now)
			b.loadModels[name] = model
		}
		model.SetHosts(hosts)
		for _, id := range service.EndpointIDs() {
			present[id] = true
			if endpoint, found := state.Endpoint(id); found && b.serviceOf[id] == "" {
				model.Add(id, endpoint.Slots, ok)
				b.serviceOf[id] = name
			}
		}
	}
	for id, service := range b.serviceOf {
		if !present[id] {
			b.loadModels[service].Remove(id)
			delete(b.serviceOf, id)
		}
	}
}

// choose implements flow.Config.ChooseEndpoint.
func (b *balancer) choose(service string, candidates []directory.EndpointID) directory.EndpointID {
	model, ok := b.loadModels[service]
	if !ok {
		return candidates[0]
	}
	id := model.Choose(service, candidates)
	if id != 0 {
		model.Sent(id)
	}
	return id
}

// closed implements flow.Config.OnFlowClosed.
func (b *balancer) closed(id directory.EndpointID, age time.Duration) {
	if model, ok := b.loadModels[b.serviceOf[id]]; ok {
		model.Done(id, balance.Answered, age)
	}
}

// observe records a load report of an endpoint.
func (b *balancer) observe(endpoint *directory.Endpoint, report balance.Report) {
	if model, ok := b.loadModels[endpoint.Service]; ok {
		model.Observe(endpoint.ID, report)
	}
}
