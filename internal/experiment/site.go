// Package experiment measures load balancing decisions. It runs the packages
// balance and request against simulated backend servers, in virtual time and
// reproducibly from a seed. It does not simulate a whole cluster: there are no
// route tables, logs or packets.
package experiment

import (
	"fmt"
	"time"
)

// Site is the network layout of one organisation that uses cassiawood.
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
	BalanceFirst   bool    // imbalance matters more than broken flows
	ImbalanceLimit float64 // target for the steady state
}

// Sites of docs/design.md, section 1.2.
var (
	SiteK = Site{Name: "K", Domains: 3, OneWay: 3 * time.Millisecond, Hosts: 6}
	SiteG = Site{Name: "G", Domains: 4, OneWay: 5 * time.Millisecond, Hosts: 7}
)

// Services of docs/design.md, section 1.2, with the targets of section 1.6.
var Services = []Service{
	{Name: "order-desk", Site: SiteK, Endpoints: 15, ImbalanceLimit: 1.10},
	{Name: "sheet-print", Site: SiteK, Endpoints: 4, BalanceFirst: true, ImbalanceLimit: 1.15},
	{Name: "batch-feed", Site: SiteG, Endpoints: 15, ImbalanceLimit: 1.10},
	{Name: "label-print", Site: SiteG, Endpoints: 4, ImbalanceLimit: 1.15},
}

const (
	slotsPerBackend  = 2
	flowsPerEndpoint = 2000 // open flows per endpoint
	// meanServiceTime is the mean of the exponentially distributed service times.
	meanServiceTime = 100 * time.Millisecond
	// requestTimeout is the time from the arrival of a request to its deadline.
	requestTimeout = 2 * time.Second
	// steadyLoad is the share of the capacity that is offered outside a peak.
	steadyLoad = 0.7
	// idempotentShare is the share of the requests that may be sent again.
	idempotentShare = 0.5
	// backendQueueLimit is the number of requests that may wait at a backend server before
	// it refuses more.
	backendQueueLimit = 32

	delayWithinDomain = 200 * time.Microsecond // within a failure domain, one way
	meanJitter        = 500 * time.Microsecond // exponentially distributed, between failure domains
	lossProbability   = 0.01                   // of messages between failure domains
	// retransmissionTimeout is the delay of a lost message: the minimum retransmission timeout
	// of common TCP implementations.
	retransmissionTimeout = 200 * time.Millisecond

	reportInterval = time.Second
	// maxUpdateDelay is the maximum delay until an entry host has a new set of endpoints.
	maxUpdateDelay = 200 * time.Millisecond
	// fenceDelay is the time after which each side of a cut uses only its own
	// endpoints (docs/design.md, section 5.2, rule 11).
	fenceDelay = 2 * time.Second
	// coldDuration is the time for which a new backend server counts as cold, and
	// coldFactor the factor by which its first requests take longer.
	coldDuration = 10 * time.Second
	coldFactor   = 3.0
	slowFactor   = 5.0

	// The fault or load change of a scenario begins at disturbanceStart. The period up to
	// disturbanceEnd is the one that is measured.
	disturbanceStart = 20 * time.Second
	disturbanceEnd   = 80 * time.Second
	endOfRun         = 85 * time.Second

	// imbalanceWindow is the time over which requests in progress are averaged for
	// the imbalance, and imbalanceStep the distance between two windows. An endpoint
	// with 2 slots holds 0, 1 or 2 requests, so at 70 % load the momentary ratio is at
	// least 1/0.7 whenever one endpoint is full, with any policy. Ten seconds are 10
	// reports and 100 mean service times; callers notice a longer difference as a queue.
	imbalanceWindow = 10 * time.Second
	imbalanceStep   = time.Second
)

// capacityPerSecond returns the number of requests per second that all backend
// servers of a service can finish.
func (s Service) capacityPerSecond() float64 {
	return float64(s.Endpoints*slotsPerBackend) / meanServiceTime.Seconds()
}

func hostName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// domainOf returns the failure domain of the i-th host or backend server; they are
// spread evenly.
func (s Site) domainOf(i int) int { return i % s.Domains }
