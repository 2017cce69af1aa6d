package lentilpacketmodel

import (
	"cmp"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Times of clients, as the users' platform has them.
const (
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	openLimit  = 1400 * time.Millisecond
	// resendAfter is the first pause before a request is sent again; it doubles up to resendMax.
	resendAfter = 200 * time.Millisecond
	resendMax   = 1600 * time.Millisecond
	// requestLimit is a client's deadline unless Setup.Deadline says otherwise.
	requestLimit = time.Second
)

// client opens flows and makes requests in them, one at a time.
type client struct {
	world    *World
	domain   int
	number   int
	port     uint16
	key      lentilflow.Key
	state    clientState
	attempt  int
	sequence uint32
	// offered is the upstream's first sequence number.
	offered uint32
	askedAt time.Time
	made    int
	// limit is how many requests it makes in a flow; zero is no bound.
	limit int
	// holder is the upstream that holds the flow, for the model's own bookkeeping.
	holder *upstream
	// strays are when packets of the flow reached other upstreams, since its own was last reached.
	strays []time.Time
}

type clientState uint8

const (
	idle clientState = iota
	opening
	asking
	resting
)

// begin opens a flow from a new port.
func (c *client) begin() {
	w := c.world
	c.port++
	c.attempt++
	c.key = lentilflow.NewKey(lentilflow.NewEndpoint([4]byte{100, 64 + byte(c.domain), byte(c.number >> 8), byte(c.number)}, c.port), Address)
	c.state, c.holder, c.strays, c.made = opening, nil, nil, 0
	c.sequence = w.Random.Uint32()
	c.askedAt = w.Clock.Now()
	w.Tally.Asked++
	attempt := c.attempt
	for _, at := range []time.Duration{0, firstCopy, secondCopy} {
		w.After(at, func() {
			if c.attempt == attempt && c.state == opening {
				c.send(lentilflow.Packet{Key: c.key, Flags: lentilflow.Open, Sequence: c.sequence})
			}
		})
	}
	w.After(openLimit, func() {
		if c.attempt == attempt && c.state == opening {
			c.expire()
		}
	})
}

// expire gives a request up and opens another flow.
func (c *client) expire() {
	c.world.Tally.Expired++
	c.state = idle
	c.attempt++
	c.world.After(c.world.pause(), c.begin)
}

// ask makes a request in the open flow.
func (c *client) ask() {
	if c.state != resting {
		return
	}
	c.world.Tally.Asked++
	c.askedAt = c.world.Clock.Now()
	c.request()
}

func (c *client) request() {
	c.state = asking
	c.sequence++
	c.made++
	attempt, made := c.attempt, c.made
	var send func(after time.Duration)
	send = func(after time.Duration) {
		if c.attempt != attempt || c.made != made || c.state != asking {
			return
		}
		if c.world.Clock.Now().Sub(c.askedAt) >= cmp.Or(c.world.Setup.Deadline, requestLimit) {
			c.expire()
			return
		}
		c.send(lentilflow.Packet{Key: c.key, Flags: lentilflow.Acknowledge, Sequence: c.sequence, Acknowledged: c.offered + 1, Length: 1})
		c.world.After(after, func() { send(min(2*after, resendMax)) })
	}
	send(resendAfter)
}

// send gives a packet to the balancer that the routers choose by the flow's name.
func (c *client) send(packet lentilflow.Packet) {
	b := c.world.route(c.domain, packet.Key)
	if b == nil {
		return
	}
	data := packetOf(packet)
	c.world.After(clientDelay, func() {
		if b.up {
			b.enter(b.run, func() { b.fromClient(data) })
		}
	})
}

// route returns the balancer for a flow: by rendezvous hashing among those in rotation in the client's
// failure domain, or in any if there are none.
func (w *World) route(domain int, key lentilflow.Key) (chosen *balancer) {
	for _, near := range []bool{true, false} {
		var best uint64
		for _, b := range w.balancers {
			if near && b.domain != domain || !b.routed {
				continue
			}
			if hash := lentilflow.NewKey(key.Client(), b.end).Hash(); chosen == nil || hash > best {
				chosen, best = b, hash
			}
		}
		if chosen != nil {
			return chosen
		}
	}
	return nil
}

func (w *World) pause() time.Duration {
	return time.Duration(w.Random.ExpFloat64() * float64(w.Setup.Pause))
}

// toClient carries a packet to its client. Cause says why the system itself resets the flow.
func (w *World) toClient(from *process, key lentilflow.Key, data []byte, cause string) {
	if from.cut {
		return
	}
	w.After(clientDelay, func() {
		packet, err := parsePacket(data)
		if err != nil {
			w.breach("a client got bytes that are no packet")
			return
		}
		address := key.Client().Address()
		number := int(address[2])<<8 | int(address[3])
		if c := w.clients[number]; c.key == packet.Key {
			c.take(from, packet, cause)
		}
	})
}

func (c *client) take(from *process, packet lentilflow.Packet, cause string) {
	w := c.world
	switch {
	case packet.Flags.Has(lentilflow.Reset):
		if c.state == idle {
			return
		}
		c.judgeReset(from, cause)
		switch c.state {
		case opening:
			w.Tally.Refused++
		case asking:
			w.Tally.Cut++
		default:
			w.Tally.Reset++
		}
		c.state = idle
		c.attempt++
		w.After(w.pause(), c.begin)
	case packet.Flags.Has(lentilflow.Open):
		if c.state == opening {
			c.offered = packet.Sequence
			c.request()
		}
	case packet.Length > 0 && c.state == asking && packet.Acknowledged == c.sequence:
		w.Tally.Answered++
		w.Tally.Waits = append(w.Tally.Waits, w.Clock.Now().Sub(c.askedAt))
		if c.limit > 0 && c.made >= c.limit {
			c.state = idle
			c.attempt++
			w.After(w.pause(), c.begin)
			return
		}
		c.state = resting
		attempt := c.attempt
		w.After(w.pause(), func() {
			if c.attempt == attempt {
				c.ask()
			}
		})
	}
}
