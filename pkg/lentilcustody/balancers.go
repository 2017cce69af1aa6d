package lentilcustody

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// minStatusInterval is how often each balancer is told the status, while they are few.
	minStatusInterval = 500 * time.Millisecond
	// maxStatusesPerSecond bounds what all statuses cost: 20 of some 80 bytes are a tenth of the 16 KB/s
	// that control may take.
	maxStatusesPerSecond = 20
	// balancerTimeout is how long a balancer is told the status without a greeting: it sends one every 5 s.
	balancerTimeout = 20 * time.Second
	// maxHelloGap is after how long without a greeting the agent may have been forgotten: balancers greet
	// every 5 s, and forget an agent that is silent for 15 s.
	maxHelloGap = 12 * time.Second
)

// balancer is what the agent knows of a balancer.
type balancer struct {
	helloAt time.Time
}

// AddPeer makes a balancer known that may exist.
func (c *Tracker) AddPeer(node lentilflow.Node, actions []Action) []Action {
	if c.balancers[node.Address] != nil {
		return actions
	}
	c.addBalancer(node.Address)
	return append(actions, Action{Kind: SendStatus, To: node.Address})
}

// HandleHello takes a balancer's greeting.
func (c *Tracker) HandleHello(from lentilflow.Endpoint, m lentilflow.Hello, actions []Action) []Action {
	if m.Stopping {
		delete(c.balancers, from)
		return actions
	}
	c.addBalancer(from)
	now := c.now()
	if !c.lastHelloAt.IsZero() && now.Sub(c.lastHelloAt) > maxHelloGap {
		actions = append(actions, Action{Kind: Rediscover})
	}
	c.lastHelloAt = now
	return append(actions, Action{Kind: SendStatus, To: from})
}

func (c *Tracker) addBalancer(end lentilflow.Endpoint) {
	if c.balancers == nil {
		c.balancers = make(map[lentilflow.Endpoint]*balancer)
	}
	c.balancers[end] = &balancer{helloAt: c.now()}
}

// BalancerCount returns the number of balancers that are told the status.
func (c *Tracker) BalancerCount() int { return len(c.balancers) }

// Status returns the agent's status. Each one has a higher number than those before.
func (c *Tracker) Status() lentilflow.Status {
	c.statusSequence++
	return lentilflow.Status{
		Name: c.Name, Service: c.Service, Domain: c.Domain, RunID: c.RunID, Sequence: c.statusSequence,
		Phase: c.upstream.phase, Cold: c.Cold(), Out: c.out, Stopping: c.stopping, UpstreamEnded: c.upstream.ended, Load: c.Load(), Interval: c.statusInterval(),
		BalancerCount: uint16(len(c.balancers)),
	}
}

// statusInterval is how long the time between two statuses is without a change.
func (c *Tracker) statusInterval() time.Duration {
	return max(minStatusInterval, time.Duration(len(c.balancers))*time.Second/maxStatusesPerSecond)
}

// announceChange tells all balancers the status at once.
func (c *Tracker) announceChange(cause Cause, actions []Action) []Action {
	return c.sendStatuses(c.now(), append(actions, Action{Kind: ReportStateChange, Cause: cause}))
}

func (c *Tracker) sendStatuses(now time.Time, actions []Action) []Action {
	c.lastStatusAt = now
	for end, b := range c.balancers {
		if now.Sub(b.helloAt) > balancerTimeout {
			delete(c.balancers, end)
			continue
		}
		actions = append(actions, Action{Kind: SendStatus, To: end})
	}
	return actions
}

func (c *Tracker) sendDueStatuses(now time.Time, actions []Action) []Action {
	if now.Sub(c.lastStatusAt) < c.statusInterval() {
		return actions
	}
	return c.sendStatuses(now, actions)
}
