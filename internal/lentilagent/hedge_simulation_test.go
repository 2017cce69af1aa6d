package lentilagent

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilschedule"
	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilhedge"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

// hedgeNetwork plays callers, copies and the network around three coordinators. Messages between
// processes are lost or late at random, those within a process are not.
type hedgeNetwork struct {
	t        *testing.T
	schedule lentilschedule.Schedule
	random   *rand.Rand
	nodes    []*coordinator
	lastID   uint64
	runs     map[string]int // runs at copies, by request
	extras   map[string]int // extra attempts, by request
	wins     int
}

const simulationTimeout = 300 * time.Millisecond

func newHedgeNetwork(t *testing.T, seed uint64) (n *hedgeNetwork) {
	n = &hedgeNetwork{t: t, random: rand.New(rand.NewPCG(seed, 1)), runs: make(map[string]int), extras: make(map[string]int)}
	var records []lentilrecord.Record
	for i := range 3 {
		owner := lentilrecord.Owner{Copy: fmt.Sprintf("copy-%d", i), Incarnation: 1}
		control := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
		var published atomic.Pointer[snapshot]
		c := newCoordinator(&Options{
			Copy: owner.Copy, Incarnation: owner.Incarnation, Service: testService, Control: control, Clock: n.schedule.Clock(), Random: n.random.Float64,
			HedgePercent: lentilhedge.MaxPercent, DisableHandOff: true,
		}, &published)
		c.admitter.Limiter.StartPercent = 100
		for range lentilhedge.MinObservations {
			c.hedge.RecordDuration(testRoute, lentilhedge.MinDelay)
		}
		n.nodes = append(n.nodes, c)
		records = append(records, lentilrecord.New(lentilrecord.Doc{
			Owner: owner, Version: 1, Service: testService, Domain: 1, Tunnel: control, Control: control, Phase: lentilrecord.Ready, Weight: 200,
		}))
	}
	for _, c := range n.nodes {
		c.updatePeers(records)
	}
	n.schedule.Every(20*time.Millisecond, func() {
		for _, c := range n.nodes {
			c.handle(tick{})
		}
	})
	return n
}

func (n *hedgeNetwork) after(d time.Duration, f func()) { n.schedule.At(n.schedule.Now().Add(d), f) }

// deliver delivers a message between processes: usually soon, at times late or never.
func (n *hedgeNetwork) deliver(f func()) {
	delay := time.Duration(n.random.IntN(1000)) * time.Microsecond
	switch n.random.IntN(10) {
	case 0:
		return
	case 1, 2:
		delay = time.Duration(n.random.IntN(400)) * time.Millisecond
	}
	n.after(delay, f)
}

// callCopy runs a request at a copy. answer is called with the end of the call: answered, lost or
// not run.
func (n *hedgeNetwork) callCopy(name string, end func(result lentiladmit.RelayResult)) {
	if n.random.IntN(20) == 0 {
		n.after(time.Millisecond, func() { end(lentiladmit.RelayNotRun) })
		return
	}
	n.runs[name]++
	duration := time.Duration(1+n.random.IntN(8)) * time.Millisecond
	if n.random.IntN(4) == 0 {
		duration = time.Duration(n.random.IntN(250)) * time.Millisecond
	}
	result := lentiladmit.RelayAnswered
	if n.random.IntN(10) == 0 {
		result = lentiladmit.RelayAnswerLost
	}
	n.after(duration, func() { end(result) })
}

func (n *hedgeNetwork) newExchange(kind lentilconfig.RequestKind, relayed bool) (x *exchange) {
	n.lastID++
	return &exchange{
		id: n.lastID, kind: kind, relayed: relayed, route: testRoute, deadline: n.schedule.Now().Add(simulationTimeout),
		replies: make(chan reply, replyQueueSize), hedgeGrants: make(chan hedgeGrant, 1),
	}
}

// follow carries out the orders to a handler until the request has ended. answered is called if
// an answer goes to the caller or the peer; ended is called in any other case.
func (n *hedgeNetwork) follow(c *coordinator, x *exchange, name string, answered func(), ended func(result lentiladmit.RelayResult)) {
	select {
	case r := <-x.replies:
		switch r.order {
		case orderRun:
			n.run(c, x, name, r.hedgeAfter, answered)
		case orderRefuse:
			ended(lentiladmit.RelayNotRun)
			return
		case orderReplay:
			answered()
			return
		default:
			ended(lentiladmit.RelayAnswerLost)
			return
		}
	default:
	}
	if n.schedule.Now().After(x.deadline.Add(time.Second)) {
		c.handle(requestCancelled{x})
		return
	}
	n.after(10*time.Millisecond, func() { n.follow(c, x, name, answered, ended) })
}

// simulatedCall is a call to a copy, with its extra attempt, as hedgedCall makes it.
type simulatedCall struct {
	firstEnded, extraRuns bool
}

// run sends a request to the copy and, if one is granted, an extra attempt to a peer.
func (n *hedgeNetwork) run(c *coordinator, x *exchange, name string, hedgeAfter time.Duration, answered func()) {
	call := &simulatedCall{}
	cancelExtra := func() {}
	n.callCopy(name, func(result lentiladmit.RelayResult) {
		if call.firstEnded {
			return
		}
		call.firstEnded = true
		switch {
		case x.kind == lentilconfig.KindOnce && result == lentiladmit.RelayAnswered:
			c.handle(callAnswered{exchange: x, outcome: lentillimit.OutcomeDone, answer: lentilticket.Answer{Status: 200}})
		case result == lentiladmit.RelayAnswered:
			if call.extraRuns {
				call.extraRuns = false
				cancelExtra()
			}
			answered()
			c.handle(callFinished{x, lentillimit.OutcomeDone})
		case call.extraRuns:
			c.handle(firstFailed{x, lentillimit.OutcomeCancelled, result == lentiladmit.RelayAnswerLost})
		case result == lentiladmit.RelayNotRun:
			c.handle(callNotRun{x, lentillimit.OutcomeCancelled})
		default:
			c.handle(callAnswerLost{x, lentillimit.OutcomeCancelled})
		}
	})
	if hedgeAfter == 0 {
		return
	}
	n.after(hedgeAfter, func() {
		if call.firstEnded {
			return
		}
		c.handle(hedgeDue{x})
		grant := <-x.hedgeGrants
		if grant.verdict != lentilhedge.VerdictAllowed {
			return
		}
		n.extras[name]++
		call.extraRuns = true
		end := func(result lentiladmit.RelayResult) {
			if !call.extraRuns {
				return
			}
			call.extraRuns = false
			c.handle(hedgeEnded{exchange: x, peer: grant.peer.Owner(), result: result})
			if result == lentiladmit.RelayAnswered {
				n.wins++
				answered()
				if !call.firstEnded {
					call.firstEnded = true
					c.handle(callFinished{x, lentillimit.OutcomeOvertaken})
				}
			}
		}
		cancelExtra = n.relayExtra(n.nodes[grant.peer.Control().Port()-1], name, end)
		// An extra attempt without an answer ends with the request's timeout.
		n.after(simulationTimeout, func() { end(lentiladmit.RelayAnswerLost) })
	})
}

// relayExtra relays an extra attempt. cancel withdraws it; both messages may be lost.
func (n *hedgeNetwork) relayExtra(peer *coordinator, name string, end func(lentiladmit.RelayResult)) (cancel func()) {
	there := n.newExchange(lentilconfig.KindRepeatable, true)
	n.deliver(func() {
		peer.handle(requestArrived{there})
		n.follow(peer, there, name, func() {
			n.deliver(func() { end(lentiladmit.RelayAnswered) })
		}, func(result lentiladmit.RelayResult) { n.deliver(func() { end(result) }) })
	})
	return func() { n.deliver(func() { peer.handle(requestCancelled{there}) }) }
}

// callerSends plays a caller of a request. A request that may not be repeated first gets a ticket.
// The caller sends it up to three times, and some messages arrive late or twice.
func (n *hedgeNetwork) callerSends(name string, kind lentilconfig.RequestKind) {
	c := n.nodes[n.random.IntN(len(n.nodes))]
	if kind == lentilconfig.KindRepeatable {
		x := n.newExchange(kind, false)
		c.handle(requestArrived{x})
		n.follow(c, x, name, func() {}, func(lentiladmit.RelayResult) {})
		return
	}
	ticket := c.issuer.Issue()
	for i := range 3 {
		n.after(time.Duration(i)*150*time.Millisecond, func() {
			n.deliver(func() {
				x := n.newExchange(kind, false)
				c.handle(ticketPresented{exchange: x, ticket: ticket})
				n.follow(c, x, name, func() {}, func(lentiladmit.RelayResult) {})
			})
		})
	}
}

// TestHedgesNeverRepeatOnceRequests plays thousands of seeded runs in which messages between
// callers, agents and copies are lost or late. It guards against a request that may not be
// repeated that runs twice or gets an extra attempt, a second extra attempt at any request, and
// slots that stay occupied.
func TestHedgesNeverRepeatOnceRequests(t *testing.T) {
	const runs = 2000
	extras, wins, once := 0, 0, 0
	for seed := range uint64(runs) {
		n := newHedgeNetwork(t, seed)
		for i := range 30 {
			kind, name := lentilconfig.KindRepeatable, fmt.Sprintf("repeatable-%d", i)
			if i%3 == 0 {
				kind, name = lentilconfig.KindOnce, fmt.Sprintf("once-%d", i)
			}
			n.after(time.Duration(n.random.IntN(1000))*time.Millisecond, func() { n.callerSends(name, kind) })
		}
		n.schedule.RunUntil(n.schedule.Now().Add(3 * time.Second))
		for i := range 30 {
			name := fmt.Sprintf("once-%d", i)
			once += n.runs[name]
			if n.runs[name] > 1 || n.extras[name] > 0 {
				t.Errorf("seed %d: request %s ran %d times, with %d extra attempts", seed, name, n.runs[name], n.extras[name])
			}
		}
		for name, count := range n.extras {
			extras += count
			if count > 1 {
				t.Errorf("seed %d: %d extra attempts at %s", seed, count, name)
			}
		}
		wins += n.wins
		for i, c := range n.nodes {
			if c.admitter.InFlight() != 0 || !c.admitter.Idle() {
				t.Errorf("seed %d: %d requests in flight at agent %d after the end", seed, c.admitter.InFlight(), i)
			}
		}
		if t.Failed() {
			return
		}
	}
	t.Logf("%d runs: %d requests ran that may not be repeated, %d extra attempts, %d won", runs, once, extras, wins)
	if extras == 0 || wins == 0 || once == 0 {
		t.Error("the runs show nothing")
	}
}
