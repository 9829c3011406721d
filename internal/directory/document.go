package directory

import (
	"net/netip"
	"slices"
	"time"

	"cassiawood/internal/document"
)

// Section is an accepted section of the document.
type Section struct {
	document.Section
	Author   string
	ChangeID string
	At       time.Duration // log time of the decision
	Services []document.Service
	Earlier  []Revision // replaced versions, newest first
}

// Revision is a replaced version of a section.
type Revision struct {
	Version  uint64
	At       time.Duration
	Team     string
	Author   string
	ChangeID string
	Text     string
}

// maxRevisions bounds the replaced versions that a section keeps. Older ones are
// found in the audit trail.
const maxRevisions = 20

// revisionsOfSuccessor returns the replaced versions that the successor of s
// keeps: s itself and the newest of those that s keeps.
func (s *Section) revisionsOfSuccessor() []Revision {
	last := Revision{
		Version: s.Version, At: s.At, Team: s.Team, Author: s.Author, ChangeID: s.ChangeID, Text: s.Text,
	}
	kept := s.Earlier[:min(len(s.Earlier), maxRevisions-1)]
	return append([]Revision{last}, kept...)
}

// PendingChange is a prepared change that waits for its decision.
type PendingChange struct {
	ChangePrepared
	Index uint64        // of the entry that prepared it
	At    time.Duration // log time of that entry
}

// Winner describes the accepted change that set a newer version than the one a
// refused change is based on.
type Winner struct {
	Author  string
	Team    string
	Version uint64
	Text    string
}

// Answer is the decision on a change. It is stored, so that a repeated request
// gets the same answer.
type Answer struct {
	ChangeID string
	Accepted bool
	Version  uint64 // of the section after an accepted change
	Reason   string // why it was refused
	Winner   *Winner
}

// Sections returns the accepted sections in the order of their headings. The
// caller must not modify the slice.
func (s *State) Sections() []Section { return s.sectionList }

// rebuildSectionList rebuilds the list that Sections returns.
func (s *State) rebuildSectionList() {
	s.sectionList = make([]Section, 0, len(s.sections))
	for _, heading := range sortedKeys(s.sections) {
		s.sectionList = append(s.sectionList, *s.sections[heading])
	}
}

// Section returns an accepted section.
func (s *State) Section(heading string) (*Section, bool) {
	section, ok := s.sections[heading]
	return section, ok
}

// ChangeAnswer returns the answer to a change, or nil while it waits for its
// decision. known is false for a change that is neither pending nor answered.
func (s *State) ChangeAnswer(changeID string) (answer *Answer, known bool) {
	if answer, ok := s.answers[changeID]; ok {
		return answer, true
	}
	return nil, s.pendingIndex(changeID) >= 0
}

// PendingChanges returns the changes that wait for a decision, oldest first.
// The caller must not modify the slice.
func (s *State) PendingChanges() []PendingChange { return s.pending }

func (s *State) pendingIndex(changeID string) int {
	return slices.IndexFunc(s.pending, func(p PendingChange) bool { return p.ChangeID == changeID })
}

func (s *State) prepareChange(c ChangePrepared) Outcome {
	if c.ChangeID == "" || c.Section == "" || c.Team == "" {
		return refuse("change %q lacks an id, section or team", c.ChangeID)
	}
	if answer, known := s.ChangeAnswer(c.ChangeID); known {
		if answer == nil {
			return Outcome{Applied: true}
		}
		return answer.outcome()
	}
	if len(s.pending) >= maxPending {
		return refuse("%d changes wait for a decision already", len(s.pending))
	}
	if answer := s.checkChange(c); answer != nil {
		return s.storeAnswer(answer)
	}
	s.pending = append(s.pending, PendingChange{ChangePrepared: c, Index: s.index, At: s.now})
	return Outcome{Applied: true}
}

func (s *State) decideChange(c ChangeDecided) Outcome {
	i := s.pendingIndex(c.ChangeID)
	if i < 0 {
		answer, known := s.answers[c.ChangeID]
		if !known {
			return refuse("no change %q waits for a decision", c.ChangeID)
		}
		return answer.outcome()
	}
	change := s.pending[i]
	s.pending = slices.Delete(slices.Clone(s.pending), i, i+1)
	if !c.Accepted {
		return s.storeAnswer(&Answer{ChangeID: c.ChangeID, Reason: c.Reason})
	}
	// recheckPending has refused the pending changes that conflict with an accepted
	// one, so this check fails only when a quarantine began after the preparation.
	if answer := s.checkChange(change.ChangePrepared); answer != nil {
		return s.storeAnswer(answer)
	}
	version := change.BaseVersion + 1
	s.applyChange(change.ChangePrepared, version)
	out := s.storeAnswer(&Answer{ChangeID: c.ChangeID, Accepted: true, Version: version})
	s.recheckPending()
	return out
}

// recheckPending refuses the pending changes that conflict with the one just
// accepted.
func (s *State) recheckPending() {
	var remaining []PendingChange
	for _, p := range s.pending {
		if answer := s.checkChange(p.ChangePrepared); answer != nil {
			s.storeAnswer(answer)
			continue
		}
		remaining = append(remaining, p)
	}
	s.pending = remaining
}

// storeAnswer stores the answer to a change and deletes the oldest beyond
// maxAnswers.
func (s *State) storeAnswer(a *Answer) Outcome {
	s.answers[a.ChangeID] = a
	s.answerOrder = append(s.answerOrder, a.ChangeID)
	if len(s.answerOrder) > maxAnswers {
		delete(s.answers, s.answerOrder[0])
		s.answerOrder = s.answerOrder[1:]
	}
	return a.outcome()
}

func (a *Answer) outcome() Outcome {
	return Outcome{Applied: a.Accepted, Reason: a.Reason, Answer: a}
}

// applyChange puts a checked change into force.
func (s *State) applyChange(c ChangePrepared, version uint64) {
	var previous []document.Service
	var earlier []Revision
	if old, ok := s.sections[c.Section]; ok {
		previous, earlier = old.Services, old.revisionsOfSuccessor()
	}
	s.sections[c.Section] = &Section{
		Section:  document.Section{Heading: c.Section, Team: c.Team, Text: c.Text, Version: version},
		Author:   c.Author,
		ChangeID: c.ChangeID,
		At:       s.now,
		Services: c.Services,
		Earlier:  earlier,
	}
	for _, old := range previous {
		if !slices.ContainsFunc(c.Services, func(n document.Service) bool { return serviceKey(n) == serviceKey(old) && n.Name == old.Name }) {
			s.quarantineAddress(old)
		}
	}
	for _, service := range c.Services {
		s.setService(service, c.Section)
	}
	s.rebuildSectionList()
	s.indexAnnouncedNames()
}

func serviceKey(service document.Service) addressKey {
	return addressKey{service.Address, service.Protocol}
}

// setService adds a service or replaces the properties of an existing one.
func (s *State) setService(service document.Service, section string) {
	state := &ServiceState{Service: service, Section: section}
	if old, known := s.services[service.Name]; known {
		state.table = old.table
	} else {
		state.table = newTable(service.Name, s.buckets)
	}
	s.endQuarantine(serviceKey(service))
	s.services[service.Name] = state
	s.servicesByAddress.set(serviceKey(service), state)
}

// indexAnnouncedNames rebuilds the index of announced names.
func (s *State) indexAnnouncedNames() {
	clear(s.servicesByAnnouncedName)
	for name, service := range s.services {
		if !service.Quarantined {
			s.servicesByAnnouncedName[announcedName(service.Service)] = name
		}
	}
}

// announcedName returns the name that a service's backend servers announce.
func announcedName(service document.Service) string {
	if service.AnnouncedAs == "" {
		return service.Name
	}
	return service.AnnouncedAs
}

// validAddress reports whether callers can reach a service at its address.
func validAddress(address netip.AddrPort) bool { return address.IsValid() && address.Port() != 0 }
