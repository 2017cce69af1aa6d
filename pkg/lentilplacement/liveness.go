package lentilplacement

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Whether an agent responds, and whether it has ended together with its upstream. Statuses alone show this late on large
// sites, where agents send them seldom. So an agent that doesn't answer a question gets Hellos, which every agent answers
// at once, and so do some others of its failure domain, whose answers rule out a network partition.

const (
	// answerTimeout is how long an agent may take to answer a question before it counts as unresponsive, however seldom
	// it sends statuses. It leaves two Hellos after the question, since a datagram may be lost.
	answerTimeout = unresponsiveIntervals * minStatusInterval
	// minWitnesses is the least number of other agents of a failure domain that get Hellos while an agent there owes an
	// answer. There are at least as many witnesses as agents that owe one, so that several agents that end at the same
	// time don't look like a partition.
	minWitnesses = 4
)

// unresponsive reports whether nothing has come from the agent for several status intervals, or no answer within
// answerTimeout.
func (a *agent) unresponsive(now time.Time) bool { return now.After(a.unresponsiveFrom()) }

// unresponsiveFrom returns from when the agent counts as unresponsive if nothing comes from it.
func (a *agent) unresponsiveFrom() (from time.Time) {
	from = a.statusesOverdueFrom()
	if byAnswer := a.askedAt.Add(answerTimeout); !a.askedAt.IsZero() && byAnswer.Before(from) {
		return byAnswer
	}
	return from
}

// statusesOverdueFrom returns from when several statuses are missing.
func (a *agent) statusesOverdueFrom() time.Time {
	return a.lastSeen.Add(unresponsiveIntervals * a.statusInterval())
}

func (a *agent) statusInterval() time.Duration { return max(a.status.Interval, minStatusInterval) }

// missesStatus reports whether a status is late and the next ones are too far away to wait for them.
func (a *agent) missesStatus(now time.Time) bool {
	silence := now.Sub(a.lastSeen)
	return a.statusInterval() > minStatusInterval && silence > a.statusInterval()+helloRetryInterval && silence <= expireAfter
}

// owesAnswer reports whether the agent has left a question without an answer for so long that it is asked again.
func (a *agent) owesAnswer(now time.Time) bool {
	return !a.askedAt.IsZero() && now.Sub(a.askedAt) >= helloRetryInterval && now.Sub(a.askedAt) <= helloRetryPeriod
}

// worthRetrying reports whether an unresponsive agent may soon answer again. As long as its machine answers, probes must
// go on, or the agent would count as gone; after expireAfter without a word they end.
func (a *agent) worthRetrying(now time.Time) bool {
	silence := now.Sub(a.lastSeen)
	return silence <= helloRetryPeriod || now.Sub(a.addedAt) <= helloRetryPeriod || a.machineSeenAt.After(a.lastSeen) && silence <= expireAfter
}

// recordAsked records that the agent is asked something to which it answers at once.
func (a *agent) recordAsked(now time.Time) {
	if a.askedAt.IsZero() {
		a.askedAt = now
	}
}

// recordHeard records a message of the agent.
func (a *agent) recordHeard(now time.Time) {
	if !a.seen() || a.unresponsive(now) {
		a.responsiveSince = now
	}
	if now.Sub(a.lastSeen) > answerTimeout {
		a.steadySince = now
	}
	a.lastSeen, a.askedAt, a.suspected = now, time.Time{}, false
}

// skipPause moves the times of the agent's messages on by a pause of the balancer, in which it read none.
func (a *agent) skipPause(gap time.Duration) {
	if a.seen() {
		a.lastSeen, a.responsiveSince, a.steadySince = a.lastSeen.Add(gap), a.responsiveSince.Add(gap), a.steadySince.Add(gap)
	}
	if !a.askedAt.IsZero() {
		a.askedAt = a.askedAt.Add(gap)
	}
	a.addedAt = a.addedAt.Add(gap)
}

// HandleProbeResult records whether the machine of an agent has answered a connection attempt, by accepting or by
// refusing it.
func (p *Placer) HandleProbeResult(addr lentilflow.Endpoint, answered bool, actions []Action) []Action {
	a := p.agents[addr]
	if a == nil || !answered {
		return actions
	}
	now, known := p.now(), a.machineSeenAt.After(a.lastSeen)
	a.machineSeenAt = now
	if known {
		return actions
	}
	return append(actions, Action{
		Kind: ReportAgent, Cause: MachineAnswered, To: addr, Phase: a.status.Phase, AgeMillis: now.Sub(a.lastSeen).Milliseconds(),
	})
}

// isGone reports whether an unresponsive agent is presumed to have ended together with its upstream. Since it became
// unresponsive, Hellos and probes of its machine must have had no answer for goneAfter-answerTimeout. A machine that
// answers shows that only the agent has ended, or is starved, which says nothing about its upstream.
// An agent that was asked to stop usually comes back and its upstream may run all the time, so it counts as gone only
// after expireAfter.
func (p *Placer) isGone(now time.Time, a *agent) bool {
	silentSince := a.unresponsiveFrom().Add(-answerTimeout)
	for _, t := range []time.Time{a.addedAt, a.machineSeenAt} {
		if silentSince.Before(t) {
			silentSince = t
		}
	}
	if now.Sub(silentSince) < goneAfter || a.status.Stopping && now.Sub(silentSince) < expireAfter {
		return false
	}
	return p.domainResponds(now, a)
}

// domainResponds reports whether at least half of the other agents of an unresponsive agent's failure domain respond:
// this rules out that a network partition between failure domains hides the agent. An agent counts as responding only
// after it has done so for goneAfter, since after a partition its agents are seen again one by one. While statuses of
// the agent may still be due, only agents that were heard without a longer pause than answerTimeout count as responding;
// others that aren't unresponsive don't count, since they may not have been asked.
func (p *Placer) domainResponds(now time.Time, a *agent) bool {
	byAnswers := !now.After(a.statusesOverdueFrom())
	others, responsive := 0, 0
	for _, o := range p.agents {
		respondingSince := o.responsiveSince
		if byAnswers {
			respondingSince = o.steadySince
		}
		silent := byAnswers && now.Sub(o.lastSeen) > answerTimeout
		switch {
		case o == a || o.status.Domain != a.status.Domain:
		case o.seen() && !silent && !o.unresponsive(now) && now.Sub(respondingSince) >= goneAfter:
			others++
			responsive++
		case byAnswers && !o.unresponsive(now):
		case now.Sub(o.lastSeen) < expireAfter || now.Sub(o.addedAt) < expireAfter:
			others++
		}
	}
	return responsive > 0 && responsive*2 >= others
}

// tickAgents sends due Hellos, more often to agents that are unresponsive or owe an answer, probes the machines of these,
// and reports agents that have become unresponsive.
func (p *Placer) tickAgents(now time.Time, actions []Action) []Action {
	p.probeBudget.PerSecond, p.probeBudget.Burst = probesPerSecond, probesPerSecond
	if gap := now.Sub(p.lastTick); !p.lastTick.IsZero() && gap > pauseThreshold {
		// This process was paused, and the messages that arrived meanwhile are still unread.
		// The pause doesn't count as time in which the agents were unresponsive.
		for _, a := range p.agents {
			a.skipPause(gap)
		}
	}
	p.lastTick = now
	owing := make(map[string]int)
	for addr, a := range p.agents {
		unresponsive := a.unresponsive(now)
		if unresponsive && a.seen() && !a.unresponsiveLogged {
			a.unresponsiveLogged = true
			actions = append(actions, Action{Kind: ReportAgent, Cause: AgentSilent, To: addr, Phase: a.status.Phase, AgeMillis: now.Sub(a.lastSeen).Milliseconds()})
		}
		missesStatus := a.missesStatus(now)
		if missesStatus {
			a.recordAsked(now)
		}
		if a.owesAnswer(now) {
			owing[a.status.Domain]++
		}
		interval := keepaliveInterval
		if missesStatus || a.owesAnswer(now) || unresponsive && a.worthRetrying(now) {
			interval = helloRetryInterval
			if now.Sub(a.probedAt) >= probeInterval && now.Sub(a.addedAt) >= probeInterval && p.probeBudget.Allow(now, 1) {
				a.probedAt = now
				actions = append(actions, Action{Kind: ProbeMachine, To: addr})
			}
		}
		if now.Sub(a.helloAt) >= interval {
			a.helloAt = now
			actions = append(actions, Action{Kind: SendHello, To: addr})
		}
	}
	return p.askWitnesses(now, owing, actions)
}

// askWitnesses sends Hellos to agents of failure domains in which other agents owe an answer, given their numbers by
// domain. Each balancer begins at another agent, so that they don't all ask the same ones.
func (p *Placer) askWitnesses(now time.Time, owing map[string]int, actions []Action) []Action {
	if len(owing) == 0 {
		return actions
	}
	if p.witnessOffset == 0 {
		p.witnessOffset = p.random()
	}
	asked := make(map[string]int)
	addresses := p.sortedAddresses()
	start := int(p.witnessOffset * float64(len(addresses)))
	for i := range addresses {
		addr := addresses[(start+i)%len(addresses)]
		a := p.agents[addr]
		domain := a.status.Domain
		if owing[domain] == 0 || !a.seen() || a.unresponsive(now) || a.owesAnswer(now) || asked[domain] >= max(minWitnesses, owing[domain]) {
			continue
		}
		asked[domain]++
		if now.Sub(a.helloAt) < helloRetryInterval {
			continue
		}
		a.helloAt = now
		a.recordAsked(now)
		actions = append(actions, Action{Kind: SendHello, To: addr})
	}
	return actions
}
