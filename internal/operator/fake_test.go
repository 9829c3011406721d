package operator_test

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cassiawood/internal/document"
	"cassiawood/internal/operator"
)

var discardLog = slog.New(slog.DiscardHandler)

// fakeStore is the state shared by the fake backends of a site.
type fakeStore struct {
	mu       sync.Mutex
	versions map[string][]document.Section
	answers  map[string]operator.SaveResult
	saved    int // number of changes that took effect
	drained  []operator.HostDrain
	domains  []operator.DomainChange
}

func newFakeStore() *fakeStore {
	return &fakeStore{versions: map[string][]document.Section{}, answers: map[string]operator.SaveResult{}}
}

// fakeBackend is the Backend of one control host. If set, before may fail a save before
// it takes effect, and after may lose the answer of a save that took effect.
type fakeBackend struct {
	*fakeStore
	before func() error
	after  func() error
}

func (f *fakeBackend) Save(_ context.Context, c operator.Change) (operator.SaveResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.before != nil {
		if err := f.before(); err != nil {
			return operator.SaveResult{}, err
		}
	}
	answer, err := f.save(c)
	if err == nil && f.after != nil {
		err = f.after()
	}
	return answer, err
}

func (f *fakeBackend) save(c operator.Change) (operator.SaveResult, error) {
	if first, known := f.answers[c.ID]; known {
		return first, nil
	}
	versions := f.versions[c.Section]
	if len(versions) == 0 && c.BaseVersion > 0 {
		return operator.SaveResult{}, &operator.NotFoundError{Subject: "section " + c.Section}
	}
	if n := len(versions); uint64(n) != c.BaseVersion {
		last := versions[n-1]
		return operator.SaveResult{}, &operator.ConflictError{Section: c.Section, Version: last.Version, Team: last.Team, Author: "ann", Text: last.Text}
	}
	section := document.Section{Heading: c.Section, Team: c.Team, Text: c.Text, Version: c.BaseVersion + 1}
	if _, findings := document.CheckChange(nil, section); len(findings) > 0 {
		return operator.SaveResult{}, &operator.RefusedError{Reason: "the text has problems", Findings: findings}
	}
	f.versions[c.Section] = append(versions, section)
	f.saved++
	answer := operator.SaveResult{ChangeID: c.ID, Section: c.Section, Version: section.Version, InForce: []string{"east", "west"}}
	f.answers[c.ID] = answer
	return answer, nil
}

func (f *fakeBackend) Sections(context.Context) ([]document.Section, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []document.Section
	for _, v := range f.versions {
		out = append(out, v[len(v)-1])
	}
	return out, nil
}

func (f *fakeBackend) Section(_ context.Context, heading string, version uint64) (document.Section, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := f.versions[heading]
	if version == 0 {
		version = uint64(len(versions))
	}
	if version == 0 || version > uint64(len(versions)) {
		return document.Section{}, &operator.NotFoundError{Subject: "section " + heading}
	}
	return versions[version-1], nil
}

func (f *fakeBackend) History(context.Context, string) ([]operator.Revision, error) {
	return []operator.Revision{{Version: 1, At: time.Unix(0, 0).UTC(), Team: "shop", Author: "ann", ChangeID: "1"}}, nil
}

func (f *fakeBackend) Services(context.Context) ([]operator.Service, error) { return nil, nil }

func (f *fakeBackend) BackendServers(context.Context) ([]operator.BackendServer, error) {
	return []operator.BackendServer{{Instance: "a", State: "leaving", Connections: 12}}, nil
}

func (f *fakeBackend) Hosts(context.Context) ([]operator.Host, error) {
	return nil, errDisk
}

func (f *fakeBackend) FailureDomains(context.Context) ([]operator.FailureDomain, error) {
	return []operator.FailureDomain{{Name: "east"}}, nil
}

func (f *fakeBackend) DeclareOutOfService(_ context.Context, c operator.DomainChange) error {
	f.domains = append(f.domains, c)
	return nil
}

func (f *fakeBackend) DrainHost(_ context.Context, d operator.HostDrain) error {
	f.drained = append(f.drained, d)
	return nil
}
