package lentilpacketmodel

import (
	"cmp"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Times of clients, as the users' platform has them.
const (
	firstOpenResend  = 200 * time.Millisecond
	secondOpenResend = 600 * time.Millisecond
	openTimeout      = 1400 * time.Millisecond
	// initialResendDelay is the first pause before a request is sent again; it doubles up to resendMax.
	initialResendDelay = 200 * time.Millisecond
	maxResendDelay     = 1600 * time.Millisecond
	// defaultDeadline is a client's deadline unless Setup.Deadline says otherwise.
	defaultDeadline = time.Second
)

// client opens flows and makes requests in them, one at a time.
type client struct {
	sim      *Simulation
	domain   int
	number   int
	port     uint16
	key      lentilflow.Key
	state    clientState
	attempt  int
	sequence uint32
	// upstreamSequence is the upstream's first sequence number.
	upstreamSequence uint32
	requestedAt      time.Time
	requestsMade     int
	// requestsPerFlow is how many requests it makes in a flow; zero is no bound.
	requestsPerFlow int
	// flowUpstream is the upstream that holds the flow, for the model's own bookkeeping.
	flowUpstream *upstream
	// misdeliveries are when packets of the flow reached other upstreams, since its own was last reached.
	misdeliveries []time.Time
}

type clientState uint8

const (
	noFlow clientState = iota
	opening
	awaitingAnswer
	thinking
)

// openFlow opens a flow from a new port.
func (c *client) openFlow() {
	w := c.sim
	c.port++
	c.attempt++
	c.key = lentilflow.NewKey(lentilflow.NewEndpoint([4]byte{100, 64 + byte(c.domain), byte(c.number >> 8), byte(c.number)}, c.port), Address)
	c.state, c.flowUpstream, c.misdeliveries, c.requestsMade = opening, nil, nil, 0
	c.sequence = w.Random.Uint32()
	c.requestedAt = w.Clock.Now()
	w.Stats.Requests++
	attempt := c.attempt
	for _, at := range []time.Duration{0, firstOpenResend, secondOpenResend} {
		w.After(at, func() {
			if c.attempt == attempt && c.state == opening {
				c.send(lentilflow.Packet{Key: c.key, Flags: lentilflow.Open, Sequence: c.sequence})
			}
		})
	}
	w.After(openTimeout, func() {
		if c.attempt == attempt && c.state == opening {
			c.expire()
		}
	})
}

// expire gives a request up and opens another flow.
func (c *client) expire() {
	c.sim.Stats.Expired++
	c.state = noFlow
	c.attempt++
	c.sim.After(c.sim.randomThinkTime(), c.openFlow)
}

// startRequest makes a request in the open flow.
func (c *client) startRequest() {
	if c.state != thinking {
		return
	}
	c.sim.Stats.Requests++
	c.requestedAt = c.sim.Clock.Now()
	c.sendRequest()
}

func (c *client) sendRequest() {
	c.state = awaitingAnswer
	c.sequence++
	c.requestsMade++
	attempt, made := c.attempt, c.requestsMade
	var send func(after time.Duration)
	send = func(after time.Duration) {
		if c.attempt != attempt || c.requestsMade != made || c.state != awaitingAnswer {
			return
		}
		if c.sim.Clock.Now().Sub(c.requestedAt) >= cmp.Or(c.sim.Setup.Deadline, defaultDeadline) {
			c.expire()
			return
		}
		c.send(lentilflow.Packet{Key: c.key, Flags: lentilflow.Acknowledge, Sequence: c.sequence, Acknowledged: c.upstreamSequence + 1, Length: 1})
		c.sim.After(after, func() { send(min(2*after, maxResendDelay)) })
	}
	send(initialResendDelay)
}

// send gives a packet to the balancer that the routers choose by the flow's name.
func (c *client) send(packet lentilflow.Packet) {
	b := c.sim.route(c.domain, packet.Key)
	if b == nil {
		return
	}
	data := encodePacket(packet)
	c.sim.After(clientDelay, func() {
		if b.up {
			b.deliver(b.run, func() { b.handleClientPacket(data) })
		}
	})
}

// route returns the balancer for a flow: by rendezvous hashing among those in rotation in the client's
// failure domain, or in any if there are none.
func (w *Simulation) route(domain int, key lentilflow.Key) (chosen *balancer) {
	for _, near := range []bool{true, false} {
		var best uint64
		for _, b := range w.balancers {
			if near && b.domain != domain || !b.inRotation {
				continue
			}
			if hash := lentilflow.NewKey(key.Client(), b.endpoint).Hash(); chosen == nil || hash > best {
				chosen, best = b, hash
			}
		}
		if chosen != nil {
			return chosen
		}
	}
	return nil
}

func (w *Simulation) randomThinkTime() time.Duration {
	return time.Duration(w.Random.ExpFloat64() * float64(w.Setup.ThinkTime))
}

// sendToClient carries a packet to its client. Cause says why the system itself resets the flow.
func (w *Simulation) sendToClient(from *process, key lentilflow.Key, data []byte, cause string) {
	if from.isolated {
		return
	}
	w.After(clientDelay, func() {
		packet, err := parsePacket(data)
		if err != nil {
			w.addViolation("a client got bytes that are no packet")
			return
		}
		address := key.Client().Address()
		number := int(address[2])<<8 | int(address[3])
		if c := w.clients[number]; c.key == packet.Key {
			c.receive(from, packet, cause)
		}
	})
}

func (c *client) receive(from *process, packet lentilflow.Packet, cause string) {
	w := c.sim
	switch {
	case packet.Flags.Has(lentilflow.Reset):
		if c.state == noFlow {
			return
		}
		c.checkReset(from, cause)
		switch c.state {
		case opening:
			w.Stats.Refused++
		case awaitingAnswer:
			w.Stats.InterruptedRequests++
		default:
			w.Stats.IdleResets++
		}
		c.state = noFlow
		c.attempt++
		w.After(w.randomThinkTime(), c.openFlow)
	case packet.Flags.Has(lentilflow.Open):
		if c.state == opening {
			c.upstreamSequence = packet.Sequence
			c.sendRequest()
		}
	case packet.Length > 0 && c.state == awaitingAnswer && packet.Acknowledged == c.sequence:
		w.Stats.Answered++
		w.Stats.Latencies = append(w.Stats.Latencies, w.Clock.Now().Sub(c.requestedAt))
		if c.requestsPerFlow > 0 && c.requestsMade >= c.requestsPerFlow {
			c.state = noFlow
			c.attempt++
			w.After(w.randomThinkTime(), c.openFlow)
			return
		}
		c.state = thinking
		attempt := c.attempt
		w.After(w.randomThinkTime(), func() {
			if c.attempt == attempt {
				c.startRequest()
			}
		})
	}
}
