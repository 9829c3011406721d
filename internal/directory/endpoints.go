package directory

import "slices"

func (s *State) addEndpoint(e Endpoint) Outcome {
	service, ok := s.ServiceAnnouncedAs(e.Service)
	if !ok {
		return refuse("no service is announced as %q", e.Service)
	}
	if _, known := s.idsByInstance[e.Instance]; known {
		return refuse("instance %q is already known", e.Instance)
	}
	if !e.Address.IsValid() || e.Instance == "" || e.Domain == "" {
		return refuse("endpoint %q lacks an instance, address or failure domain", e.Instance)
	}
	if e.State >= Removed {
		return refuse("instance %q cannot be added in state %d", e.Instance, e.State)
	}
	// A new instance on an address shows that the previous process there has ended.
	for _, id := range s.EndpointIDsByAddress(e.Address) {
		if old := s.endpoints[id]; old.State != Removed {
			s.makeTombstone(old)
			s.rebalance(s.services[old.Service].table)
		}
	}
	s.lastID++
	e.ID, e.Service, e.Suspected, e.RemovedAt = s.lastID, service.Name, false, 0
	s.endpoints[e.ID] = &e
	s.indexEndpoint(&e)
	service.table.endpointIDs = append(service.table.endpointIDs, e.ID)
	s.rebalance(service.table)
	return Outcome{Applied: true, Endpoint: e.ID}
}

func (s *State) changeEndpointState(c EndpointStateChanged) Outcome {
	e, ok := s.EndpointByInstance(c.Instance)
	if !ok {
		return refuse("no instance %q", c.Instance)
	}
	if c.State <= e.State || c.State >= Removed {
		return refuse("instance %q cannot go from state %d to %d", c.Instance, e.State, c.State)
	}
	e.State = c.State
	if e.State != Ready {
		e.Suspected = false
	}
	s.rebalance(s.services[e.Service].table)
	return Outcome{Applied: true, Endpoint: e.ID}
}

func (s *State) removeInstance(instance string) Outcome {
	e, ok := s.EndpointByInstance(instance)
	if !ok || e.State == Removed {
		return refuse("no instance %q", instance)
	}
	s.makeTombstone(e)
	s.rebalance(s.services[e.Service].table)
	return Outcome{Applied: true, Endpoint: e.ID}
}

// makeTombstone turns an endpoint into a tombstone. The caller rebalances the
// service.
func (s *State) makeTombstone(e *Endpoint) {
	e.State, e.Suspected, e.RemovedAt = Removed, false, s.now
	s.tombstones = append(s.tombstones, e.ID)
	t := s.services[e.Service].table
	t.endpointIDs = slices.DeleteFunc(t.endpointIDs, func(id EndpointID) bool { return id == e.ID })
	edit := s.editTable(t)
	for i := range t.moveStateOf {
		edit.simplifyAfterRemoval(i, e.ID)
	}
	edit.close()
}

func (s *State) setSuspicion(c EndpointSuspected) Outcome {
	e, ok := s.EndpointByInstance(c.Instance)
	if !ok || e.State != Ready {
		return refuse("no ready instance %q", c.Instance)
	}
	t := s.services[e.Service].table
	if c.Suspected && !e.Suspected {
		suspected, ready := s.countSuspected(t)
		if suspected+1 > MaxSuspected(ready) {
			return refuse("%d of %d endpoints of %s are suspected already", suspected, ready, e.Service)
		}
	}
	e.Suspected = c.Suspected
	s.rebalance(t)
	return Outcome{Applied: true, Endpoint: e.ID}
}

// MaxSuspected returns how many of a service's ready endpoints may be suspected
// at once. The limit keeps a service in use when its probes are faulty.
func MaxSuspected(ready int) int { return ready / 3 }

// SuspectedCounts returns how many endpoints of a service are suspected and how
// many are ready.
func (s *State) SuspectedCounts(service string) (suspected, ready int) {
	if state, ok := s.services[service]; ok {
		return s.countSuspected(state.table)
	}
	return 0, 0
}

func (s *State) countSuspected(t *table) (suspected, ready int) {
	for _, id := range t.endpointIDs {
		e := s.endpoints[id]
		if e.State == Ready {
			ready++
		}
		if e.Suspected {
			suspected++
		}
	}
	return suspected, ready
}

// limitSuspicion clears suspicions until MaxSuspected holds again, which it may
// not after a ready endpoint has left. The oldest endpoints come first.
func (s *State) limitSuspicion(t *table) {
	suspected, ready := s.countSuspected(t)
	for _, id := range t.endpointIDs {
		if suspected <= MaxSuspected(ready) {
			return
		}
		if e := s.endpoints[id]; e.Suspected {
			e.Suspected = false
			suspected--
		}
	}
}

// acceptsFlows reports whether new flows may be placed on e. The holders of an
// endpoint's records are in its failure domain, so the endpoints of a domain that
// is out of service get no new flows.
func (s *State) acceptsFlows(e *Endpoint) bool {
	return e.State.AcceptsFlows() && !e.Suspected && !s.outOfService[e.Domain]
}

// Accepts reports whether new flows may be placed on an endpoint.
func (s *State) Accepts(id EndpointID) bool {
	e, ok := s.endpoints[id]
	return ok && s.acceptsFlows(e)
}

// expireTombstones removes the endpoints whose TombstoneDuration is over.
func (s *State) expireTombstones() {
	for len(s.tombstones) > 0 {
		e := s.endpoints[s.tombstones[0]]
		if s.now-e.RemovedAt < TombstoneDuration {
			return
		}
		s.tombstones = s.tombstones[1:]
		s.deleteEndpoint(e)
		s.dropFromTable(s.services[e.Service].table, e.ID)
	}
}

// deleteEndpoint removes an endpoint from all indexes.
func (s *State) deleteEndpoint(e *Endpoint) {
	delete(s.endpoints, e.ID)
	delete(s.idsByInstance, e.Instance)
	key := addressKey{address: e.Address}
	ids := slices.DeleteFunc(slices.Clone(s.EndpointIDsByAddress(e.Address)), func(id EndpointID) bool { return id == e.ID })
	if len(ids) == 0 {
		s.idsByAddress.remove(key)
		return
	}
	s.idsByAddress.set(key, ids)
}
