package wire

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/wire/wirepb"
)

// DirectoryEndpointToProto converts an endpoint of the directory. The message has no field for
// Suspected; EncodeDirectoryState stores the suspected endpoints as a list of IDs.
func DirectoryEndpointToProto(e directory.Endpoint) (*wirepb.Endpoint, error) {
	slots, err := toInt32("slots", e.Slots)
	return &wirepb.Endpoint{
		Id: uint32(e.ID), Instance: e.Instance, Service: e.Service, Address: addressToText(e.Address), Domain: e.Domain,
		Slots: slots, State: uint32(e.State), HealthUrl: e.HealthURL, LoadUrl: e.LoadURL, RemovedAtNs: int64(e.RemovedAt),
	}, err
}

// DirectoryEndpointFromProto converts an endpoint of the directory and leaves Suspected false.
func DirectoryEndpointFromProto(pb *wirepb.Endpoint) (directory.Endpoint, error) {
	address, err := addressFromText(pb.GetAddress())
	if err != nil {
		return directory.Endpoint{}, fmt.Errorf("endpoint %q: %w", pb.GetInstance(), err)
	}
	state, err := endpointStateFromProto(pb.GetState())
	if err != nil {
		return directory.Endpoint{}, fmt.Errorf("endpoint %q: %w", pb.GetInstance(), err)
	}
	return directory.Endpoint{
		ID: directory.EndpointID(pb.GetId()), Instance: pb.GetInstance(), Service: pb.GetService(), Address: address,
		Domain: pb.GetDomain(), Slots: int(pb.GetSlots()), State: state,
		HealthURL: pb.GetHealthUrl(), LoadURL: pb.GetLoadUrl(), RemovedAt: time.Duration(pb.GetRemovedAtNs()),
	}, nil
}

// HostToProto converts an entry host.
func HostToProto(h directory.Host) *wirepb.Host {
	return &wirepb.Host{
		Name: h.Name, Incarnation: h.Incarnation, Domain: h.Domain,
		PacketAddr: addressToText(h.PacketAddr), PeerAddr: addressToText(h.PeerAddr), State: uint32(h.State),
	}
}

// HostFromProto converts an entry host and rejects invalid addresses and unknown states.
func HostFromProto(pb *wirepb.Host) (directory.Host, error) {
	packet, err := addressFromText(pb.GetPacketAddr())
	if err != nil {
		return directory.Host{}, fmt.Errorf("host %q: packet address: %w", pb.GetName(), err)
	}
	peer, err := addressFromText(pb.GetPeerAddr())
	if err != nil {
		return directory.Host{}, fmt.Errorf("host %q: peer address: %w", pb.GetName(), err)
	}
	if pb.GetState() > uint32(directory.HostActive) {
		return directory.Host{}, fmt.Errorf("host %q: unknown state %d", pb.GetName(), pb.GetState())
	}
	return directory.Host{
		Name: pb.GetName(), Incarnation: pb.GetIncarnation(), Domain: pb.GetDomain(),
		PacketAddr: packet, PeerAddr: peer, State: directory.HostState(pb.GetState()),
	}, nil
}

func changeToProto(c directory.ChangePrepared) (*wirepb.ChangePrepared, error) {
	services, err := servicesToProto(c.Services)
	return &wirepb.ChangePrepared{
		ChangeId: c.ChangeID, Team: c.Team, Author: c.Author, Section: c.Section,
		BaseVersion: c.BaseVersion, Text: c.Text, Services: services,
	}, err
}

func changeFromProto(pb *wirepb.ChangePrepared) (directory.ChangePrepared, error) {
	services, err := servicesFromProto(pb.GetServices())
	return directory.ChangePrepared{
		ChangeID: pb.GetChangeId(), Team: pb.GetTeam(), Author: pb.GetAuthor(), Section: pb.GetSection(),
		BaseVersion: pb.GetBaseVersion(), Text: pb.GetText(), Services: services,
	}, err
}

func servicesToProto(services []document.Service) ([]*wirepb.Service, error) {
	var all []*wirepb.Service
	for _, s := range services {
		pb, err := serviceToProto(s)
		if err != nil {
			return nil, err
		}
		all = append(all, pb)
	}
	return all, nil
}

func servicesFromProto(pbs []*wirepb.Service) ([]document.Service, error) {
	var all []document.Service
	for _, pb := range pbs {
		s, err := serviceFromProto(pb)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

func serviceToProto(s document.Service) (*wirepb.Service, error) {
	slots, err := toInt32("slots", s.SlotsPerBackend)
	pb := &wirepb.Service{
		Name: s.Name, Address: addressToText(s.Address), Protocol: uint32(s.Protocol), Priority: uint32(s.Priority),
		AnnouncedAs: s.AnnouncedAs, SlotsPerBackend: slots, MaxWaitNs: int64(s.MaxWait), AnnounceToken: s.AnnounceTokenFingerprint,
	}
	for _, prefix := range s.AllowedSources {
		pb.AllowedSources = append(pb.AllowedSources, prefix.String())
	}
	return pb, err
}

func serviceFromProto(pb *wirepb.Service) (document.Service, error) {
	address, err := addressFromText(pb.GetAddress())
	if err != nil {
		return document.Service{}, fmt.Errorf("service %q: %w", pb.GetName(), err)
	}
	if pb.GetProtocol() > math.MaxUint8 || pb.GetPriority() > uint32(document.BalanceFirst) {
		return document.Service{}, fmt.Errorf("service %q: unknown protocol %d or priority %d",
			pb.GetName(), pb.GetProtocol(), pb.GetPriority())
	}
	s := document.Service{
		Name: pb.GetName(), Address: address, Protocol: document.Protocol(pb.GetProtocol()),
		Priority: document.Priority(pb.GetPriority()), AnnouncedAs: pb.GetAnnouncedAs(),
		SlotsPerBackend: int(pb.GetSlotsPerBackend()), MaxWait: time.Duration(pb.GetMaxWaitNs()),
		AnnounceTokenFingerprint: pb.GetAnnounceToken(),
	}
	for _, text := range pb.GetAllowedSources() {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return document.Service{}, fmt.Errorf("service %q: allowed source: %w", s.Name, err)
		}
		s.AllowedSources = append(s.AllowedSources, prefix)
	}
	return s, nil
}

// addressToText returns the text form of an address; the zero address is the empty text.
func addressToText(a netip.AddrPort) string {
	if a == (netip.AddrPort{}) {
		return ""
	}
	return a.String()
}

func addressFromText(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	return netip.ParseAddrPort(text)
}
