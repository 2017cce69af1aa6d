package lentilcustody

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// statusInterval is how often each balancer is told the status, while they are few.
	statusInterval = 500 * time.Millisecond
	// statusesPerSecond bounds what all statuses cost: 20 of some 80 bytes are a tenth of the 16 KB/s
	// that control may take.
	statusesPerSecond = 20
	// balancerLife is how long a balancer is told the status without a greeting: it sends one every 5 s.
	balancerLife = 20 * time.Second
	// lonelyLimit is after how long without a greeting the agent may have been forgotten: balancers greet
	// every 5 s, and forget an agent that is silent for 15 s.
	lonelyLimit = 12 * time.Second
)

// balancer is what the agent knows of a balancer.
type balancer struct {
	greetedAt time.Time
}

// Meet makes a balancer known that may exist.
func (c *Custodian) Meet(node lentilflow.Node, actions []Action) []Action {
	if c.balancers[node.Address] != nil {
		return actions
	}
	c.addBalancer(node.Address)
	return append(actions, Action{Verb: SendStatus, To: node.Address})
}

// Hello takes a balancer's greeting.
func (c *Custodian) Hello(from lentilflow.Endpoint, m lentilflow.Hello, actions []Action) []Action {
	if m.Stopping {
		delete(c.balancers, from)
		return actions
	}
	c.addBalancer(from)
	now := c.now()
	if !c.greetedAt.IsZero() && now.Sub(c.greetedAt) > lonelyLimit {
		actions = append(actions, Action{Verb: Rejoin})
	}
	c.greetedAt = now
	return append(actions, Action{Verb: SendStatus, To: from})
}

func (c *Custodian) addBalancer(end lentilflow.Endpoint) {
	if c.balancers == nil {
		c.balancers = make(map[lentilflow.Endpoint]*balancer)
	}
	c.balancers[end] = &balancer{greetedAt: c.now()}
}

// Balancers returns the number of balancers that are told the status.
func (c *Custodian) Balancers() int { return len(c.balancers) }

// Status returns the agent's status. Each one has a higher number than those before.
func (c *Custodian) Status() lentilflow.Status {
	c.number++
	return lentilflow.Status{
		Name: c.Name, Service: c.Service, Domain: c.Domain, RunID: c.Run, Sequence: c.number,
		Phase: c.upstream.phase, Cold: c.Cold(), Out: c.out, Stopping: c.stopping, UpstreamEnded: c.upstream.ended, Load: c.Load(), Interval: c.interval(),
		BalancerCount: uint16(len(c.balancers)),
	}
}

// interval is how long the time between two statuses is without a change.
func (c *Custodian) interval() time.Duration {
	return max(statusInterval, time.Duration(len(c.balancers))*time.Second/statusesPerSecond)
}

// announce tells all balancers the status at once.
func (c *Custodian) announce(cause Cause, actions []Action) []Action {
	return c.tell(c.now(), append(actions, Action{Verb: Note, Cause: cause}))
}

func (c *Custodian) tell(now time.Time, actions []Action) []Action {
	c.toldAt = now
	for end, b := range c.balancers {
		if now.Sub(b.greetedAt) > balancerLife {
			delete(c.balancers, end)
			continue
		}
		actions = append(actions, Action{Verb: SendStatus, To: end})
	}
	return actions
}

func (c *Custodian) tickBalancers(now time.Time, actions []Action) []Action {
	if now.Sub(c.toldAt) < c.interval() {
		return actions
	}
	return c.tell(now, actions)
}
