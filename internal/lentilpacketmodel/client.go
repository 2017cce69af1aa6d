package lentilpacketmodel

import (
	"cmp"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Retransmission times and timeouts of clients, as on the users' platform.
const (
	// A client resends the first packet of a flow firstOpenResend and secondOpenResend after it sent it, and
	// abandons the flow after openTimeout.
	firstOpenResend  = 200 * time.Millisecond
	secondOpenResend = 600 * time.Millisecond
	openTimeout      = 1400 * time.Millisecond
	// initialResendDelay is the delay before a request is resent for the first time. The delay doubles with
	// each resend, up to maxResendDelay.
	initialResendDelay = 200 * time.Millisecond
	maxResendDelay     = 1600 * time.Millisecond
	// defaultDeadline is the deadline of a request if Setup.Deadline is zero.
	defaultDeadline = time.Second
)

// client opens one flow at a time and makes one request at a time in it.
type client struct {
	sim    *Simulation
	domain int
	number int
	port   uint16
	key    lentilflow.Key
	state  clientState
	// attempt is incremented when a flow begins or ends. Timers of an earlier attempt do nothing.
	attempt  int
	sequence uint32
	// upstreamSequence is the upstream's first sequence number in the flow.
	upstreamSequence uint32
	requestedAt      time.Time
	// requestsMade is the number of requests in the current flow.
	requestsMade int
	// requestsPerFlow is the maximum number of requests in a flow; zero is unlimited.
	requestsPerFlow int
	// flowUpstream is the upstream that holds the flow. Only the checks use it.
	flowUpstream *upstream
	// arrival is the request that the client makes now, in a simulation with Setup.ArrivalRate; else nil.
	arrival *arrival
	// misdeliveries are the times when packets of the flow reached other upstreams, since one last reached
	// flowUpstream.
	misdeliveries []time.Time
	// uploadSent and uploadAcked are the numbers of bytes of an upload that were sent and that are acknowledged.
	uploadSent, uploadAcked int
}

type clientState uint8

const (
	noFlow clientState = iota
	opening
	awaitingAnswer
	// thinking is the state between an answer and the next request.
	thinking
)

// openFlow opens a flow from a new port.
func (c *client) openFlow() {
	sim := c.sim
	c.port++
	c.attempt++
	c.key = lentilflow.NewKey(lentilflow.NewEndpoint([4]byte{100, 64 + byte(c.domain), byte(c.number >> 8), byte(c.number)}, c.port), Address)
	c.state, c.flowUpstream, c.misdeliveries, c.requestsMade = opening, nil, nil, 0
	c.sequence = sim.Random.Uint32()
	c.requestedAt = sim.Clock.Now()
	sim.Stats.Requests++
	if c.arrival != nil {
		c.requestedAt = c.arrival.at
	}
	attempt := c.attempt
	for _, delay := range []time.Duration{0, firstOpenResend, secondOpenResend} {
		sim.After(delay, func() {
			if c.attempt == attempt && c.state == opening {
				c.send(lentilflow.Packet{Key: c.key, Flags: lentilflow.Open, Sequence: c.sequence, Acknowledged: uint32(delay.Milliseconds())})
			}
		})
	}
	sim.After(openTimeout, func() {
		if c.attempt == attempt && c.state == opening {
			c.expire()
		}
	})
}

// expire abandons the request and its flow. The client opens another flow later.
func (c *client) expire() {
	c.sim.Stats.Expired++
	if c.arrival != nil {
		c.endAttempt(true)
		return
	}
	c.recordEnd(false)
	c.state = noFlow
	c.attempt++
	c.sim.After(c.sim.randomThinkTime(), c.openFlow)
}

// startRequest makes the next request in the open flow.
func (c *client) startRequest() {
	if c.state != thinking {
		return
	}
	c.sim.Stats.Requests++
	c.requestedAt = c.sim.Clock.Now()
	if c.uploads() {
		c.startUpload()
		return
	}
	c.sendRequest()
}

// sendRequest sends a request, and resends it until it is answered, the flow is reset or the deadline passes.
func (c *client) sendRequest() {
	c.state = awaitingAnswer
	c.sequence++
	c.requestsMade++
	attempt, request := c.attempt, c.requestsMade
	var send func(delay time.Duration)
	send = func(delay time.Duration) {
		if c.attempt != attempt || c.requestsMade != request || c.state != awaitingAnswer {
			return
		}
		if c.sim.Clock.Now().Sub(c.requestedAt) >= cmp.Or(c.sim.Setup.Deadline, defaultDeadline) {
			c.expire()
			return
		}
		c.send(lentilflow.Packet{Key: c.key, Flags: lentilflow.Acknowledge, Sequence: c.sequence, Acknowledged: c.upstreamSequence + 1, Length: max(1, c.sim.Setup.RequestBytes)})
		c.sim.After(delay, func() { send(min(2*delay, maxResendDelay)) })
	}
	send(initialResendDelay)
}

func (c *client) sendClose() {
	c.send(lentilflow.Packet{Key: c.key, Flags: lentilflow.Close | lentilflow.Acknowledge, Sequence: c.sequence, Acknowledged: c.upstreamSequence + 1})
}

// send sends a packet to the balancer that the routers choose for the flow.
func (c *client) send(packet lentilflow.Packet) {
	b := c.sim.route(c.domain, packet.Key)
	if b == nil {
		return
	}
	data := encodePacket(packet)
	c.sim.After(clientDelay, func() {
		if b.up {
			b.arrive(len(data), func() { b.handleClientPacket(data) })
		}
	})
}

// route returns the balancer that the routers choose for a flow. They use rendezvous hashing among the balancers
// in rotation in the client's failure domain, or in all domains if there are none. It is nil if no balancer is
// in rotation.
func (s *Simulation) route(domain int, key lentilflow.Key) (chosen *balancer) {
	for _, sameDomain := range []bool{true, false} {
		var best uint64
		for _, b := range s.balancers {
			if sameDomain && b.domain != domain || !b.inRotation {
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

func (s *Simulation) randomThinkTime() time.Duration {
	return time.Duration(s.Random.ExpFloat64() * float64(s.Setup.ThinkTime))
}

// sendToClient delivers a packet to the client of a flow. If a balancer or an agent resets the flow, cause is the
// reason; it is empty for packets of the upstream.
func (s *Simulation) sendToClient(from *process, data []byte, cause string) {
	if from.isolated {
		return
	}
	s.After(clientDelay, func() {
		packet, err := parsePacket(data)
		if err != nil {
			s.addViolation("a client received a malformed packet")
			return
		}
		if c := s.clientOf(packet.Key); c != nil {
			c.receive(from, packet, cause)
		}
	})
}

// clientOf returns the client whose current flow has the given key, or nil.
func (s *Simulation) clientOf(key lentilflow.Key) *client {
	address := key.Client().Address()
	if c := s.clients[int(address[2])<<8|int(address[3])]; c.key == key {
		return c
	}
	return nil
}

// receive processes a packet that reached the client.
func (c *client) receive(from *process, packet lentilflow.Packet, cause string) {
	sim := c.sim
	switch {
	case packet.Flags.Has(lentilflow.Reset):
		if c.state == noFlow {
			return
		}
		c.checkReset(from, cause)
		switch c.state {
		case opening:
			sim.Stats.Refused++
		case awaitingAnswer:
			sim.Stats.InterruptedRequests++
		default:
			sim.Stats.IdleResets++
		}
		if c.arrival != nil {
			c.endAttempt(c.state == opening || c.arrival.repeatable)
			return
		}
		if c.state != thinking {
			c.recordEnd(false)
		}
		c.state = noFlow
		c.attempt++
		sim.After(sim.randomThinkTime(), c.openFlow)
	case packet.Flags.Has(lentilflow.Open):
		if c.state == opening {
			c.upstreamSequence = packet.Sequence
			if c.uploads() {
				c.startUpload()
				return
			}
			c.sendRequest()
		}
	case packet.Length == 0 && c.uploads() && c.state == awaitingAnswer:
		c.handleUploadAck(packet)
	case packet.Length > 0 && c.state == awaitingAnswer && c.isAnswer(packet):
		sim.Stats.Answered++
		c.recordEnd(true)
		sim.Stats.Latencies = append(sim.Stats.Latencies, sim.Clock.Now().Sub(c.requestedAt))
		if c.arrival != nil {
			c.finishArrival()
			return
		}
		if c.uploads() {
			c.sequence += uint32(sim.Setup.UploadBytes)
		}
		if c.requestsPerFlow > 0 && c.requestsMade >= c.requestsPerFlow {
			c.state = noFlow
			c.attempt++
			sim.After(sim.randomThinkTime(), c.openFlow)
			return
		}
		c.state = thinking
		attempt := c.attempt
		sim.After(sim.randomThinkTime(), func() {
			if c.attempt == attempt {
				c.startRequest()
			}
		})
	}
}
