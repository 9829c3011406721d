package wire

import (
	"fmt"
	"net/netip"
	"time"

	"cassiawood/internal/announce"
	"cassiawood/internal/directory"
	"cassiawood/internal/wire/wirepb"
)

// EntryToProto converts a log entry whose command is already encoded.
func EntryToProto(index uint64, at time.Duration, command []byte) *wirepb.Entry {
	return &wirepb.Entry{Index: index, AtNs: int64(at), Command: command}
}

// EntriesFromProto converts log entries for the directory. A new leader begins its
// term with an entry that has no command.
func EntriesFromProto(list []*wirepb.Entry) ([]directory.Entry, error) {
	entries := make([]directory.Entry, 0, len(list))
	for _, p := range list {
		entry, err := DecodeEntry(p.GetIndex(), time.Duration(p.GetAtNs()), p.GetCommand())
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// DecodeEntry returns a log entry with its command decoded from data. Empty data
// gives an entry without a command.
func DecodeEntry(index uint64, at time.Duration, data []byte) (directory.Entry, error) {
	entry := directory.Entry{Index: index, At: at}
	if len(data) == 0 {
		return entry, nil
	}
	command, err := DecodeCommand(data)
	if err != nil {
		return entry, fmt.Errorf("log entry %d: %w", index, err)
	}
	entry.Command = command
	return entry, nil
}

// AnnouncementToProto converts an announcement to a request to the leader.
func AnnouncementToProto(a announce.Announcement) (*wirepb.ProposeRequest, error) {
	endpoint, err := DirectoryEndpointToProto(a.Endpoint)
	if err != nil {
		return nil, err
	}
	return &wirepb.ProposeRequest{Body: &wirepb.ProposeRequest_Announcement{Announcement: &wirepb.Announcement{
		Endpoint: endpoint, LeaseNs: int64(a.Lease), Token: a.Token, Source: a.Source.String(),
	}}}, nil
}

// AnnouncementFromProto converts an announcement that an entry host forwarded.
func AnnouncementFromProto(p *wirepb.Announcement) (announce.Announcement, error) {
	endpoint, err := DirectoryEndpointFromProto(p.GetEndpoint())
	if err != nil {
		return announce.Announcement{}, fmt.Errorf("announcement: %w", err)
	}
	source, err := netip.ParseAddr(p.GetSource())
	if err != nil {
		return announce.Announcement{}, fmt.Errorf("announcement: source address: %w", err)
	}
	return announce.Announcement{
		Endpoint: endpoint, Lease: time.Duration(p.GetLeaseNs()), Token: p.GetToken(), Source: source,
	}, nil
}
