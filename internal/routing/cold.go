package routing

import (
	"fmt"
	"time"
)

// maxColdStart bounds the slow start of an endpoint, which lasts seconds.
const maxColdStart = time.Hour

// ColdStart describes the slow start of a service's endpoints.
type ColdStart struct {
	Service   string
	Duration  time.Duration
	PerSecond float64 // requests that a cold endpoint handles in a second; 0 if there is no limit
}

// IsLimited reports whether the first packets to a cold endpoint are limited.
func (c ColdStart) IsLimited() bool { return c.PerSecond > 0 }

// checkColdStarts returns the problems of the slow starts.
func (d *Desired) checkColdStarts() []Finding {
	var findings []Finding
	for _, c := range d.ColdStarts {
		place := fmt.Sprintf("service %s", c.Service)
		if c.Duration < 0 || c.Duration > maxColdStart {
			findings = append(findings, Finding{place, fmt.Sprintf("has a slow start of %s, which is not from 0 to %s", c.Duration, maxColdStart)})
		}
		if !(c.PerSecond >= 0) {
			findings = append(findings, Finding{place, fmt.Sprintf("has %v requests per second during its slow start", c.PerSecond)})
		}
	}
	return findings
}
