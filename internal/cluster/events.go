package cluster

import (
	"time"

	"cassiawood/internal/changelog"
	"cassiawood/internal/registry"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/routing"
	"cassiawood/internal/wire/wirepb"
)

// event is a value in the inbox of the state duty.
type event interface{ isEvent() }

type (
	tick struct{}
	// committed and statusChanged come from the log duty.
	committed     struct{ replica.Committed }
	statusChanged struct{ status changelog.Status }
	readRefused   struct{ context uint64 }
	// endpointReported, putDesired and getDesired come from front ends.
	endpointReported struct {
		endpoint registry.Endpoint
		coldFor  time.Duration
		reply    *ring.Ring[answer]
	}
	putDesired struct {
		desired routing.Desired
		reply   *ring.Ring[answer]
	}
	getDesired struct{ reply *ring.Ring[answer] }
	// stopping is sent repeatedly while the host stops. The reply is the number of requests that wait for
	// an answer, plus one while the host's vote has to be handed over. The final one fails the requests.
	stopping struct {
		final bool
		reply *ring.Ring[int]
	}
	// subscribe and unsubscribe come from the streams of entry hosts.
	subscribe struct {
		host, domain string
		process      uint64 // random number of the entry host's process; 0 from an earlier build
		wantsState   bool   // the entry host wants routes and endpoints
		// acceptsCompressed says that the entry host reads compressed envelopes.
		acceptsCompressed bool
		out               *ring.Ring[[]byte]
	}
	unsubscribe struct{ out *ring.Ring[[]byte] }
	// demandReported is what the entry host whose stream is fed from out says of itself: its demand, the delays that it has measured and its place
	// in the rotation.
	demandReported struct {
		out    *ring.Ring[[]byte]
		report *wirepb.EdgeDemand
	}
	// peerUpdate and joinRequest come from other control hosts.
	peerUpdate  struct{ update *wirepb.EndpointUpdate }
	joinRequest struct {
		member    changelog.Member
		forwarded bool // sent by another host than the one that wants to join
	}
	// seedsChanged follows a reload of the settings file.
	seedsChanged struct{ seeds []string }
	// domainRegionsChanged follows a reload of the settings file.
	domainRegionsChanged struct{ regions map[string]string }
)

func (tick) isEvent()                 {}
func (committed) isEvent()            {}
func (statusChanged) isEvent()        {}
func (readRefused) isEvent()          {}
func (endpointReported) isEvent()     {}
func (putDesired) isEvent()           {}
func (getDesired) isEvent()           {}
func (subscribe) isEvent()            {}
func (unsubscribe) isEvent()          {}
func (demandReported) isEvent()       {}
func (peerUpdate) isEvent()           {}
func (joinRequest) isEvent()          {}
func (seedsChanged) isEvent()         {}
func (domainRegionsChanged) isEvent() {}
func (stopping) isEvent()             {}

// logOutput passes the output of the log duty to the state duty and the links.
type logOutput struct {
	stateInbox *ring.Ring[event]
	linksInbox *ring.Ring[linkEvent]
}

// Committed passes committed entries and confirmed reads to the state duty.
func (o logOutput) Committed(c replica.Committed) error {
	_, err := o.stateInbox.Put(committed{c})
	return err
}

// Status passes a new role, contact or membership to the state duty.
func (o logOutput) Status(s changelog.Status) error {
	_, err := o.stateInbox.Put(statusChanged{status: s})
	return err
}

// ReadRefused reports to the state duty that this host cannot confirm a read.
func (o logOutput) ReadRefused(context uint64) error {
	_, err := o.stateInbox.Put(readRefused{context: context})
	return err
}

// Send passes a message to the links duty.
func (o logOutput) Send(m changelog.Message) { o.linksInbox.Offer(sendLogMessage{message: m}) }
