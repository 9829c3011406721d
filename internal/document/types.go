// Package document parses and checks the document in which operators describe
// services in a fixed set of English sentences.
package document

import (
	"net/netip"
	"time"
)

// Protocol is the transport protocol of a service, by its IANA number.
type Protocol uint8

// Transport protocols that a service can use.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// Priority says whether unbroken connections or an even balance takes precedence
// for a service when the two conflict.
type Priority uint8

const (
	// UnbrokenFirst places a new flow by consistent hashing, so that most flows
	// need no record and no flow depends on finding one.
	UnbrokenFirst Priority = iota
	// BalanceFirst places every new flow by load and keeps a record of it.
	BalanceFirst
)

// Service describes a service as the rest of the system uses it.
type Service struct {
	Name                     string
	Address                  netip.AddrPort // where callers reach it
	Protocol                 Protocol
	Priority                 Priority
	AnnouncedAs              string         // service name that backend servers announce
	SlotsPerBackend          int            // concurrent requests of one backend server; 0 means that its announcement gives the number
	MaxWait                  time.Duration  // longest wait for a free slot before a request is refused; 0 refuses at once
	AllowedSources           []netip.Prefix // addresses from which announcements are accepted; empty for any
	AnnounceTokenFingerprint []byte         // SHA-256 of the token that announcements must carry; empty if none is required
}

// Section is one team's part of the document.
type Section struct {
	Heading string
	Team    string
	Text    string
	Version uint64 // 0 if the section was never accepted
	// FirstLine is the line of the file on which Text begins; 0 if the text was
	// not read from a file.
	FirstLine int
}

// Finding is a problem in the text, with its position. Words, Problem and
// Suggestion together form a sentence; see String.
type Finding struct {
	Section    string
	Line       int    // 1 is the first line of the section's text
	Column     int    // 1 is the first byte of the line
	Words      string // quoted from the text; empty if the problem concerns no particular words
	Problem    string // what is wrong, as a clause with Words as its subject
	Suggestion string // empty if there is none
}

// Limits on the text. They keep a section readable and limit the time of a check
// to about one second (see BenchmarkParseWorst).
const (
	MaxDocumentBytes       = 4 << 20
	MaxSectionBytes        = 256 << 10
	MaxSentencesPerSection = 5000
	MaxSentenceWords       = 200
	MaxNameBytes           = 63 // the limit of a DNS label, which such names often become
	MaxHeadingBytes        = 100
	MaxServicesPerSection  = 500
	MaxSourcesPerService   = 64
	MaxSlotsPerBackend     = 100_000
	MaxWaitLimit           = 10 * time.Minute
)

// DefaultMaxWait is the MaxWait of a service that has no rule about waiting.
const DefaultMaxWait = 5 * time.Second
