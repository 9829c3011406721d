// Package experiment measures load decisions: it drives the real packages
// balance and request over queues that stand for backend servers, in virtual
// time and from a seed. It is no simulator of a cluster: tables, logs and
// packets do not occur.
package experiment

import (
	"fmt"
	"time"
)

// Site is the layout of one user organisation.
type Site struct {
	Name    string
	Domains int
	OneWay  time.Duration // between failure domains
	Hosts   int           // entry hosts
}

// Service is one service of a site.
type Service struct {
	Name           string
	Site           Site
	Endpoints      int
	WeighsBalance  bool    // imbalance matters more than broken flows
	ImbalanceLimit float64 // target in the steady state
}

// Sites of docs/design.md, section 1.2.
var (
	SiteK = Site{Name: "K", Domains: 3, OneWay: 3 * time.Millisecond, Hosts: 6}
	SiteG = Site{Name: "G", Domains: 4, OneWay: 5 * time.Millisecond, Hosts: 7}
)

// Services of docs/design.md, section 1.2, with the targets of section 1.6.
var Services = []Service{
	{Name: "order-desk", Site: SiteK, Endpoints: 15, ImbalanceLimit: 1.10},
	{Name: "sheet-print", Site: SiteK, Endpoints: 4, WeighsBalance: true, ImbalanceLimit: 1.15},
	{Name: "batch-feed", Site: SiteG, Endpoints: 15, ImbalanceLimit: 1.10},
	{Name: "label-print", Site: SiteG, Endpoints: 4, ImbalanceLimit: 1.15},
}

const (
	slots       = 2
	connections = 2000 // open flows of an endpoint
	// meanService is the mean of exponentially distributed service times.
	meanService = 100 * time.Millisecond
	// patience is the time from arrival to deadline.
	patience = 2 * time.Second
	// steadyLoad is the share of the capacity that is offered outside a peak.
	steadyLoad = 0.7
	// idempotentShare of the requests may be sent again.
	idempotentShare = 0.5
	// backendQueue is the number of requests that a backend server lets wait before it refuses.
	backendQueue = 32

	localDelay = 200 * time.Microsecond // within a failure domain, one way
	meanJitter = 500 * time.Microsecond // exponentially distributed, between failure domains
	lossShare  = 0.01                   // of messages between failure domains
	// resendAfter is the delay of a lost message: the least retransmission
	// timeout of common TCP implementations.
	resendAfter = 200 * time.Millisecond

	reportEvery = time.Second
	// updateSpread is the longest delay until an entry host has a new set of endpoints.
	updateSpread = 200 * time.Millisecond
	// fenceAfter is the time after which a cut-off side uses its own endpoints
	// only (docs/design.md, section 5.2, rule 11).
	fenceAfter = 2 * time.Second
	// coldTime is the time for which a new backend server counts as cold, and
	// coldFactor how much longer its first requests take.
	coldTime   = 10 * time.Second
	coldFactor = 3.0
	slowFactor = 5.0

	// Trouble lasts from troubleFrom to troubleTo; everything is measured in that time.
	troubleFrom = 20 * time.Second
	troubleTo   = 80 * time.Second
	endOfRun    = 85 * time.Second

	// imbalanceWindow is the time over which work in progress is averaged for
	// the imbalance, and imbalanceStep the distance of two windows. An endpoint
	// with 2 slots holds 0, 1 or 2 requests, so at 70 % load the momentary ratio
	// is at least 1/0.7 whenever one endpoint is full, whatever a policy does.
	// Ten seconds are 10 reports and 100 mean service times; a difference that
	// lasts longer is one that a caller notices as a queue.
	imbalanceWindow = 10 * time.Second
	imbalanceStep   = time.Second
)

// capacityPerSecond is the number of requests that all backend servers of a service finish in a second.
func (s Service) capacityPerSecond() float64 {
	return float64(s.Endpoints*slots) / meanService.Seconds()
}

func hostName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// domainOf spreads hosts and backend servers evenly over the failure domains.
func (s Site) domainOf(i int) int { return i % s.Domains }
