package flow

import (
	"net/netip"
	"time"

	"cassiawood/internal/directory"
)

// HoldingRef names the records of one bucket that one failure domain holds. In an
// answer, Whole says that the sender had every record of the holding. LostFrom names
// the holders that went away with the records before the sender could copy them.
type HoldingRef struct {
	Service string
	Bucket  uint32
	Home    DomainID
	Whole   bool

	LostFrom []string
}

// RecordBatch carries records between holders. A request lists the holdings that the
// sender wants a copy of; an answer lists those that it completes.
type RecordBatch struct {
	ID         uint64
	TableIndex uint64
	Request    bool
	Holdings   []HoldingRef
	Records    []Record
}

// RecordAck confirms that the records of a batch are stored.
type RecordAck struct{ ID uint64 }

// Hint tells an ingress host the endpoint of a flow. AskedAt is the value from the
// hand-off, so that the age of a hint counts from the question; it is -1 in a
// hint at a flow that a host of a cut-off failure domain began.
type Hint struct {
	Record  Record
	AskedAt time.Duration
}

// Suspect is one host's evidence about a flow that may be silent. Clocks differ
// between hosts, so all times are ages.
type Suspect struct {
	Record         Record
	CallerPackets  uint32        // since the last packet from the backend server
	CallerFor      time.Duration // since the first of them
	BackendAgo     time.Duration // since the last packet from the backend server; negative if none was seen
	Age            time.Duration // since the host first saw the flow
	LaterAnswered  time.Duration // age of the youngest flow with a recent response from the endpoint; negative if none
	Acknowledgment uint32        // the caller's last, which is the sequence number of a reset
}

// Suspects is a batch of evidence. With Query set the receiver answers with
// what it knows of these flows.
type Suspects struct {
	Query    bool
	Suspects []Suspect
}

// HandoverDone tells the peers that a stopping host's records are all confirmed.
type HandoverDone struct {
	Host        string
	Incarnation uint64
}

// Message is one message to a peer; exactly one of the pointers is set.
type Message struct {
	To       string
	Batch    *RecordBatch
	Ack      *RecordAck
	Hints    []Hint
	Suspects *Suspects
	Done     *HandoverDone
}

// Termination asks for a reset towards the caller of a silent flow.
type Termination struct {
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Endpoint directory.EndpointID
	Sequence uint32
}

// Effects is what the engine wants done since the last call of Ready.
type Effects struct {
	Messages []Message
	Resets   []Termination
	// Acknowledge is the table index that the host may report as applied. It lags
	// behind SetTable while the holders of prepared moves have not yet confirmed
	// the flows that this host began to forward just before.
	Acknowledge      uint64
	RepairComplete   bool // the last incomplete holding became whole
	HandoverComplete bool // after Stop: all records are confirmed elsewhere
	FlowsLost        int  // held records that could not be handed over or were evicted
	HoldingsLost     int  // holdings whose holders are all gone
}
