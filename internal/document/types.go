// Package document turns the operators' plain-language text into checked types.
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

// Priority says which measure a service weighs more when the two conflict.
type Priority uint8

const (
	// UnbrokenFirst places a new flow by consistent hashing, so that most flows
	// need no record and none depends on a record being found.
	UnbrokenFirst Priority = iota
	// BalanceFirst places every new flow by load and keeps a record of it.
	BalanceFirst
)

// Service is a checked service as the rest of the system uses it.
type Service struct {
	Name            string
	Address         netip.AddrPort // where callers reach it
	Protocol        Protocol
	Priority        Priority
	AnnouncedAs     string        // name that backend servers announce
	SlotsPerBackend int           // requests that one backend server takes at once; 0 leaves it to the announcement
	MaxWait         time.Duration // longest wait for a free slot before a refusal
	AllowedSources  []netip.Prefix
	AnnounceToken   []byte // SHA-256 of the token that announcements must carry; empty when none is required
}

// Section is one team's part of the document.
type Section struct {
	Heading string
	Team    string
	Text    string
	Version uint64 // 0 for a section that was never accepted
	// FirstLine is the line of the file on which Text begins; 0 when the text
	// did not come from a file.
	FirstLine int
}

// Finding is a problem in the text, with its place. Read one after the other,
// Words, Problem and Suggestion make a sentence; see Format.
type Finding struct {
	Section    string
	Line       int    // 1 is the first line of the section's text
	Column     int    // 1 is the first byte of the line
	Words      string // the words of the text that the problem is about; empty when it is about none
	Problem    string // what is wrong, as a clause with Words as its subject
	Suggestion string // empty when there is none
}

// Bounds on the text. They keep one section readable by a person and the time
// that checking takes near a second (1.04 s in BenchmarkParseWorst on a busy machine).
const (
	MaxDocumentBytes   = 4 << 20
	MaxSectionBytes    = 256 << 10
	MaxSentences       = 5000 // in one section
	MaxSentenceWords   = 200
	MaxNameBytes       = 63 // the length of a DNS label, which such names often become
	MaxHeadingBytes    = 100
	MaxServices        = 500 // in one section
	MaxSources         = 64  // in one service
	MaxSlotsPerBackend = 100_000
	MaxWaitLimit       = 10 * time.Minute
)

// DefaultMaxWait is used for a service that says nothing about waiting.
const DefaultMaxWait = 5 * time.Second
