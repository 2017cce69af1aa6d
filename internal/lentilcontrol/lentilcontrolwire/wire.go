// Package lentilcontrolwire is a small fake of the network between control nodes:
// it carries their calls within one process, on a fake clock, with the same
// outcome each time. Tests and measurements drive real nodes over it.
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
	// conditionCheckInterval is how often a condition is looked at.
	conditionCheckInterval = 25 * time.Millisecond
	// DefaultDelay is the time that a message takes one way.
	DefaultDelay = time.Millisecond
	// callTimeout is after how long a call without an answer fails.
	callTimeout = time.Second
)

// Network carries the calls of nodes. Set the fields, then add nodes and run it.
type Network struct {
	// Clock is moved by Run.
	Clock *lentilclock.Fake
	// Random decides the phase of the nodes' ticks.
	Random *rand.Rand
	// Deliver says how long a message takes from one address to another, how many copies
	// of it arrive, and may change its bytes. Nil means DefaultDelay and one copy.
	Deliver func(from, to netip.AddrPort, message []byte) Delivery
	// OnSend is told the size of each message's bytes.
	OnSend func(from, to netip.AddrPort, bytes int)

	processes map[netip.AddrPort]*process
	queue     lentilschedule.Queue
}

// Delivery is what becomes of a message.
type Delivery struct {
	// Delays has an entry for each copy that arrives.
	Delays []time.Duration
	// Message is what arrives.
	Message []byte
}

// process is a node or an agent with its state on the wire.
type process struct {
	address   netip.AddrPort
	node      *lentilcontrol.Node
	announcer *lentilcontrol.Announcer
	paused    bool
	// deferred holds what happens to a paused process once it resumes.
	deferred []func()
}

// AddNode connects a started node at its control address.
func (w *Network) AddNode(node *lentilcontrol.Node) {
	s := w.addProcess(node.Self.Control)
	s.node = node
}

func (w *Network) addProcess(address netip.AddrPort) (s *process) {
	if w.processes == nil {
		w.processes = map[netip.AddrPort]*process{}
	}
	s = &process{address: address}
	w.processes[address] = s
	phase := tickInterval
	if w.Random != nil {
		phase = time.Duration(w.Random.Int64N(int64(tickInterval)))
	}
	w.schedule(phase, func() { w.tick(s) })
	return s
}

// AddAgent connects an agent's announcer at an address.
func (w *Network) AddAgent(address netip.AddrPort, announcer *lentilcontrol.Announcer) {
	s := w.addProcess(address)
	s.announcer = announcer
}

// Remove ends the node or agent at an address without a word.
func (w *Network) Remove(address netip.AddrPort) { delete(w.processes, address) }

// Pause holds the node at an address: it neither ticks nor answers.
func (w *Network) Pause(address netip.AddrPort) { w.processes[address].paused = true }

// Resume lets a paused node go on.
func (w *Network) Resume(address netip.AddrPort) {
	s := w.processes[address]
	s.paused = false
	for _, do := range s.deferred {
		do()
	}
	s.deferred = nil
	w.tick(s)
}

// Advance lets time pass.
func (w *Network) Advance(d time.Duration) { w.queue.Run(w.Clock, w.Clock.Now().Add(d)) }

// AdvanceUntil lets time pass until a condition holds, at most for limit. It returns the
// time that has passed, to the step, and whether the condition holds.
func (w *Network) AdvanceUntil(limit time.Duration, met func() bool) (passed time.Duration, ok bool) {
	for passed < limit {
		if met() {
			return passed, true
		}
		w.Advance(conditionCheckInterval)
		passed += conditionCheckInterval
	}
	return passed, met()
}

func (w *Network) tick(s *process) {
	if w.processes[s.address] != s || s.paused {
		return
	}
	if s.announcer != nil {
		for _, beat := range s.announcer.Tick() {
			w.sendHeartbeat(s, beat)
		}
	} else {
		w.startCalls(s, s.node.Tick())
	}
	w.schedule(tickInterval, func() { w.tick(s) })
}

// tickIfChanged carries out at once what a change has made due.
func (w *Network) tickIfChanged(s *process) {
	if s.node.Changed() {
		w.startCalls(s, s.node.Tick())
	}
}

// sendHeartbeat carries a heartbeat over, and its answer back.
func (w *Network) sendHeartbeat(s *process, beat lentilcontrol.Heartbeat) {
	done := false
	finish := func(response *lentilcontrolpb.AnnounceResponse) {
		if !done && w.processes[s.address] == s {
			done = true
			s.announcer.HandleOutcome(beat, response)
		}
	}
	w.schedule(callTimeout, func() { s.runOrDefer(func() { finish(nil) }) })
	w.send(s.address, beat.To, beat.Request, func(body []byte) {
		request := &lentilcontrolpb.AnnounceRequest{}
		if proto.Unmarshal(body, request) != nil {
			return
		}
		w.deliverToNode(beat.To, func(holder *process) {
			answer, err := holder.node.HandleAnnounce(request)
			if err != nil {
				return
			}
			w.tickIfChanged(holder)
			w.send(beat.To, s.address, answer, func(body []byte) {
				response := &lentilcontrolpb.AnnounceResponse{}
				if proto.Unmarshal(body, response) == nil {
					s.runOrDefer(func() { finish(response) })
				}
			})
		})
	})
}

func (w *Network) startCalls(s *process, calls []lentilcontrol.Call) {
	for _, call := range calls {
		w.startCall(s, call)
	}
}

// startCall carries a call's request over, and its outcome back.
func (w *Network) startCall(s *process, call lentilcontrol.Call) {
	done := false
	finish := func(exchanged *lentilcontrolpb.ExchangeResponse, fetched *lentilcontrolpb.FetchConfigurationResponse) {
		if done || w.processes[s.address] != s {
			return
		}
		done = true
		s.node.HandleOutcome(call, exchanged, fetched)
		w.startCalls(s, s.node.Tick())
	}
	w.schedule(callTimeout, func() { s.runOrDefer(func() { finish(nil, nil) }) })
	if call.Fetch != nil {
		w.sendFetch(s, call, finish)
		return
	}
	w.sendExchange(s, call, finish)
}

func (w *Network) sendExchange(s *process, call lentilcontrol.Call, finish func(*lentilcontrolpb.ExchangeResponse, *lentilcontrolpb.FetchConfigurationResponse)) {
	w.send(s.address, call.To, call.Exchange, func(body []byte) {
		request := &lentilcontrolpb.ExchangeRequest{}
		if proto.Unmarshal(body, request) != nil {
			return
		}
		w.deliverToNode(call.To, func(peer *process) {
			w.send(call.To, s.address, peer.node.HandleExchange(request), func(body []byte) {
				response := &lentilcontrolpb.ExchangeResponse{}
				if proto.Unmarshal(body, response) == nil {
					s.runOrDefer(func() { finish(response, nil) })
				}
			})
			w.tickIfChanged(peer)
		})
	})
}

func (w *Network) sendFetch(s *process, call lentilcontrol.Call, finish func(*lentilcontrolpb.ExchangeResponse, *lentilcontrolpb.FetchConfigurationResponse)) {
	w.send(s.address, call.To, call.Fetch, func(body []byte) {
		request := &lentilcontrolpb.FetchConfigurationRequest{}
		if proto.Unmarshal(body, request) != nil {
			return
		}
		w.deliverToNode(call.To, func(peer *process) {
			answer, err := peer.node.HandleFetchConfiguration(request)
			if err != nil {
				return
			}
			w.send(call.To, s.address, answer, func(body []byte) {
				response := &lentilcontrolpb.FetchConfigurationResponse{}
				if proto.Unmarshal(body, response) == nil {
					s.runOrDefer(func() { finish(nil, response) })
				}
			})
		})
	})
}

// deliverToNode lets a message come to the node at an address, if there is one.
func (w *Network) deliverToNode(address netip.AddrPort, take func(*process)) {
	if s := w.processes[address]; s != nil && s.node != nil {
		s.runOrDefer(func() { take(s) })
	}
}

// runOrDefer does something in a process, or keeps it until a paused one resumes.
func (s *process) runOrDefer(what func()) {
	if s.paused {
		s.deferred = append(s.deferred, what)
		return
	}
	what()
}

func (w *Network) send(from, to netip.AddrPort, message proto.Message, arrive func([]byte)) {
	body, err := proto.Marshal(message)
	if err != nil {
		return
	}
	if w.OnSend != nil {
		w.OnSend(from, to, len(body))
	}
	passage := Delivery{Delays: []time.Duration{DefaultDelay}, Message: body}
	if w.Deliver != nil {
		passage = w.Deliver(from, to, body)
	}
	for _, delay := range passage.Delays {
		w.schedule(delay, func() { arrive(passage.Message) })
	}
}

func (w *Network) schedule(d time.Duration, do func()) { w.queue.Add(w.Clock.Now().Add(d), do) }
