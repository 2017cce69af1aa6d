package lentilplacement

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// sendings has the agents to which a packet was sent during a lookup, each with the time of the last sending. The packet may have been lost, or
// have come to a run of the agent that has ended since.
type sendings []sending

type sending struct {
	to lentilflow.Endpoint
	at time.Time
}

// record records that the packet is sent to an agent now.
func (s *sendings) record(now time.Time, to lentilflow.Endpoint) {
	for i := range *s {
		if (*s)[i].to == to {
			(*s)[i].at = now
			return
		}
	}
	*s = append(*s, sending{to: to, at: now})
}

// contains reports whether the packet was sent to an agent.
func (s *sendings) contains(to lentilflow.Endpoint) bool {
	return slices.ContainsFunc(*s, func(o sending) bool { return o.to == to })
}

// forgetUntil forgets the sending to an agent if it was at a time or before.
func (s *sendings) forgetUntil(to lentilflow.Endpoint, until time.Time) {
	*s = slices.DeleteFunc(*s, func(o sending) bool { return o.to == to && !o.at.After(until) })
}
