package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a copy of a service beside an agent.
type endpoint struct {
	site     *site
	machine  *machine
	service  string
	id       string
	born     int64
	slots    int
	work     time.Duration
	warmup   time.Duration
	steady   bool
	udp      *net.UDPConn
	tcp      net.Listener
	slotFree chan struct{}
	done     chan struct{}

	// acknowledged counts the heartbeats that were acknowledged.
	acknowledged atomic.Int64

	mu       sync.Mutex
	startAt  time.Time
	sequence int
	state    string
	dead     bool
	flows    map[[2]netip.AddrPort]*endFlow
	// openings has the opening packets that the endpoint took.
	openings []opening
	// resets counts the resets that the endpoint sent itself, by flow.
	resets map[[2]netip.AddrPort]int
	// strays has the times of packets of flows that the endpoint doesn't hold, by flow.
	strays map[[2]netip.AddrPort][]time.Time
}

type opening struct{ sentAt, arrivedAt time.Time }

type endFlow struct {
	clientSeq, seq uint32
	open, ended    bool
	received       uint32
	sent           uint32
	// inbox has the bytes of a request whose end hasn't come yet, and packets the times of the flow's packets.
	inbox   []byte
	packets []time.Time
}

type endpointOptions struct {
	slots        int
	work, warmup time.Duration
	// service replaces that of the machine's agent, and steady keeps the interval of heartbeats also if the first one fails.
	service string
	steady  bool
}

func (s *site) startEndpoint(m *machine, id string, o endpointOptions) *endpoint {
	address := netip.AddrPortFrom(m.addr, portApp)
	e := &endpoint{
		site: s, machine: m, service: cmp.Or(o.service, m.service), id: id, steady: o.steady, born: time.Now().UnixMilli(), slots: o.slots, work: o.work, warmup: o.warmup,
		slotFree: make(chan struct{}, o.slots), done: make(chan struct{}), startAt: time.Now(), state: "ready",
		flows: make(map[[2]netip.AddrPort]*endFlow), resets: make(map[[2]netip.AddrPort]int), strays: make(map[[2]netip.AddrPort][]time.Time),
	}
	e.udp = listenUDP(address)
	var err error
	e.tcp, err = net.Listen("tcp4", address.String())
	check(err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = server.Serve(e.tcp) }()
	go e.serve()
	go e.beat()
	s.mu.Lock()
	s.endpoints = append(s.endpoints, e)
	s.mu.Unlock()
	return e
}

// beat sends the heartbeats.
func (e *endpoint) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		e.mu.Lock()
		e.sequence++
		left := max(0, e.warmup-time.Since(e.startAt)).Milliseconds()
		body, _ := json.Marshal(with(wire.Heartbeat, map[string]any{
			"service": e.service, "address": netip.AddrPortFrom(e.machine.addr, portApp).String(), "zone": e.machine.zone,
			"concurrency": e.slots, "state": e.state, wire.WarmupLeft: left, "sequence": e.sequence, "born": e.born,
		}))
		e.mu.Unlock()
		q, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s%s%s", e.machine.at(portControl), wire.Instances, e.id), bytes.NewReader(body))
		q.Header.Set("Content-Type", "application/json")
		wait := heartbeatInterval
		if response, err := client.Do(q); err == nil {
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				e.acknowledged.Add(1)
			}
		} else if !e.steady && time.Since(e.startAt) < heartbeatInterval {
			// The agent starts at the same time.
			wait = 200 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-e.done:
			return
		}
	}
}

// kill ends the endpoint as a crash does.
func (e *endpoint) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.dead {
		e.dead = true
		close(e.done)
		_, _ = e.udp.Close(), e.tcp.Close()
	}
}

func (e *endpoint) alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.dead
}

// holds reports whether the endpoint has the flow open.
func (e *endpoint) holds(key [2]netip.AddrPort, seq uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[key]
	return !e.dead && f != nil && f.open && !f.ended && f.seq == seq
}

func (e *endpoint) serve() {
	buffer := make([]byte, 2048)
	for {
		n, err := e.udp.Read(buffer)
		if err != nil {
			return
		}
		p, genuine, _ := parsePacket(buffer[:n])
		if !genuine || p.flags&bitBounced != 0 || p.flags&(bitSYN|bitACK) == bitSYN|bitACK {
			e.site.record.line("UNASKED? endpoint %s got a packet that no client wrote so: flags %d", e.id, p.flags)
			continue
		}
		e.receive(p)
	}
}

func (e *endpoint) receive(p packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	key := [2]netip.AddrPort{p.src, p.dst}
	f := e.flows[key]
	reply := packet{src: p.dst, dst: p.src}
	switch {
	case p.flags&bitSYN != 0:
		if f == nil || f.clientSeq != p.seq {
			f = &endFlow{clientSeq: p.seq, seq: rand.Uint32(), received: p.seq + 1}
			f.sent = f.seq + 1
			e.flows[key] = f
			e.openings = append(e.openings, opening{sentAt: e.site.record.sentAt(key, p), arrivedAt: time.Now()})
		}
		reply.flags, reply.seq, reply.ack = bitSYN|bitACK, f.seq, p.seq+1
		e.send(reply)
	case f == nil || !f.open && p.ack != f.seq+1:
		e.strays[key] = append(e.strays[key], time.Now())
		p.flags |= bitBounced
		e.send(p)
	case f.ended && p.flags&bitFIN != 0:
		reply.flags, reply.seq, reply.ack = bitACK, f.sent, p.seq+1
		e.send(reply)
	case f.ended && len(p.data) > 0:
		e.strays[key] = append(e.strays[key], time.Now())
		e.resets[key]++
		reply.flags, reply.seq, reply.ack = bitReset|bitACK, p.ack, p.seq
		e.send(reply)
	case f.ended:
	default:
		f.open = true
		f.packets = append(f.packets, time.Now())
		if p.flags&bitReset != 0 {
			f.ended = true
			return
		}
		if p.flags&bitFIN != 0 {
			f.ended = true
			reply.flags, reply.seq, reply.ack = bitFIN|bitACK, f.sent, p.seq+1
			f.sent++
			e.send(reply)
			return
		}
		if len(p.data) == 0 {
			return
		}
		if known := f.received - p.seq; known < uint32(len(p.data)) {
			f.received = p.seq + uint32(len(p.data))
			f.inbox = append(f.inbox, p.data[known:]...)
			for {
				id, rest, whole := bytes.Cut(f.inbox, []byte{requestEnd})
				if !whole {
					return
				}
				go e.run(p, f, string(id))
				f.inbox = rest
			}
		}
		// A retransmission of a request that runs or was answered.
		reply.flags, reply.seq, reply.ack = bitACK, f.sent, f.received
		e.send(reply)
	}
}

// requestEnd ends a request in the bytes of a flow.
const requestEnd = '\n'

// run works on a request and answers it. p is a packet of its flow.
func (e *endpoint) run(p packet, f *endFlow, id string) {
	e.slotFree <- struct{}{}
	e.site.record.run(id, e.id)
	time.Sleep(e.work)
	<-e.slotFree
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead || f.ended {
		return
	}
	data := []byte("answer to " + id)
	e.send(packet{flags: bitACK, src: p.dst, dst: p.src, seq: f.sent, ack: f.received, data: data})
	f.sent += uint32(len(data))
}

func (e *endpoint) send(p packet) {
	_, _ = e.udp.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(e.machine.addr, portOutbound))
}
