package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/operator"
)

var endpointStates = map[directory.EndpointState]string{
	directory.Starting: "starting", directory.Ready: "ready", directory.Draining: "draining", directory.Leaving: "leaving",
}

// hostSilentAfter is the time without an acknowledgement after which an entry host
// is shown as silent.
const hostSilentAfter = 2 * time.Second

// Sections returns the sections in force.
func (b operatorBackend) Sections(context.Context) ([]document.Section, error) {
	return runQuery(b, func(d *applyDuty) ([]document.Section, error) {
		var sections []document.Section
		for _, s := range d.state.Sections() {
			sections = append(sections, s.Section)
		}
		return sections, nil
	})
}

// Section returns a section in the given version; version 0 is the one in force.
func (b operatorBackend) Section(_ context.Context, heading string, version uint64) (document.Section, error) {
	return runQuery(b, func(d *applyDuty) (document.Section, error) {
		s, ok := d.state.Section(heading)
		if !ok {
			return document.Section{}, &operator.NotFoundError{Subject: fmt.Sprintf("section %q", heading)}
		}
		if version == 0 || version == s.Version {
			return s.Section, nil
		}
		for _, r := range s.Earlier {
			if r.Version == version {
				return document.Section{Heading: heading, Team: r.Team, Text: r.Text, Version: version}, nil
			}
		}
		return document.Section{}, &operator.NotFoundError{Subject: fmt.Sprintf("version %d of section %q", version, heading)}
	})
}

// History returns the versions of a section that the directory stores, newest first.
func (b operatorBackend) History(_ context.Context, heading string) ([]operator.Revision, error) {
	return runQuery(b, func(d *applyDuty) ([]operator.Revision, error) {
		s, ok := d.state.Section(heading)
		if !ok {
			return nil, &operator.NotFoundError{Subject: fmt.Sprintf("section %q", heading)}
		}
		revisions := []operator.Revision{{
			Version: s.Version, At: logTime(s.At), Team: s.Team, Author: s.Author, ChangeID: s.ChangeID,
		}}
		for _, r := range s.Earlier {
			revisions = append(revisions, operator.Revision{
				Version: r.Version, At: logTime(r.At), Team: r.Team, Author: r.Author, ChangeID: r.ChangeID,
			})
		}
		return revisions, nil
	})
}

// logTime converts a time of the log, which is the duration since the Unix epoch.
func logTime(at time.Duration) time.Time { return time.Unix(0, int64(at)).UTC() }

// Services returns the services in force, without quarantined ones.
func (b operatorBackend) Services(context.Context) ([]operator.Service, error) {
	return runQuery(b, func(d *applyDuty) ([]operator.Service, error) {
		var services []operator.Service
		for _, name := range d.state.ServiceNames() {
			if s, _ := d.state.Service(name); !s.Quarantined {
				services = append(services, d.serviceView(s))
			}
		}
		return services, nil
	})
}

func (d *applyDuty) serviceView(s *directory.ServiceState) operator.Service {
	view := operator.Service{
		Name: s.Name, Section: s.Section, Address: s.Address.String(), Protocol: "TCP", Priority: "unbroken",
		AnnouncedAs: s.AnnouncedAs, BackendServers: len(s.EndpointIDs()), Connections: operator.UnknownCount,
	}
	if s.Protocol == document.UDP {
		view.Protocol = "UDP"
	}
	if s.Priority == document.BalanceFirst {
		view.Priority = "balance"
	}
	if section, ok := d.state.Section(s.Section); ok {
		view.Team = section.Team
	}
	for _, id := range s.EndpointIDs() {
		if e, ok := d.state.Endpoint(id); ok && e.State.AcceptsFlows() {
			view.Ready++
		}
	}
	return view
}

// BackendServers returns the backend servers that are present.
func (b operatorBackend) BackendServers(context.Context) ([]operator.BackendServer, error) {
	return runQuery(b, func(d *applyDuty) ([]operator.BackendServer, error) {
		var servers []operator.BackendServer
		for _, id := range d.state.EndpointIDs() {
			e, _ := d.state.Endpoint(id)
			if e.State == directory.Removed {
				continue
			}
			servers = append(servers, operator.BackendServer{
				Instance: e.Instance, Service: e.Service, Address: e.Address.String(), Domain: e.Domain,
				State: endpointStates[e.State], Suspected: e.Suspected, Slots: e.Slots,
				SlotsInUse: operator.UnknownCount, Connections: operator.UnknownCount,
			})
		}
		return servers, nil
	})
}

// Hosts returns the entry hosts and the control hosts.
func (b operatorBackend) Hosts(context.Context) ([]operator.Host, error) {
	return runQuery(b, func(d *applyDuty) ([]operator.Host, error) { return d.hostViews(), d.referToLeader() })
}

// referToLeader returns a NotLeaderError if another host leads. Only the leader
// receives acknowledgements from every entry host, so it alone can report contact.
// While there is no leader, this host answers with what it has.
func (d *applyDuty) referToLeader() error {
	if d.leases.Leading() || d.status.Leader == 0 {
		return nil
	}
	return &operator.NotLeaderError{Leader: d.operatorURLs[d.status.Leader]}
}

func (d *applyDuty) hostViews() []operator.Host {
	var hosts []operator.Host
	for _, h := range d.state.Hosts() {
		view := operator.Host{
			Name: h.Name, Kind: "entry", Domain: h.Domain, State: "joined", Connections: operator.UnknownCount,
		}
		if h.State == directory.HostActive {
			view.State = "active"
		}
		lastAcknowledged := d.acknowledgements[h.Name]
		view.EntriesBehind = d.state.Index() - min(lastAcknowledged.index, d.state.Index())
		// Only the leader receives acknowledgements from every entry host.
		if d.leases.Leading() && d.now-lastAcknowledged.at > hostSilentAfter {
			view.State = "silent"
		}
		hosts = append(hosts, view)
	}
	for id, domain := range d.controlDomains {
		view := operator.Host{Name: fmt.Sprintf("control-%d", id), Kind: "control", Domain: domain, State: "voter", Connections: operator.UnknownCount}
		if id == d.status.Leader {
			view.State = "leader"
		}
		hosts = append(hosts, view)
	}
	return hosts
}

// FailureDomains returns the failure domains of the settings with their state in
// the directory.
func (b operatorBackend) FailureDomains(context.Context) ([]operator.FailureDomain, error) {
	return runQuery(b, func(d *applyDuty) ([]operator.FailureDomain, error) {
		var views []operator.FailureDomain
		for _, domain := range d.settingsDomains {
			views = append(views, d.domainView(domain))
		}
		return views, d.referToLeader()
	})
}

func (d *applyDuty) domainView(domain string) operator.FailureDomain {
	view := operator.FailureDomain{Name: domain, OutOfService: d.state.DomainOutOfService(domain)}
	for _, h := range d.state.Hosts() {
		if h.Domain != domain {
			continue
		}
		view.Hosts++
		if d.now-d.acknowledgements[h.Name].at <= hostSilentAfter {
			view.HostsInContact++
		}
	}
	for _, id := range d.state.EndpointIDs() {
		if e, _ := d.state.Endpoint(id); e.Domain == domain && e.State != directory.Removed {
			view.BackendServers++
		}
	}
	return view
}

// DeclareOutOfService proposes to take a failure domain out of service or back
// into service. Repeating a proposal has no effect.
func (b operatorBackend) DeclareOutOfService(_ context.Context, change operator.DomainChange) error {
	_, err := runQuery(b, func(d *applyDuty) (struct{}, error) {
		if err := d.checkAcceptsChanges(); err != nil {
			return struct{}{}, err
		}
		if !slices.Contains(d.settingsDomains, change.Domain) {
			return struct{}{}, &operator.NotFoundError{Subject: fmt.Sprintf("failure domain %q", change.Domain)}
		}
		if !d.propose(directory.DomainService{Domain: change.Domain, Out: change.OutOfService, Author: change.Author}) {
			return struct{}{}, &operator.NoQuorumError{Reason: "the log takes no proposals"}
		}
		return struct{}{}, nil
	})
	return err
}

// DrainHost proposes the removal of an entry host from the directory. The host
// reads its removal from the log and hands over its records.
func (b operatorBackend) DrainHost(_ context.Context, drain operator.HostDrain) error {
	_, err := runQuery(b, func(d *applyDuty) (struct{}, error) {
		if err := d.checkAcceptsChanges(); err != nil {
			return struct{}{}, err
		}
		h, ok := d.state.Host(drain.Host)
		if !ok {
			return struct{}{}, &operator.NotFoundError{Subject: fmt.Sprintf("host %q", drain.Host)}
		}
		if !d.propose(directory.HostRemoved{Name: h.Name, Incarnation: h.Incarnation, Drain: true}) {
			return struct{}{}, &operator.NoQuorumError{Reason: "the log takes no proposals"}
		}
		return struct{}{}, nil
	})
	return err
}
