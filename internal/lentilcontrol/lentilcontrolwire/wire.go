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
	// tickPeriod is the time between ticks of a node.
	tickPeriod = 200 * time.Millisecond
	// stepPeriod is how often a condition is looked at.
	stepPeriod = 25 * time.Millisecond
	// DefaultDelay is the time that a message takes one way.
	DefaultDelay = time.Millisecond
	// callTimeout is after how long a call without an answer fails.
	callTimeout = time.Second
)

// Wire carries the calls of nodes. Set the fields, then add nodes and run it.
type Wire struct {
	// Clock is moved by Run.
	Clock *lentilclock.Fake
	// Random decides the phase of the nodes' ticks.
	Random *rand.Rand
	// Carry says how long a message takes from one address to another, how many copies
	// of it arrive, and may change its bytes. Nil means DefaultDelay and one copy.
	Carry func(from, to netip.AddrPort, message []byte) Passage
	// Sent is told the size of each message's bytes.
	Sent func(from, to netip.AddrPort, bytes int)

	stations map[netip.AddrPort]*station
	queue    lentilschedule.Queue
}

// Passage is what becomes of a message.
type Passage struct {
	// Delays has an entry for each copy that arrives.
	Delays []time.Duration
	// Message is what arrives.
	Message []byte
}

// station is a node or an agent with its state on the wire.
type station struct {
	address   netip.AddrPort
	node      *lentilcontrol.Node
	announcer *lentilcontrol.Announcer
	paused    bool
	// kept holds what happens to a paused process once it resumes.
	kept []func()
}

// Add connects a started node at its control address.
func (w *Wire) Add(node *lentilcontrol.Node) {
	s := w.add(node.Self.Control)
	s.node = node
}

func (w *Wire) add(address netip.AddrPort) (s *station) {
	if w.stations == nil {
		w.stations = map[netip.AddrPort]*station{}
	}
	s = &station{address: address}
	w.stations[address] = s
	phase := tickPeriod
	if w.Random != nil {
		phase = time.Duration(w.Random.Int64N(int64(tickPeriod)))
	}
	w.after(phase, func() { w.tick(s) })
	return s
}

// AddAgent connects an agent's announcer at an address.
func (w *Wire) AddAgent(address netip.AddrPort, announcer *lentilcontrol.Announcer) {
	s := w.add(address)
	s.announcer = announcer
}

// Remove ends the node or agent at an address without a word.
func (w *Wire) Remove(address netip.AddrPort) { delete(w.stations, address) }

// Pause holds the node at an address: it neither ticks nor answers.
func (w *Wire) Pause(address netip.AddrPort) { w.stations[address].paused = true }

// Resume lets a paused node go on.
func (w *Wire) Resume(address netip.AddrPort) {
	s := w.stations[address]
	s.paused = false
	for _, do := range s.kept {
		do()
	}
	s.kept = nil
	w.tick(s)
}

// Run lets time pass.
func (w *Wire) Run(d time.Duration) { w.queue.Run(w.Clock, w.Clock.Now().Add(d)) }

// Until lets time pass until a condition holds, at most for limit. It returns the
// time that has passed, to the step, and whether the condition holds.
func (w *Wire) Until(limit time.Duration, met func() bool) (passed time.Duration, ok bool) {
	for passed < limit {
		if met() {
			return passed, true
		}
		w.Run(stepPeriod)
		passed += stepPeriod
	}
	return passed, met()
}

func (w *Wire) tick(s *station) {
	if w.stations[s.address] != s || s.paused {
		return
	}
	if s.announcer != nil {
		for _, beat := range s.announcer.Tick() {
			w.announce(s, beat)
		}
	} else {
		w.carryOut(s, s.node.Tick())
	}
	w.after(tickPeriod, func() { w.tick(s) })
}

// tickIfChanged carries out at once what a change has made due.
func (w *Wire) tickIfChanged(s *station) {
	if s.node.Changed() {
		w.carryOut(s, s.node.Tick())
	}
}

// announce carries a heartbeat over, and its answer back.
func (w *Wire) announce(s *station, beat lentilcontrol.Beat) {
	done := false
	finish := func(response *lentilcontrolpb.AnnounceResponse) {
		if !done && w.stations[s.address] == s {
			done = true
			s.announcer.Outcome(beat, response)
		}
	}
	w.after(callTimeout, func() { s.do(func() { finish(nil) }) })
	w.send(s.address, beat.To, beat.Request, func(body []byte) {
		request := &lentilcontrolpb.AnnounceRequest{}
		if proto.Unmarshal(body, request) != nil {
			return
		}
		w.reach(beat.To, func(holder *station) {
			answer, err := holder.node.Announce(request)
			if err != nil {
				return
			}
			w.tickIfChanged(holder)
			w.send(beat.To, s.address, answer, func(body []byte) {
				response := &lentilcontrolpb.AnnounceResponse{}
				if proto.Unmarshal(body, response) == nil {
					s.do(func() { finish(response) })
				}
			})
		})
	})
}

func (w *Wire) carryOut(s *station, calls []lentilcontrol.Call) {
	for _, call := range calls {
		w.begin(s, call)
	}
}

// begin carries a call's request over, and its outcome back.
func (w *Wire) begin(s *station, call lentilcontrol.Call) {
	done := false
	finish := func(exchanged *lentilcontrolpb.ExchangeResponse, fetched *lentilcontrolpb.FetchConfigurationResponse) {
		if done || w.stations[s.address] != s {
			return
		}
		done = true
		s.node.Outcome(call, exchanged, fetched)
		w.carryOut(s, s.node.Tick())
	}
	w.after(callTimeout, func() { s.do(func() { finish(nil, nil) }) })
	if call.Fetch != nil {
		w.fetch(s, call, finish)
		return
	}
	w.exchange(s, call, finish)
}

func (w *Wire) exchange(s *station, call lentilcontrol.Call, finish func(*lentilcontrolpb.ExchangeResponse, *lentilcontrolpb.FetchConfigurationResponse)) {
	w.send(s.address, call.To, call.Exchange, func(body []byte) {
		request := &lentilcontrolpb.ExchangeRequest{}
		if proto.Unmarshal(body, request) != nil {
			return
		}
		w.reach(call.To, func(peer *station) {
			w.send(call.To, s.address, peer.node.Exchange(request), func(body []byte) {
				response := &lentilcontrolpb.ExchangeResponse{}
				if proto.Unmarshal(body, response) == nil {
					s.do(func() { finish(response, nil) })
				}
			})
			w.tickIfChanged(peer)
		})
	})
}

func (w *Wire) fetch(s *station, call lentilcontrol.Call, finish func(*lentilcontrolpb.ExchangeResponse, *lentilcontrolpb.FetchConfigurationResponse)) {
	w.send(s.address, call.To, call.Fetch, func(body []byte) {
		request := &lentilcontrolpb.FetchConfigurationRequest{}
		if proto.Unmarshal(body, request) != nil {
			return
		}
		w.reach(call.To, func(peer *station) {
			answer, err := peer.node.FetchConfiguration(request)
			if err != nil {
				return
			}
			w.send(call.To, s.address, answer, func(body []byte) {
				response := &lentilcontrolpb.FetchConfigurationResponse{}
				if proto.Unmarshal(body, response) == nil {
					s.do(func() { finish(nil, response) })
				}
			})
		})
	})
}

// reach lets a message come to the node at an address, if there is one.
func (w *Wire) reach(address netip.AddrPort, take func(*station)) {
	if s := w.stations[address]; s != nil && s.node != nil {
		s.do(func() { take(s) })
	}
}

// do does something in a process, or keeps it until a paused one resumes.
func (s *station) do(what func()) {
	if s.paused {
		s.kept = append(s.kept, what)
		return
	}
	what()
}

func (w *Wire) send(from, to netip.AddrPort, message proto.Message, arrive func([]byte)) {
	body, err := proto.Marshal(message)
	if err != nil {
		return
	}
	if w.Sent != nil {
		w.Sent(from, to, len(body))
	}
	passage := Passage{Delays: []time.Duration{DefaultDelay}, Message: body}
	if w.Carry != nil {
		passage = w.Carry(from, to, body)
	}
	for _, delay := range passage.Delays {
		w.after(delay, func() { arrive(passage.Message) })
	}
}

func (w *Wire) after(d time.Duration, do func()) { w.queue.Add(w.Clock.Now().Add(d), do) }
