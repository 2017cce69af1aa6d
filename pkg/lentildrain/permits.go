package lentildrain

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

const (
	// permitTTL is how long a permit holds unless it is returned before: leaving the rotation takes 1.5 s, a restart
	// and the first successful probe another one. A balancer that is removed never returns its permit.
	permitTTL = 4 * time.Second
	// outDivisor gives the share of a failure domain's balancers, 1/2, that may be out of rotation at a time. Routers
	// ignore readiness if fewer than half are in rotation.
	outDivisor = 2
	// maxPermits bounds the memory for permits. It is beyond half of the balancers of any failure domain.
	maxPermits = 1024
)

// Permits decides which balancers of a failure domain may leave the rotation. All stopping balancers of a failure domain
// ask the same agent as long as that one answers, so that one agent counts all permits; two agents that are asked at the
// same time let more balancers stop than wanted, and nothing else. The zero Permits is ready to use. It is not safe for concurrent use.
type Permits struct {
	// Clock is the source of time; nil is the system clock.
	Clock lentilclock.Clock

	// granted has the permits by the name of the balancer.
	granted map[string]permit
}

type permit struct {
	domain string
	// runID is the run of the balancer that was allowed to stop.
	runID uint64
	at    time.Time
}

func (p *Permits) now() time.Time { return lentilclock.OrSystem(p.Clock).Now() }

// Request reports whether the given run of a balancer may leave the rotation of its failure domain. present has the names
// of the balancers there that run; those that have left with a permit count too.
func (p *Permits) Request(balancer, domain string, runID uint64, present []string) (granted bool) {
	now, out, balancers := p.now(), 0, len(present)
	for name, g := range p.granted {
		if now.Sub(g.at) >= permitTTL {
			delete(p.granted, name)
			continue
		}
		if g.domain != domain || name == balancer {
			continue
		}
		out++
		if !slices.Contains(present, name) {
			balancers++
		}
	}
	if g, ok := p.granted[balancer]; ok && g.runID == runID {
		return true
	}
	if out >= max(1, balancers/outDivisor) || len(p.granted) >= maxPermits {
		return false
	}
	if p.granted == nil {
		p.granted = make(map[string]permit)
	}
	p.granted[balancer] = permit{domain: domain, runID: runID, at: now}
	return true
}

// Return takes the permit of a balancer back when a later run of it serves.
func (p *Permits) Return(balancer string, runID uint64) {
	if g, ok := p.granted[balancer]; ok && g.runID != runID {
		delete(p.granted, balancer)
	}
}
