package document

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// FormatServices formats services as sentences that ParseSection accepts, with
// every default written out.
func FormatServices(services []Service) string {
	var b strings.Builder
	for i, s := range services {
		if i > 0 {
			b.WriteString("\n")
		}
		b.WriteString(s.format())
	}
	return b.String()
}

func (s Service) format() string {
	var b strings.Builder
	writeLine := func(format string, values ...any) { fmt.Fprintf(&b, format+"\n", values...) }
	protocolSuffix := ""
	if s.Protocol == UDP {
		protocolSuffix = ", over UDP"
	}
	writeLine(`The service "%s" is reached at %s, port %d%s.`, s.Name, s.Address.Addr(), s.Address.Port(), protocolSuffix)
	writeLine(`Its backend servers announce themselves as "%s".`, s.AnnouncedAs)
	if s.Priority == BalanceFirst {
		writeLine("Connections are short; balance them evenly before keeping them unbroken.")
	} else {
		writeLine("Connections last a long time; keep them unbroken before balancing them evenly.")
	}
	if s.SlotsPerBackend == 1 {
		writeLine("Each backend server takes 1 request at once.")
	} else if s.SlotsPerBackend > 1 {
		writeLine("Each backend server takes %d requests at once.", s.SlotsPerBackend)
	}
	if s.MaxWait == 0 {
		writeLine("Refuse at once when no place is free.")
	} else {
		writeLine("Wait at most %s for a free place, then refuse.", formatWait(s.MaxWait))
	}
	if len(s.AllowedSources) > 0 {
		sources := make([]string, len(s.AllowedSources))
		for i, source := range s.AllowedSources {
			sources[i] = source.String()
		}
		writeLine("Its backend servers may announce themselves from %s.", strings.Join(sources, ", "))
	}
	if len(s.AnnounceTokenFingerprint) > 0 {
		writeLine(`Its backend servers show the announcement token with fingerprint "%s".`, hex.EncodeToString(s.AnnounceTokenFingerprint))
	}
	return b.String()
}

func formatWait(wait time.Duration) string {
	if wait%time.Second == 0 {
		return fmt.Sprintf("%d seconds", wait/time.Second)
	}
	return fmt.Sprintf("%d milliseconds", wait/time.Millisecond)
}
