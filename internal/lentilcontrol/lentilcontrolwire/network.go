// Package lentilcontrolwire is a fake network between control nodes for tests and
// measurements. It delivers the calls of real nodes within one process, on a fake clock, and
// is deterministic.
package lentilcontrolwire

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/internal/lentilschedule"
	"lentilstair.example/lentilstair/pkg/lentilclock"
)

const (
	// tickInterval is the time between ticks of a node.
	tickInterval = 200 * time.Millisecond
	// conditionCheckInterval is the time between checks of a condition in AdvanceUntil.
	conditionCheckInterval = 25 * time.Millisecond
	// DefaultDelay is the one-way delay of a message.
	DefaultDelay = time.Millisecond
	// callTimeout is after how long a call without an answer fails.
	callTimeout = time.Second
)

// Network delivers the calls of nodes and agents. Set the fields, then add nodes and agents,
// and call Advance.
type Network struct {
	// Clock is the clock that Advance moves forward.
	Clock *lentilclock.Fake
	// Random determines when within tickInterval each process ticks first. Nil means after a
	// full interval.
	Random *rand.Rand
	// Deliver returns how a message from one address to another is delivered. It may drop,
	// delay, duplicate or change the message. Nil delivers it once, after DefaultDelay.
	Deliver func(from, to netip.AddrPort, message []byte) Delivery
	// OnSend is called with the size of each message in bytes. Nil means no call.
	OnSend func(from, to netip.AddrPort, bytes int)

	processes map[netip.AddrPort]*process
	queue     lentilschedule.Queue
}

// Delivery describes how a message is delivered.
type Delivery struct {
	// Delays holds the delay of each copy of the message that arrives; none means that the
	// message is lost.
	Delays []time.Duration
	// Message is the content that arrives.
	Message []byte
}

// process is a node or an agent in the network.
type process struct {
	address   netip.AddrPort
	node      *lentilcontrol.Node
	announcer *lentilcontrol.Announcer
	paused    bool
	// deferred holds the events that arrived during a pause. They run on resume.
	deferred []func()
}

// AddNode connects a started node at its control address.
func (n *Network) AddNode(node *lentilcontrol.Node) {
	p := n.addProcess(node.Self.Control)
	p.node = node
}

func (n *Network) addProcess(address netip.AddrPort) (p *process) {
	if n.processes == nil {
		n.processes = map[netip.AddrPort]*process{}
	}
	p = &process{address: address}
	n.processes[address] = p
	phase := tickInterval
	if n.Random != nil {
		phase = time.Duration(n.Random.Int64N(int64(tickInterval)))
	}
	n.schedule(phase, func() { n.tick(p) })
	return p
}

// AddAgent connects an agent's announcer at an address.
func (n *Network) AddAgent(address netip.AddrPort, announcer *lentilcontrol.Announcer) {
	p := n.addProcess(address)
	p.announcer = announcer
}

// Remove ends the node or agent at an address abruptly: it doesn't notify others.
func (n *Network) Remove(address netip.AddrPort) { delete(n.processes, address) }

// Pause pauses the node at an address: it neither ticks nor answers until Resume.
func (n *Network) Pause(address netip.AddrPort) { n.processes[address].paused = true }

// Resume resumes a paused node. It first handles the events that arrived during the pause.
func (n *Network) Resume(address netip.AddrPort) {
	p := n.processes[address]
	p.paused = false
	for _, event := range p.deferred {
		event()
	}
	p.deferred = nil
	n.tick(p)
}

// Advance advances the clock by d and runs the events that fall due.
func (n *Network) Advance(d time.Duration) { n.queue.RunUntil(n.Clock, n.Clock.Now().Add(d)) }

// AdvanceUntil advances the clock until a condition holds, by at most limit. It returns the
// elapsed time, in steps of conditionCheckInterval, and whether the condition holds.
func (n *Network) AdvanceUntil(limit time.Duration, condition func() bool) (elapsed time.Duration, ok bool) {
	for elapsed < limit {
		if condition() {
			return elapsed, true
		}
		n.Advance(conditionCheckInterval)
		elapsed += conditionCheckInterval
	}
	return elapsed, condition()
}

func (n *Network) tick(p *process) {
	if n.processes[p.address] != p || p.paused {
		return
	}
	if p.announcer != nil {
		for _, heartbeat := range p.announcer.Tick() {
			n.sendHeartbeat(p, heartbeat)
		}
	} else {
		n.startCalls(p, p.node.Tick())
	}
	n.schedule(tickInterval, func() { n.tick(p) })
}

// tickIfChanged ticks a node at once if its entries have changed.
func (n *Network) tickIfChanged(p *process) {
	if p.node.Changed() {
		n.startCalls(p, p.node.Tick())
	}
}

// sendHeartbeat delivers a heartbeat to a node, and its answer back to the agent.
func (n *Network) sendHeartbeat(p *process, heartbeat lentilcontrol.Heartbeat) {
	done := false
	finish := func(response *lentilcontrolpb.AnnounceResponse) {
		if !done && n.processes[p.address] == p {
			done = true
			p.announcer.HandleOutcome(heartbeat, response)
		}
	}
	n.schedule(callTimeout, func() { p.runOrDefer(func() { finish(nil) }) })
	n.send(p.address, heartbeat.To, heartbeat.Request, func(body []byte) {
		request := &lentilcontrolpb.AnnounceRequest{}
		if proto.Unmarshal(body, request) != nil {
			return
		}
		n.deliverToNode(heartbeat.To, func(holder *process) {
			answer, err := holder.node.HandleAnnounce(request)
			if err != nil {
				return
			}
			n.tickIfChanged(holder)
			n.send(heartbeat.To, p.address, answer, func(body []byte) {
				response := &lentilcontrolpb.AnnounceResponse{}
				if proto.Unmarshal(body, response) == nil {
					p.runOrDefer(func() { finish(response) })
				}
			})
		})
	})
}

func (n *Network) startCalls(p *process, calls []lentilcontrol.Call) {
	for _, call := range calls {
		n.startCall(p, call)
	}
}

// startCall delivers the request of a call to a node, and its outcome back to the node that called.
func (n *Network) startCall(p *process, call lentilcontrol.Call) {
	done := false
	finish := func(exchanged *lentilcontrolpb.ExchangeResponse, fetched *lentilcontrolpb.FetchConfigurationResponse) {
		if done || n.processes[p.address] != p {
			return
		}
		done = true
		p.node.HandleOutcome(call, exchanged, fetched)
		n.startCalls(p, p.node.Tick())
	}
	n.schedule(callTimeout, func() { p.runOrDefer(func() { finish(nil, nil) }) })
	if call.Fetch != nil {
		n.sendFetch(p, call, finish)
		return
	}
	n.sendExchange(p, call, finish)
}

func (n *Network) sendExchange(p *process, call lentilcontrol.Call, finish func(*lentilcontrolpb.ExchangeResponse, *lentilcontrolpb.FetchConfigurationResponse)) {
	n.send(p.address, call.To, call.Exchange, func(body []byte) {
		request := &lentilcontrolpb.ExchangeRequest{}
		if proto.Unmarshal(body, request) != nil {
			return
		}
		n.deliverToNode(call.To, func(peer *process) {
			n.send(call.To, p.address, peer.node.HandleExchange(request), func(body []byte) {
				response := &lentilcontrolpb.ExchangeResponse{}
				if proto.Unmarshal(body, response) == nil {
					p.runOrDefer(func() { finish(response, nil) })
				}
			})
			n.tickIfChanged(peer)
		})
	})
}

func (n *Network) sendFetch(p *process, call lentilcontrol.Call, finish func(*lentilcontrolpb.ExchangeResponse, *lentilcontrolpb.FetchConfigurationResponse)) {
	n.send(p.address, call.To, call.Fetch, func(body []byte) {
		request := &lentilcontrolpb.FetchConfigurationRequest{}
		if proto.Unmarshal(body, request) != nil {
			return
		}
		n.deliverToNode(call.To, func(peer *process) {
			answer, err := peer.node.HandleFetchConfiguration(request)
			if err != nil {
				return
			}
			n.send(call.To, p.address, answer, func(body []byte) {
				response := &lentilcontrolpb.FetchConfigurationResponse{}
				if proto.Unmarshal(body, response) == nil {
					p.runOrDefer(func() { finish(nil, response) })
				}
			})
		})
	})
}

// deliverToNode passes the node at an address to handle, if there is one.
func (n *Network) deliverToNode(address netip.AddrPort, handle func(*process)) {
	if p := n.processes[address]; p != nil && p.node != nil {
		p.runOrDefer(func() { handle(p) })
	}
}

// runOrDefer runs an event of a process. If the process is paused, the event is deferred until
// it resumes.
func (p *process) runOrDefer(event func()) {
	if p.paused {
		p.deferred = append(p.deferred, event)
		return
	}
	event()
}

func (n *Network) send(from, to netip.AddrPort, message proto.Message, onArrival func([]byte)) {
	body, err := proto.Marshal(message)
	if err != nil {
		return
	}
	if n.OnSend != nil {
		n.OnSend(from, to, len(body))
	}
	delivery := Delivery{Delays: []time.Duration{DefaultDelay}, Message: body}
	if n.Deliver != nil {
		delivery = n.Deliver(from, to, body)
	}
	for _, delay := range delivery.Delays {
		n.schedule(delay, func() { onArrival(delivery.Message) })
	}
}

func (n *Network) schedule(delay time.Duration, event func()) {
	n.queue.Add(n.Clock.Now().Add(delay), event)
}
