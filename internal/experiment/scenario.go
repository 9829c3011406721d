package experiment

// Scenario is a fault or load change that affects a service from troubleFrom to
// troubleTo.
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
	r.at(troubleFrom, func() { r.load = 2 })
	r.at(troubleTo, func() { r.load = steadyLoad })
}

// onFirst gives the first backend server a fault from troubleFrom to troubleTo.
func onFirst(set func(b *backend, on bool)) func(r *run) {
	return func(r *run) {
		r.at(troubleFrom, func() { set(r.backends[0], true) })
		r.at(troubleTo, func() { set(r.backends[0], false) })
	}
}

// prepareColdStart adds the last backend server only at troubleFrom.
func prepareColdStart(r *run) {
	b := r.backends[len(r.backends)-1]
	b.inService = false
	r.at(troubleFrom, func() {
		b.inService, b.cold, b.coldFrom, b.since = true, true, r.now, r.now
		r.update()
	})
}

// prepareShedding makes a quarter of the backend servers refuse half of their requests.
func prepareShedding(r *run) {
	for _, b := range r.backends[:max(1, len(r.backends)/4)] {
		r.at(troubleFrom, func() { b.shedding = true })
		r.at(troubleTo, func() { b.shedding = false })
	}
}

// prepareDrain takes the first backend server out of service; it finishes the
// requests that it has.
func prepareDrain(r *run) {
	r.at(troubleFrom, func() {
		r.backends[0].inService = false
		r.update()
	})
}

// prepareCut cuts the first failure domain off for 30 s.
func prepareCut(r *run) {
	r.at(troubleFrom, func() { r.cut = 0 })
	r.at(troubleFrom+fenceAfter, func() {
		r.fenced = true
		r.update()
	})
	r.at(troubleFrom+(troubleTo-troubleFrom)/2, func() {
		r.cut, r.fenced = -1, false
		r.update()
	})
}

// prepareHerding makes all entry hosts read the load at the same time and get it late.
func prepareHerding(r *run) { r.together, r.lag = true, 2*reportEvery }
