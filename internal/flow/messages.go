package flow

import (
	"net/netip"
	"time"

	"cassiawood/internal/directory"
)

// HoldingRef identifies the records of one bucket whose holders are in one failure domain.
// In an answer, Complete is true if the sender had every record of the holding. LostFrom lists
// the holders that became unreachable before the sender could copy their records.
type HoldingRef struct {
	Service  string
	Bucket   uint32
	Home     DomainID
	Complete bool

	LostFrom []string
}

// RecordBatch carries records between holders. Holdings lists the holdings that a request
// asks for, or that an answer completes; it is empty for records that were not requested.
type RecordBatch struct {
	ID         uint64
	TableIndex uint64
	Request    bool
	Holdings   []HoldingRef
	Records    []Record
}

// RecordAck confirms that the records of a batch are stored.
type RecordAck struct{ ID uint64 }

// Hint gives an ingress host the endpoint of a flow. AskedAt is the value from the hand-off,
// so that the age of a hint counts from the query. It is -1 in a hint about a flow that a
// host of a cut-off failure domain placed.
type Hint struct {
	Record  Record
	AskedAt time.Duration
}

// Suspect is one host's evidence about a flow that may be silent. All times are ages, because
// clocks differ between hosts.
type Suspect struct {
	Record                 Record
	CallerPackets          uint32        // since the last packet from the backend server
	SinceFirstCallerPacket time.Duration // since the first of them
	SinceBackendPacket     time.Duration // since the last packet from the backend server; negative if the host saw none
	Age                    time.Duration // since the host first saw the flow
	YoungestAnsweredAge    time.Duration // age of the endpoint's youngest flow with a recent response; negative if none
	Acknowledgment         uint32        // last acknowledgment number from the caller, used as the sequence number of a reset
}

// Suspects is a batch of evidence. If Query is set, the receiver answers with its own
// evidence about these flows.
type Suspects struct {
	Query    bool
	Suspects []Suspect
}

// HandoverDone announces that all records of a stopping host are confirmed by new holders.
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

// CallerReset describes a reset to send to the caller of a silent flow.
type CallerReset struct {
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Endpoint directory.EndpointID
	Sequence uint32
}

// Effects holds the messages, resets and reports that the engine produced since the last
// call of TakeEffects.
type Effects struct {
	Messages []Message
	Resets   []CallerReset
	// AcknowledgedIndex is the table index that the host may report as applied. It lags behind
	// SetTable until the holders of prepared moves have confirmed the records of flows that
	// this host began to forward just before.
	AcknowledgedIndex uint64
	RepairComplete    bool // no holding waits for copies any more
	HandoverComplete  bool // after Stop: new holders have confirmed all records
	FlowsLost         int  // records of this host that no new holder could take over
	HoldingsLost      int  // holdings for which no former holder had a complete copy
}
