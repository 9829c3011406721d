package wire

import (
	"time"

	"cassiawood/internal/rotation"
	"cassiawood/internal/wire/wirepb"
)

// maxUnchangedMs bounds the times without a change of the rotation that are read, in milliseconds. It is far above what any decision needs.
const maxUnchangedMs = uint64(24 * time.Hour / time.Millisecond)

// UnchangedFromProto returns a time without a change of the rotation. One of more than a day counts as a day.
func UnchangedFromProto(milliseconds uint64) time.Duration {
	return time.Duration(min(milliseconds, maxUnchangedMs)) * time.Millisecond
}

// RotationReportToProto converts the report of a control host to the question with the given number.
func RotationReportToProto(round uint64, r rotation.DomainReport) *wirepb.RotationReport {
	return &wirepb.RotationReport{
		Round: round, UnchangedMs: uint64(r.Unchanged.Milliseconds()), Present: processesToProto(r.Present), Missing: processesToProto(r.Missing), Departed: processesToProto(r.Departed),
	}
}

// RotationReportFromProto converts the report of another control host.
func RotationReportFromProto(m *wirepb.RotationReport) rotation.DomainReport {
	return rotation.DomainReport{
		Unchanged: UnchangedFromProto(m.GetUnchangedMs()), Present: processesFromProto(m.GetPresent()), Missing: processesFromProto(m.GetMissing()), Departed: processesFromProto(m.GetDeparted()),
	}
}

func processesToProto(list []rotation.Process) []*wirepb.EntryProcess {
	var out []*wirepb.EntryProcess
	for _, p := range list {
		out = append(out, &wirepb.EntryProcess{Host: p.Host, Process: p.ID})
	}
	return out
}

func processesFromProto(list []*wirepb.EntryProcess) []rotation.Process {
	var out []rotation.Process
	for _, p := range list {
		out = append(out, rotation.Process{Host: p.GetHost(), ID: p.GetProcess()})
	}
	return out
}
