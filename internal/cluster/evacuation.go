package cluster

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cassiawood/internal/changelog"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/routing"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// leaderSearchLimit is how long an order waits at a host that does not hear a leader. It exceeds most elections and ends before the
	// caller gives up on this host, after a second.
	leaderSearchLimit = 900 * time.Millisecond
	// leaderSilence is the time without contact, two heartbeats, after which orders wait instead of being proposed or directed to the leader. The
	// caller would lose a second at a leader that does not answer, and a leader without a majority must not keep an order that it has refused.
	leaderSilence = 250 * time.Millisecond
	// domainsKnownAfter is how long a host that has just started cannot tell that a failure domain does not exist, unless the settings
	// list the domains. The other hosts send their endpoints within that time.
	domainsKnownAfter = 4 * time.Second
	// evacuationRepairInterval is the minimum time between repairs of the evacuations, and the time that other hosts have for applying an
	// order before their earlier state counts as lost.
	evacuationRepairInterval = time.Second
)

// orderEvacuation is an order from a front end to begin or end an evacuation.
type orderEvacuation struct {
	order    routing.EvacuationOrder
	canceled func() bool // the caller waits no longer
	reply    *ring.Ring[answer]
}

func (orderEvacuation) isEvent() {}

// pendingOrder is an order that waits for a leader or for its commit.
type pendingOrder struct {
	orderEvacuation
	since time.Duration
	term  uint64 // in which it was proposed
}

// evacuationState is the part of the state duty that serves orders to evacuate.
type evacuationState struct {
	proposed   []pendingOrder
	searching  []pendingOrder  // wait until a leader is heard
	supporters map[string]bool // addresses of the control hosts whose build knows evacuations
	changedAt  time.Duration   // when the last order was applied
	repairedAt time.Duration   // when the last repair was proposed
}

// Evacuate begins the evacuation of a failure domain: its endpoints get no new flows. It returns nil after a majority has stored the order.
// The order is not proposed if ctx is done.
func (a API) Evacuate(ctx context.Context, domain string) error {
	return a.orderEvacuation(ctx, routing.EvacuationOrder{Domain: domain, Begins: true})
}

// EndEvacuation ends the evacuation of a failure domain, see Evacuate.
func (a API) EndEvacuation(ctx context.Context, domain string) error {
	return a.orderEvacuation(ctx, routing.EvacuationOrder{Domain: domain})
}

func (a API) orderEvacuation(ctx context.Context, order routing.EvacuationOrder) error {
	_, err := a.request(func(reply *ring.Ring[answer]) event {
		return orderEvacuation{order: order, canceled: func() bool { return ctx.Err() != nil }, reply: reply}
	})
	return err
}

// handleOrder proposes an order on the leader. It is proposed even if it would change nothing: a former leader may not know that the
// opposite order was acknowledged elsewhere.
func (d *stateDuty) handleOrder(p pendingOrder) error {
	fail := func(err error) error {
		d.log.Info("evacuation order not taken", "domain", p.order.Domain, "begins", p.order.Begins, "reason", err)
		p.reply.Offer(answer{err: err})
		return nil
	}
	if p.canceled() {
		return fail(context.Canceled)
	}
	if d.ordersMustWait() && !d.isStopping && d.now-p.since < leaderSearchLimit {
		d.evacuation.searching = append(d.evacuation.searching, p)
		return nil
	}
	if err := d.checkTakesOrders(p.order.Domain); err != nil {
		return fail(err)
	}
	data, err := wire.EncodeEvacuationOrder(p.order)
	if err != nil {
		return fail(err)
	}
	p.term = d.status.Term
	if !d.logInbox.Offer(replica.Propose{Data: data, Term: p.term, Canceled: p.canceled}) {
		return fail(ErrUnavailable)
	}
	d.evacuation.proposed = append(d.evacuation.proposed, p)
	d.log.Info("evacuation order proposed", "domain", p.order.Domain, "begins", p.order.Begins, "term", p.term, "waitedMs", (d.now - p.since).Milliseconds())
	return nil
}

// ordersMustWait reports whether this host hears too little to take an order or to name a leader that does: the leader is silent or may be of an
// earlier build, or this host leads without a majority that answers and supports evacuations.
func (d *stateDuty) ordersMustWait() bool {
	if d.status.LastContact < 0 || d.now-d.status.LastContact > leaderSilence {
		return true
	}
	if d.isLeader() {
		return !d.majoritySupportsEvacuations()
	}
	return !d.evacuation.supporters[d.leaderAddress()]
}

// checkTakesOrders returns nil if this host can propose an order for the failure domain. On a leader whose majority answers slowly the order
// has waited for leaderSearchLimit and is proposed then. Without a majority the last contact is longer ago than maxContactAge by that time.
func (d *stateDuty) checkTakesOrders(domain string) error {
	canServe := !d.ordersMustWait()
	if d.isLeader() {
		canServe = d.majoritySupportsEvacuations() && d.hasMajorityContact()
	}
	if !canServe && !d.isStopping {
		return d.unavailable()
	}
	if err := d.checkTakesRequests(); err != nil {
		return err
	}
	switch {
	case slices.Contains(d.knownDomains(), domain):
		return nil
	case len(d.settings.DomainRegions) == 0 && d.now-d.startedAt < domainsKnownAfter:
		return fmt.Errorf("the failure domains are not known yet: %w", ErrUnavailable)
	default:
		return RejectedError{Reason: fmt.Sprintf("no failure domain has the name %q", domain)}
	}
}

// majoritySupportsEvacuations reports whether the hosts whose build knows evacuations are a majority of the voters. An order that only a
// minority understands could be lost with their disks.
func (d *stateDuty) majoritySupportsEvacuations() bool {
	voters, supporters := 0, 0
	for _, m := range d.status.Members {
		if !m.Voter {
			continue
		}
		voters++
		if m.ID == d.self.ID || d.evacuation.supporters[m.Address] {
			supporters++
		}
	}
	return supporters > voters/2
}

// knownDomains returns the failure domains for which orders are taken: those of the settings, or else those of the known hosts and endpoints.
func (d *stateDuty) knownDomains() []string {
	domains := slices.Clone(d.routes.Evacuations().Domains)
	for domain := range d.settings.DomainRegions {
		domains = append(domains, domain)
	}
	if len(d.settings.DomainRegions) > 0 {
		return domains
	}
	domains = append(domains, d.self.Domain)
	for _, domain := range d.memberDomains {
		domains = append(domains, domain)
	}
	// A host that comes back without its disk leaves the membership for a moment, and its domain may have no other.
	for domain := range d.earlierDomains {
		domains = append(domains, domain)
	}
	for _, m := range d.status.Members {
		if m.Domain != "" {
			domains = append(domains, m.Domain)
		}
	}
	for _, e := range d.registry.All() {
		domains = append(domains, e.Domain)
	}
	return domains
}

// applyEvacuation applies an order from the log, tells the entry hosts and acknowledges the orders that it fulfils. Equal orders are
// acknowledged together, but not one that was proposed after the opposite order: that one may be committed next, and the leader may end
// before the later order is stored.
func (d *stateDuty) applyEvacuation(order routing.EvacuationOrder, entry changelog.Entry) {
	changed := d.routes.ApplyEvacuation(order, entry.Index)
	state := d.routes.Evacuations()
	d.evacuation.changedAt = d.now
	if order.Restore != nil {
		d.log.Info("evacuations restored", "revisionSent", order.Restore.Revision, "index", entry.Index, "term", entry.Term, "changed", changed, "inForce", state.Domains)
	}
	d.publishEvacuations()
	var remaining []pendingOrder
	tookMs := int64(-1) // the order was taken by another host
	isFulfilled, isReversed := false, false
	for _, p := range d.evacuation.proposed {
		isReversed = isReversed || isFulfilled && p.order.Domain == order.Domain && p.order.Begins != order.Begins
		if order.Restore != nil || isReversed || p.order != order || p.term != entry.Term {
			remaining = append(remaining, p)
			continue
		}
		isFulfilled = true
		tookMs = (d.now - p.since).Milliseconds()
		d.metrics.evacuationLatency.Update((d.now - p.since).Microseconds())
		p.reply.Offer(answer{})
	}
	d.evacuation.proposed = remaining
	if order.Restore == nil {
		d.log.Info("evacuation order committed", "domain", order.Domain, "begins", order.Begins, "index", entry.Index, "term", entry.Term,
			"tookMs", tookMs, "changed", changed, "inForce", state.Domains)
	}
}

// publishEvacuations sends the evacuations to the entry hosts at once.
func (d *stateDuty) publishEvacuations() {
	d.metrics.evacuations.Update(int64(len(d.routes.Evacuations().Domains)))
	d.publish(&wirepb.EdgeUpdate{Evacuation: wire.EvacuationsToProto(d.routes.Evacuations())})
}

// failOrders fails the proposed orders. They may still come into force, and are not proposed again.
func (d *stateDuty) failOrders() {
	for _, p := range d.evacuation.proposed {
		p.reply.Offer(answer{err: ErrUnavailable})
	}
	d.evacuation.proposed = nil
}

// retryOrders takes the orders that wait for a leader again.
func (d *stateDuty) retryOrders() error {
	searching := d.evacuation.searching
	d.evacuation.searching = nil
	for _, p := range searching {
		if err := d.handleOrder(p); err != nil {
			return err
		}
	}
	return nil
}

// expireOrders fails the proposed orders that have waited longer than answerTimeout.
func (d *stateDuty) expireOrders() {
	d.evacuation.proposed = slices.DeleteFunc(d.evacuation.proposed, func(p pendingOrder) bool {
		expired := d.now-p.since >= answerTimeout
		if expired {
			d.log.Warn("evacuation order not committed in time", "domain", p.order.Domain, "begins", p.order.Begins, "waitedMs", (d.now - p.since).Milliseconds())
			p.reply.Offer(answer{err: ErrUnavailable})
		}
		return expired
	})
}
