package experiment

// Scenario is a fault or load change that affects a service from disturbanceStart to
// disturbanceEnd.
type Scenario struct {
	Name    string
	prepare func(r *run)
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{"steady", func(*run) {}},
		{"peak", preparePeak},
		{"cold start", prepareColdStart},
		{"slow backend server", onFirst(func(b *backend, on bool) { b.slow = on })},
		{"frozen load endpoint", onFirst(func(b *backend, on bool) { b.frozen = on })},
		{"false health", onFirst(func(b *backend, on bool) { b.refusing = on })},
		{"shedding", prepareShedding},
		{"drain", prepareDrain},
		{"domain cut", prepareCut},
		{"herding", prepareHerding},
	}
}

// preparePeak offers twice the capacity.
func preparePeak(r *run) {
	r.at(disturbanceStart, func() { r.offeredLoad = 2 })
	r.at(disturbanceEnd, func() { r.offeredLoad = steadyLoad })
}

// onFirst gives the first backend server a fault from disturbanceStart to disturbanceEnd.
func onFirst(set func(b *backend, on bool)) func(r *run) {
	return func(r *run) {
		r.at(disturbanceStart, func() { set(r.backends[0], true) })
		r.at(disturbanceEnd, func() { set(r.backends[0], false) })
	}
}

// prepareColdStart adds the last backend server only at disturbanceStart.
func prepareColdStart(r *run) {
	b := r.backends[len(r.backends)-1]
	b.inService = false
	r.at(disturbanceStart, func() {
		b.inService, b.cold, b.coldFrom, b.inServiceSince = true, true, r.now, r.now
		r.publishEndpoints()
	})
}

// prepareShedding makes a quarter of the backend servers refuse half of their requests.
func prepareShedding(r *run) {
	for _, b := range r.backends[:max(1, len(r.backends)/4)] {
		r.at(disturbanceStart, func() { b.shedding = true })
		r.at(disturbanceEnd, func() { b.shedding = false })
	}
}

// prepareDrain takes the first backend server out of service; it finishes the
// requests that it has.
func prepareDrain(r *run) {
	r.at(disturbanceStart, func() {
		r.backends[0].inService = false
		r.publishEndpoints()
	})
}

// prepareCut cuts the first failure domain off for 30 s.
func prepareCut(r *run) {
	r.at(disturbanceStart, func() { r.cutDomain = 0 })
	r.at(disturbanceStart+fenceDelay, func() {
		r.fenced = true
		r.publishEndpoints()
	})
	r.at(disturbanceStart+(disturbanceEnd-disturbanceStart)/2, func() {
		r.cutDomain, r.fenced = -1, false
		r.publishEndpoints()
	})
}

// prepareHerding makes all entry hosts read the load at the same time and get it late.
func prepareHerding(r *run) { r.synchronized, r.reportDelay = true, 2*reportInterval }
