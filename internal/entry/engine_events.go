package entry

import (
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/flow"
	"cassiawood/internal/ring"
)

// engineEvent is a value in the inbox of the engine duty.
type engineEvent interface{ isEngineEvent() }

type (
	enginePackets struct{ batch *batch }
	engineTick    struct{ now time.Duration }
	engineEntries struct {
		entries        []directory.Entry
		contactTime    time.Duration // when this host sent the request that the leader answered; 0 if no contact is proven
		committedIndex uint64        // commit index of the sender
	}
	engineSnapshot  struct{ state *directory.State }
	enginePeerHello struct {
		host, domain     string
		incarnation      uint64
		fenced, stopping bool
	}
	enginePeerMessage struct {
		from    string
		message flow.Message
	}
	engineProbe struct {
		instance string
		accepts  bool // the health URL answered with success, so the backend server accepts new flows
	}
	// engineLoad is the load that a backend server reported at its load URL.
	engineLoad struct {
		instance    string
		inFlight    int
		requestedAt time.Duration // time of the request
	}
	// engineDirectory requests a copy of the directory.
	engineDirectory struct {
		result *ring.Ring[directory.Snapshot]
	}
	engineStop   struct{}
	engineStatus struct{ result *ring.Ring[Status] }
)

func (enginePackets) isEngineEvent()     {}
func (engineTick) isEngineEvent()        {}
func (engineEntries) isEngineEvent()     {}
func (engineSnapshot) isEngineEvent()    {}
func (enginePeerHello) isEngineEvent()   {}
func (enginePeerMessage) isEngineEvent() {}
func (engineProbe) isEngineEvent()       {}
func (engineLoad) isEngineEvent()        {}
func (engineDirectory) isEngineEvent()   {}
func (engineStop) isEngineEvent()        {}
func (engineStatus) isEngineEvent()      {}
