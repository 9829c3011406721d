package wire

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/flow"
	"cassiawood/internal/wire/wirepb"
)

// PeerMessageToProto converts a message for another entry host.
func PeerMessageToProto(m flow.Message) *wirepb.Envelope {
	switch {
	case m.Batch != nil:
		return &wirepb.Envelope{Body: &wirepb.Envelope_RecordBatch{RecordBatch: batchToProto(m.Batch)}}
	case m.Ack != nil:
		return &wirepb.Envelope{Body: &wirepb.Envelope_RecordAck{RecordAck: &wirepb.RecordAck{Id: m.Ack.ID}}}
	case m.Suspects != nil:
		return &wirepb.Envelope{Body: &wirepb.Envelope_Suspects{Suspects: suspectsToProto(m.Suspects)}}
	case m.Done != nil:
		done := &wirepb.HandoverDone{Host: m.Done.Host, Incarnation: m.Done.Incarnation}
		return &wirepb.Envelope{Body: &wirepb.Envelope_HandoverDone{HandoverDone: done}}
	default:
		return &wirepb.Envelope{Body: &wirepb.Envelope_Hint{Hint: hintsToProto(m.Hints)}}
	}
}

// PeerMessageFromProto converts a message from another entry host and leaves To
// empty. It rejects values out of range, so that the engine receives only valid ones.
func PeerMessageFromProto(e *wirepb.Envelope) (flow.Message, error) {
	var m flow.Message
	var err error
	switch body := e.GetBody().(type) {
	case *wirepb.Envelope_RecordBatch:
		m.Batch, err = batchFromProto(body.RecordBatch)
	case *wirepb.Envelope_RecordAck:
		m.Ack = &flow.RecordAck{ID: body.RecordAck.GetId()}
	case *wirepb.Envelope_Suspects:
		m.Suspects, err = suspectsFromProto(body.Suspects)
	case *wirepb.Envelope_HandoverDone:
		m.Done = &flow.HandoverDone{Host: body.HandoverDone.GetHost(), Incarnation: body.HandoverDone.GetIncarnation()}
	case *wirepb.Envelope_Hint:
		m.Hints, err = hintsFromProto(body.Hint)
	default:
		return m, fmt.Errorf("unexpected envelope %T between entry hosts", body)
	}
	return m, err
}

func batchToProto(b *flow.RecordBatch) *wirepb.RecordBatch {
	out := &wirepb.RecordBatch{Id: b.ID, TableIndex: b.TableIndex, Request: b.Request}
	for _, h := range b.Holdings {
		out.Holdings = append(out.Holdings, &wirepb.Holding{
			Service: h.Service, Bucket: h.Bucket, Home: uint32(h.Home), Whole: h.Complete, LostFrom: h.LostFrom,
		})
	}
	for i := range b.Records {
		out.Records = append(out.Records, recordToProto(&b.Records[i]))
	}
	return out
}

func batchFromProto(p *wirepb.RecordBatch) (*flow.RecordBatch, error) {
	b := &flow.RecordBatch{ID: p.GetId(), TableIndex: p.GetTableIndex(), Request: p.GetRequest()}
	for _, h := range p.GetHoldings() {
		b.Holdings = append(b.Holdings, flow.HoldingRef{
			Service: h.GetService(), Bucket: h.GetBucket(), Home: flow.DomainID(h.GetHome()),
			Complete: h.GetWhole(), LostFrom: h.GetLostFrom(),
		})
	}
	for _, r := range p.GetRecords() {
		record, err := recordFromProto(r)
		if err != nil {
			return nil, err
		}
		b.Records = append(b.Records, record)
	}
	return b, nil
}

func hintsToProto(hints []flow.Hint) *wirepb.Hint {
	out := &wirepb.Hint{}
	for i := range hints {
		out.Hints = append(out.Hints, &wirepb.HintRecord{
			Record: recordToProto(&hints[i].Record), AskedAtNs: int64(hints[i].AskedAt),
		})
	}
	return out
}

func hintsFromProto(p *wirepb.Hint) ([]flow.Hint, error) {
	var hints []flow.Hint
	for _, h := range p.GetHints() {
		record, err := recordFromProto(h.GetRecord())
		if err != nil {
			return nil, err
		}
		hints = append(hints, flow.Hint{Record: record, AskedAt: time.Duration(h.GetAskedAtNs())})
	}
	return hints, nil
}

func suspectsToProto(s *flow.Suspects) *wirepb.Suspects {
	out := &wirepb.Suspects{Query: s.Query}
	for i := range s.Suspects {
		suspect := &s.Suspects[i]
		out.Suspects = append(out.Suspects, &wirepb.Suspect{
			Record: recordToProto(&suspect.Record), CallerPackets: suspect.CallerPackets,
			CallerForNs: int64(suspect.SinceFirstCallerPacket), BackendAgoNs: int64(suspect.SinceBackendPacket), AgeNs: int64(suspect.Age),
			LaterAnsweredNs: int64(suspect.YoungestAnsweredAge), Acknowledgment: suspect.Acknowledgment,
		})
	}
	return out
}

func suspectsFromProto(p *wirepb.Suspects) (*flow.Suspects, error) {
	s := &flow.Suspects{Query: p.GetQuery()}
	for _, suspect := range p.GetSuspects() {
		record, err := recordFromProto(suspect.GetRecord())
		if err != nil {
			return nil, err
		}
		s.Suspects = append(s.Suspects, flow.Suspect{
			Record: record, CallerPackets: suspect.GetCallerPackets(), SinceFirstCallerPacket: time.Duration(suspect.GetCallerForNs()),
			SinceBackendPacket: time.Duration(suspect.GetBackendAgoNs()), Age: time.Duration(suspect.GetAgeNs()),
			YoungestAnsweredAge: time.Duration(suspect.GetLaterAnsweredNs()), Acknowledgment: suspect.GetAcknowledgment(),
		})
	}
	return s, nil
}

func recordToProto(r *flow.Record) *wirepb.Record {
	return &wirepb.Record{
		Caller: addressToBinary(r.Caller), Service: addressToBinary(r.Service), Protocol: uint32(r.Protocol),
		State: uint32(r.State), Endpoint: uint32(r.Endpoint), Sequence: r.Sequence, Home: uint32(r.Home),
	}
}

func recordFromProto(p *wirepb.Record) (flow.Record, error) {
	caller, err := addressFromBinary(p.GetCaller())
	if err != nil {
		return flow.Record{}, fmt.Errorf("record: caller address: %w", err)
	}
	service, err := addressFromBinary(p.GetService())
	if err != nil {
		return flow.Record{}, fmt.Errorf("record: service address: %w", err)
	}
	state := p.GetState()
	if state > uint32(flow.RecordSent) || p.GetProtocol() > math.MaxUint8 {
		return flow.Record{}, fmt.Errorf("record has an unknown state or protocol: state %d, protocol %d", state, p.GetProtocol())
	}
	return flow.Record{
		Caller: caller, Service: service, Protocol: uint8(p.GetProtocol()), State: flow.RecordState(state),
		Endpoint: directory.EndpointID(p.GetEndpoint()), Sequence: p.GetSequence(), Home: flow.DomainID(p.GetHome()),
	}, nil
}

// addressToBinary returns the binary form of netip.AddrPort.
func addressToBinary(a netip.AddrPort) []byte {
	b, err := a.MarshalBinary()
	if err != nil {
		panic("wire: cannot encode address: " + err.Error())
	}
	return b
}

func addressFromBinary(b []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil {
		return a, err
	}
	if !a.Addr().Is4() {
		return a, fmt.Errorf("%s is not an IPv4 address", a)
	}
	return a, nil
}
