package lentilconntrack

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilstair.example/lentilstair/pkg/lentilera"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// minStatusInterval is the time between two statuses to each balancer while there are few balancers.
	minStatusInterval = 500 * time.Millisecond
	// maxStatusesPerSecond bounds the traffic of the statuses to all balancers: 20 statuses of some 80 bytes
	// are a tenth of the 16 KB/s that control traffic may take.
	maxStatusesPerSecond = 20
	// countDelay is how long after its start the agent doesn't tell how many balancers there are. By then, those that run have answered
	// its first status. Balancers that start at the same time have to know their number 0.8 s later, when they would poll the store.
	countDelay = 300 * time.Millisecond
	// balancerTimeout is how long a balancer gets statuses after its last Hello. Balancers send a Hello every 5 s.
	balancerTimeout = 20 * time.Second
	// maxHelloGap is the longest gap between two Hellos that doesn't lead to a Rediscover. Balancers send a
	// Hello every 5 s and remove an agent that hasn't answered for 15 s.
	maxHelloGap = 12 * time.Second
)

// balancer is the state of a balancer that gets statuses.
type balancer struct {
	// helloAt is the time of the last Hello, or of AddPeer before the first one.
	helloAt time.Time
	// heard is set once the balancer has sent a Hello. Until then it is only listed, and may have ended long ago.
	heard        bool
	name, domain string
	// understandsEra is set if the balancer accepts the era in a Status.
	understandsEra bool
	// configured is set if the balancer has a configuration, and relays if it accepts the address of such a balancer.
	configured, relays bool
	// understandsWait is set if the balancer accepts the utilization in a Load.
	understandsWait bool
}

// AddPeer adds a balancer that was found in the list of balancers, which may hold stale entries.
func (t *Tracker) AddPeer(node lentilflow.Node, actions []Action) []Action {
	if t.balancers[node.Address] != nil {
		return actions
	}
	b := t.addBalancer(node.Address)
	b.name, b.domain = node.Name, node.Domain
	return append(actions, Action{Kind: SendStatus, To: node.Address})
}

// HandleHello handles a balancer's Hello and answers it with the status. If no balancer sent one for longer than
// maxHelloGap, it also asks for a Rediscover.
func (t *Tracker) HandleHello(from lentilflow.Endpoint, m lentilflow.Hello, actions []Action) []Action {
	if m.Stopping {
		delete(t.balancers, from)
		return actions
	}
	b := t.addBalancer(from)
	b.heard, b.name, b.domain = true, m.Name, m.Domain
	if m.Configured {
		t.permits.Return(m.Name, m.RunID)
	}
	b.understandsEra, b.configured, b.relays, b.understandsWait = m.UnderstandsEra, m.Configured, m.Relays, m.UnderstandsWait
	now := t.now()
	if !t.lastHelloAt.IsZero() && now.Sub(t.lastHelloAt) > maxHelloGap {
		actions = t.rediscover(now, actions)
	}
	t.lastHelloAt = now
	if m.DomainState.AsOf > 0 {
		actions = t.handleDomainState(now, lentilera.Position{Era: m.Store.Era, Revision: m.DomainState.AsOf}, m.DomainState.Out, actions)
	}
	t.confirmFlowsComplete(m.Store)
	return append(actions, Action{Kind: SendStatus, To: from})
}

// rediscover asks for a Rediscover.
func (t *Tracker) rediscover(now time.Time, actions []Action) []Action {
	t.rediscoveredAt = now
	return append(actions, Action{Kind: Rediscover})
}

// tickBalancers asks for a Rediscover every maxHelloGap while no balancer sends a Hello. By the end of a long cut, all balancers
// may have forgotten the agent and removed its entry, and then none sends one.
func (t *Tracker) tickBalancers(now time.Time, actions []Action) []Action {
	for _, at := range []time.Time{t.startedAt, t.lastHelloAt, t.rediscoveredAt} {
		if now.Sub(at) <= maxHelloGap {
			return actions
		}
	}
	return t.rediscover(now, actions)
}

// HandleStopRequest answers a balancer that asks whether it may leave the routers' rotation.
func (t *Tracker) HandleStopRequest(m lentilflow.StopRequest) lentilflow.StopAnswer {
	t.permits.Clock = t.Clock
	var present []string
	for _, b := range t.balancers {
		if b.heard && b.domain == m.Domain {
			present = append(present, b.name)
		}
	}
	return lentilflow.StopAnswer{RunID: m.RunID, Granted: t.permits.Request(m.Name, m.Domain, m.RunID, present)}
}

// handleDomainState handles a state of the failure domain that was read at the given position of the store. After the
// store has returned from an older copy, a failure domain that was out of service stays so until the operators have
// had the time to write that again.
func (t *Tracker) handleDomainState(now time.Time, asOf lentilera.Position, out bool, actions []Action) []Action {
	if asOf.Compare(t.domainAsOf) <= 0 {
		return actions
	}
	if t.out && !out && asOf.Era > t.domainAsOf.Era {
		if t.unsettledEra != asOf.Era {
			t.unsettledEra, t.settledAt = asOf.Era, now.Add(lentilera.SettleTime)
			actions = append(actions, Action{Kind: ReportStateChange, Cause: DomainKeptOut})
		}
		if now.Before(t.settledAt) {
			return actions
		}
	}
	t.domainAsOf = asOf
	return t.SetOut(out, actions)
}

// LedgerWriter returns the balancer that stores the ledgers of a group: the one with the highest hash among those of the
// agent's failure domain, or of all if there is none. avoid excludes balancers. It is zero if no balancer is left.
func (t *Tracker) LedgerWriter(group string, avoid func(lentilflow.Endpoint) bool) (writer lentilflow.Endpoint) {
	var best uint64
	near := false
	for address, b := range t.balancers {
		isNear := b.domain == t.Domain
		if !b.configured || t.now().Sub(b.helloAt) > maxHelloGap || near && !isNear || avoid(address) {
			continue
		}
		hash := xxhash.Sum64String(group + "/" + b.name)
		if isNear != near || hash >= best {
			writer, best, near = address, hash, isNear
		}
	}
	return writer
}

// UnderstandsEra reports whether a balancer accepts the era of the store in a Status.
func (t *Tracker) UnderstandsEra(address lentilflow.Endpoint) bool {
	b := t.balancers[address]
	return b != nil && b.understandsEra
}

// LoadFor returns the upstream's load as it is sent to a balancer. Balancers that don't announce that they understand
// utilization, service time and waiting requests get none.
func (t *Tracker) LoadFor(address lentilflow.Endpoint) lentilflow.Load {
	if b := t.balancers[address]; b == nil || !b.understandsWait {
		return t.Load().WithoutWait()
	}
	return t.Load()
}

// ConfiguredBalancer returns one of the balancers that accept relayed packets and have a configuration, drawn at
// random, for the balancer at address. It is zero if there is none, or if that balancer has a configuration itself.
func (t *Tracker) ConfiguredBalancer(address lentilflow.Endpoint) (chosen lentilflow.Endpoint) {
	if b := t.balancers[address]; b == nil || b.configured || !b.relays {
		return chosen
	}
	for other, b := range t.balancers {
		if b.configured && b.relays && t.now().Sub(b.helloAt) <= maxHelloGap {
			return other // The order of a map is random.
		}
	}
	return chosen
}

func (t *Tracker) addBalancer(address lentilflow.Endpoint) (added *balancer) {
	if t.balancers == nil {
		t.balancers = make(map[lentilflow.Endpoint]*balancer)
	}
	added = &balancer{helloAt: t.now()}
	t.balancers[address] = added
	return added
}

// BalancerCount returns the number of balancers that have introduced themselves. Those that are only listed may have ended.
func (t *Tracker) BalancerCount() (count int) {
	for _, b := range t.balancers {
		if b.heard {
			count++
		}
	}
	return count
}

// countsBalancers reports whether the agent runs for long enough to know how many balancers there are.
func (t *Tracker) countsBalancers() bool { return t.now().Sub(t.startedAt) >= countDelay }

// reportedBalancerCount returns the number of balancers that the status reports, which is zero while it isn't known.
func (t *Tracker) reportedBalancerCount() uint16 {
	if !t.countsBalancers() {
		return 0
	}
	return uint16(t.BalancerCount())
}

// Status returns the agent's status, with the whole load; LoadFor returns the part that a balancer accepts. Each call
// returns a higher sequence number.
func (t *Tracker) Status() lentilflow.Status {
	t.statusSequence++
	return lentilflow.Status{
		Name: t.Name, Service: t.Service, Domain: t.Domain, RunID: t.RunID, Sequence: t.statusSequence,
		Phase: t.upstream.phase, Cold: t.Cold(), Out: t.out, Stopping: t.stopping, UpstreamEnded: t.upstream.ended, Load: t.Load(), Interval: t.statusInterval(),
		BalancerCount: t.reportedBalancerCount(), UnderstandsTerms: true, UnderstandsEra: true,
	}
}

// statusInterval returns the time between two statuses to a balancer while nothing changes. While the number of balancers isn't known, it is
// that for all that are listed: balancers take an agent for unresponsive if its statuses come later than it has said.
func (t *Tracker) statusInterval() time.Duration {
	if !t.countsBalancers() {
		return statusIntervalOf(len(t.balancers))
	}
	return statusIntervalOf(t.BalancerCount())
}

// statusIntervalOf returns the time between two statuses to each of some balancers.
func statusIntervalOf(balancers int) time.Duration {
	return max(minStatusInterval, time.Duration(balancers)*time.Second/maxStatusesPerSecond)
}

// announceChange reports a state change and sends the status to all balancers at once.
func (t *Tracker) announceChange(cause Cause, actions []Action) []Action {
	return t.sendStatuses(t.now(), append(actions, Action{Kind: ReportStateChange, Cause: cause}))
}

// sendStatuses sends the status to all balancers and removes those without a recent Hello.
func (t *Tracker) sendStatuses(now time.Time, actions []Action) []Action {
	t.lastStatusAt, t.lastIntroductionAt = now, now
	return t.sendStatusesTo(now, true, t.sendStatusesTo(now, false, actions))
}

// sendStatusesTo sends the status to the balancers that have sent a Hello, or to those that are only listed.
func (t *Tracker) sendStatusesTo(now time.Time, heard bool, actions []Action) []Action {
	for address, b := range t.balancers {
		switch {
		case b.heard != heard:
		case now.Sub(b.helloAt) > balancerTimeout:
			delete(t.balancers, address)
		default:
			actions = append(actions, Action{Kind: SendStatus, To: address})
		}
	}
	return actions
}

// sendDueStatuses sends the statuses that are due. Balancers that are only listed don't slow down those that run.
func (t *Tracker) sendDueStatuses(now time.Time, actions []Action) []Action {
	if now.Sub(t.lastStatusAt) >= t.statusInterval() {
		t.lastStatusAt = now
		actions = t.sendStatusesTo(now, true, actions)
	}
	if now.Sub(t.lastIntroductionAt) >= statusIntervalOf(len(t.balancers)-t.BalancerCount()) {
		t.lastIntroductionAt = now
		actions = t.sendStatusesTo(now, false, actions)
	}
	return actions
}
