package wire

import (
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"cassiawood/internal/directory"
	"cassiawood/internal/wire/wirepb"
)

// A directory.EndpointSuspected command is encoded as an EndpointStateChanged with
// one of these states, which are above every directory.EndpointState.
const (
	stateSuspected    = 100
	stateNotSuspected = 101
)

var (
	errNoKnownBody  = errors.New("command has no known body")
	errUnknownField = errors.New("field is unknown to this version")
)

// EncodeCommand returns the encoding of a command for a log entry. It returns an
// error for a command that DecodeCommand would reject, because such an entry, once
// committed, would stop every host.
func EncodeCommand(c directory.Command) ([]byte, error) {
	body, err := commandToProto(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode command %T: %w", c, err)
	}
	if _, err := DecodeCommand(data); err != nil {
		return nil, fmt.Errorf("encode command %T: %w", c, err)
	}
	return data, nil
}

// DecodeCommand decodes the command of a log entry. It rejects a command without
// a body or with a field that is unknown to this version: a host that applied only
// part of a command would diverge from the state of the other hosts.
func DecodeCommand(data []byte) (directory.Command, error) {
	var pb wirepb.Command
	if err := proto.Unmarshal(data, &pb); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	if err := rejectUnknownFields(pb.ProtoReflect()); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	c, err := commandFromProto(&pb)
	if err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	return c, nil
}

// rejectUnknownFields returns an error if m or a message nested in it has unknown fields.
func rejectUnknownFields(m protoreflect.Message) error {
	if len(m.GetUnknown()) > 0 {
		return fmt.Errorf("%s: %w", m.Descriptor().Name(), errUnknownField)
	}
	var err error
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.Message() == nil:
		case field.IsList():
			for i := 0; i < value.List().Len() && err == nil; i++ {
				err = rejectUnknownFields(value.List().Get(i).Message())
			}
		default:
			err = rejectUnknownFields(value.Message())
		}
		return err == nil
	})
	return err
}

func commandToProto(c directory.Command) (*wirepb.Command, error) {
	switch c := c.(type) {
	case directory.ChangePrepared:
		body, err := changeToProto(c)
		return &wirepb.Command{Body: &wirepb.Command_ChangePrepared{ChangePrepared: body}}, err
	case directory.ChangeDecided:
		body := &wirepb.ChangeDecided{ChangeId: c.ChangeID, Accepted: c.Accepted, Reason: c.Reason}
		return &wirepb.Command{Body: &wirepb.Command_ChangeDecided{ChangeDecided: body}}, nil
	case directory.EndpointAdded:
		body, err := DirectoryEndpointToProto(c.Endpoint)
		return &wirepb.Command{Body: &wirepb.Command_EndpointAdded{EndpointAdded: body}}, err
	case directory.EndpointStateChanged:
		return endpointStateCommand(c.Instance, uint32(c.State)), nil
	case directory.EndpointSuspected:
		if c.Suspected {
			return endpointStateCommand(c.Instance, stateSuspected), nil
		}
		return endpointStateCommand(c.Instance, stateNotSuspected), nil
	case directory.EndpointRemoved:
		body := &wirepb.EndpointRemoved{Instance: c.Instance}
		return &wirepb.Command{Body: &wirepb.Command_EndpointRemoved{EndpointRemoved: body}}, nil
	default:
		return clusterCommandToProto(c)
	}
}

// clusterCommandToProto converts the commands about hosts, failure domains and buckets.
func clusterCommandToProto(c directory.Command) (*wirepb.Command, error) {
	switch c := c.(type) {
	case directory.HostAdded:
		return &wirepb.Command{Body: &wirepb.Command_HostAdded{HostAdded: HostToProto(c.Host)}}, nil
	case directory.HostActivated:
		body := &wirepb.HostRef{Name: c.Name, Incarnation: c.Incarnation}
		return &wirepb.Command{Body: &wirepb.Command_HostActivated{HostActivated: body}}, nil
	case directory.HostRemoved:
		body := &wirepb.HostRef{Name: c.Name, Incarnation: c.Incarnation, Drain: c.Drain}
		return &wirepb.Command{Body: &wirepb.Command_HostRemoved{HostRemoved: body}}, nil
	case directory.DomainService:
		body := &wirepb.DomainService{Domain: c.Domain, Out: c.Out, Author: c.Author}
		return &wirepb.Command{Body: &wirepb.Command_DomainService{DomainService: body}}, nil
	case directory.MovesCommitted:
		body := &wirepb.MovesCommitted{UpTo: c.UpTo}
		return &wirepb.Command{Body: &wirepb.Command_MovesCommitted{MovesCommitted: body}}, nil
	case directory.BucketsMoved:
		count, err := toInt32("count", c.Count)
		body := &wirepb.BucketsMoved{Service: c.Service, From: uint32(c.From), To: uint32(c.To), Count: count}
		return &wirepb.Command{Body: &wirepb.Command_BucketsMoved{BucketsMoved: body}}, err
	default:
		return nil, fmt.Errorf("%w: %T", errNoKnownBody, c)
	}
}

func endpointStateCommand(instance string, state uint32) *wirepb.Command {
	body := &wirepb.EndpointStateChanged{Instance: instance, State: state}
	return &wirepb.Command{Body: &wirepb.Command_EndpointStateChanged{EndpointStateChanged: body}}
}

func commandFromProto(pb *wirepb.Command) (directory.Command, error) {
	switch body := pb.GetBody().(type) {
	case *wirepb.Command_ChangePrepared:
		return changeFromProto(body.ChangePrepared)
	case *wirepb.Command_ChangeDecided:
		b := body.ChangeDecided
		return directory.ChangeDecided{ChangeID: b.GetChangeId(), Accepted: b.GetAccepted(), Reason: b.GetReason()}, nil
	case *wirepb.Command_EndpointAdded:
		e, err := DirectoryEndpointFromProto(body.EndpointAdded)
		return directory.EndpointAdded{Endpoint: e}, err
	case *wirepb.Command_EndpointStateChanged:
		return endpointStateCommandFromProto(body.EndpointStateChanged)
	case *wirepb.Command_EndpointRemoved:
		return directory.EndpointRemoved{Instance: body.EndpointRemoved.GetInstance()}, nil
	case *wirepb.Command_HostAdded:
		h, err := HostFromProto(body.HostAdded)
		return directory.HostAdded{Host: h}, err
	case *wirepb.Command_HostActivated:
		return directory.HostActivated{Name: body.HostActivated.GetName(), Incarnation: body.HostActivated.GetIncarnation()}, nil
	case *wirepb.Command_HostRemoved:
		return directory.HostRemoved{
			Name: body.HostRemoved.GetName(), Incarnation: body.HostRemoved.GetIncarnation(), Drain: body.HostRemoved.GetDrain(),
		}, nil
	case *wirepb.Command_DomainService:
		b := body.DomainService
		return directory.DomainService{Domain: b.GetDomain(), Out: b.GetOut(), Author: b.GetAuthor()}, nil
	case *wirepb.Command_MovesCommitted:
		return directory.MovesCommitted{UpTo: body.MovesCommitted.GetUpTo()}, nil
	case *wirepb.Command_BucketsMoved:
		b := body.BucketsMoved
		return directory.BucketsMoved{
			Service: b.GetService(), Count: int(b.GetCount()),
			From: directory.EndpointID(b.GetFrom()), To: directory.EndpointID(b.GetTo()),
		}, nil
	default:
		return nil, errNoKnownBody
	}
}

func endpointStateCommandFromProto(b *wirepb.EndpointStateChanged) (directory.Command, error) {
	switch b.GetState() {
	case stateSuspected, stateNotSuspected:
		return directory.EndpointSuspected{Instance: b.GetInstance(), Suspected: b.GetState() == stateSuspected}, nil
	}
	state, err := endpointStateFromProto(b.GetState())
	return directory.EndpointStateChanged{Instance: b.GetInstance(), State: state}, err
}

func endpointStateFromProto(state uint32) (directory.EndpointState, error) {
	if state > uint32(directory.Removed) {
		return 0, fmt.Errorf("unknown endpoint state %d", state)
	}
	return directory.EndpointState(state), nil
}

func toInt32(field string, n int) (int32, error) {
	if n < math.MinInt32 || n > math.MaxInt32 {
		return 0, fmt.Errorf("%s %d is out of the range of int32", field, n)
	}
	return int32(n), nil
}
