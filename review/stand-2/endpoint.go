package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// endpointFlow is a flow that an endpoint holds.
type endpointFlow struct {
	clientSeq, seq uint32
	open           bool
	openedAt       time.Time
	// next is the next byte of the client, and answered and answer are the last request and its response.
	next     uint32
	sent     uint32
	answered uint32
	answer   []byte
}

// endpoint stands in for a copy of a service beside an agent.
type endpoint struct {
	site    *site
	m       *machine
	service string
	id      string
	born    int64
	udp     *net.UDPConn
	tcp     net.Listener
	stop    chan struct{}

	mu       sync.Mutex
	sequence int
	draining bool
	dead     bool
	// beatsPaused is set while the regular heartbeats are left out.
	beatsPaused bool
	warmup      time.Time
	flows       map[[2]netip.AddrPort]*endpointFlow
	// ackedAt is when the first heartbeat that says draining was acknowledged, and toldAt when it was sent.
	ackedAt, toldAt time.Time
	lastAckAt       time.Time
	syns            int
}

// startEndpoint starts an endpoint on a side machine.
func (s *site) startEndpoint(m *machine) (e *endpoint, err error) {
	e = &endpoint{
		site: s, m: m, service: m.service, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(),
		stop: make(chan struct{}), flows: make(map[[2]netip.AddrPort]*endpointFlow),
	}
	app := netip.AddrPortFrom(m.ip, s.ports.app)
	for range 40 {
		if e.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app)); err == nil {
			if e.tcp, err = net.Listen("tcp4", app.String()); err == nil {
				break
			}
			_ = e.udp.Close()
		}
		time.Sleep(25 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", e.id)
		w.Header().Set("X-Server-Load", "0,0,8")
	})
	go func() { _ = (&http.Server{Handler: mux}).Serve(e.tcp) }()
	go e.serve()
	go e.beat()
	m.endpoint = e
	s.log("endpoint %s of %s starts on %s", e.id, e.service, m.name)
	return e, nil
}

// crash ends the endpoint without a word.
func (e *endpoint) crash() {
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return
	}
	e.dead = true
	close(e.stop)
	e.mu.Unlock()
	_, _ = e.udp.Close(), e.tcp.Close()
	e.site.log("endpoint %s on %s crashes", e.id, e.m.name)
}

// pauseBeats leaves out the regular heartbeats from now on.
func (e *endpoint) pauseBeats() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beatsPaused = true
}

func (e *endpoint) beat() {
	for {
		e.mu.Lock()
		paused := e.beatsPaused
		e.mu.Unlock()
		if !paused {
			e.beatOnce()
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-e.stop:
			return
		}
	}
}

func (e *endpoint) beatOnce() {
	e.mu.Lock()
	e.sequence++
	state, draining := "ready", e.draining
	if draining {
		state = "draining"
	}
	body := heartbeat(e, netip.AddrPortFrom(e.m.ip, e.site.ports.app).String(), state, e.sequence)
	if draining && e.toldAt.IsZero() {
		e.toldAt = time.Now()
	}
	e.mu.Unlock()
	if e.call(http.MethodPut, body) {
		e.mu.Lock()
		e.lastAckAt = time.Now()
		if draining && e.ackedAt.IsZero() {
			e.ackedAt = time.Now()
		}
		e.mu.Unlock()
	}
}

func (e *endpoint) call(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	target := "http://" + netip.AddrPortFrom(e.m.ip, e.site.ports.control).String() + wire.Instances + e.id
	q, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return false
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := e.site.http.Do(q)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode/100 == 2
}

// drain begins a planned end.
func (e *endpoint) drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.beatOnce()
}

func (e *endpoint) serve() {
	buffer := make([]byte, 4096)
	for {
		n, err := e.udp.Read(buffer)
		if err != nil {
			select {
			case <-e.stop:
				return
			default:
				continue
			}
		}
		p, ok := parsePacket(buffer[:n])
		if !ok || !p.genuine || p.flags&flagBounced != 0 {
			e.site.violate("UNASKED", "endpoint %s on %s got a packet that its sender did not write so", e.id, e.m.name)
			continue
		}
		e.handle(p)
	}
}

// handle processes a client's packet as PROTOCOL.md says.
func (e *endpoint) handle(p packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	key := [2]netip.AddrPort{p.src, p.dst}
	f := e.flows[key]
	if e.site.onPacket != nil {
		e.site.onPacket(e, p, f != nil && (f.open || p.ack == f.seq+1))
	}
	if p.flags&flagSyn != 0 {
		if f == nil || f.clientSeq != p.seq {
			f = &endpointFlow{clientSeq: p.seq, seq: rand.Uint32(), next: p.seq + 1}
			f.sent = f.seq + 1
			e.flows[key] = f
			e.syns++
			e.site.opened(e, p)
		}
		e.send(packet{flags: flagSyn | flagAck, src: p.dst, dst: p.src, seq: f.seq, ack: p.seq + 1})
		return
	}
	if f == nil || !f.open && p.ack != f.seq+1 {
		raw := append([]byte(nil), p.raw...)
		raw[0] |= flagBounced
		raw[7-4], raw[8-4], raw[9-4], raw[10-4] = raw[3], raw[4], raw[5], raw[6]
		_, _ = e.udp.WriteToUDPAddrPort(raw, netip.AddrPortFrom(e.m.ip, e.site.ports.outbound))
		return
	}
	if !f.open {
		f.open, f.openedAt = true, time.Now()
	}
	switch {
	case p.flags&flagReset != 0:
		delete(e.flows, key)
	case p.flags&flagFin != 0:
		delete(e.flows, key)
		e.send(packet{flags: flagFin | flagAck, src: p.dst, dst: p.src, seq: f.sent, ack: p.seq + 1})
	case len(p.data) == 0:
	case p.seq == f.next:
		// A request fits into one packet.
		f.next += uint32(len(p.data))
		id := requestID(string(p.data))
		e.site.ran(id, e)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Seal: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n", seal(id), id, bodySize)
		f.answered, f.answer = p.seq, append([]byte(head), bytes.Repeat([]byte("x"), bodySize)...)
		start := f.sent
		f.sent += uint32(len(f.answer))
		answer, next := f.answer, f.next
		time.AfterFunc(workTime, func() { e.sendAnswer(p, start, next, answer) })
	case p.seq == f.answered:
		// The client repeats its last request: the response was lost.
		e.sendAnswer(p, f.sent-uint32(len(f.answer)), f.next, f.answer)
	}
}

func (e *endpoint) sendAnswer(p packet, start, next uint32, answer []byte) {
	for off := 0; off < len(answer); off += maxDataSize {
		end := min(len(answer), off+maxDataSize)
		e.send(packet{flags: flagAck, src: p.dst, dst: p.src, seq: start + uint32(off), ack: next, data: answer[off:end]})
	}
}

func (e *endpoint) send(p packet) {
	_, _ = e.udp.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(e.m.ip, e.site.ports.outbound))
}

// holds reports whether the endpoint lives and holds an open flow.
func (e *endpoint) holds(src, dst netip.AddrPort, seq uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[[2]netip.AddrPort{src, dst}]
	return !e.dead && f != nil && f.open && f.seq == seq
}

func requestID(request string) string {
	_, rest, _ := strings.Cut(request, "X-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func seal(id string) string { return "seal-" + id }

const (
	heartbeatInterval = 1200 * time.Millisecond
	workTime          = 15 * time.Millisecond
	bodySize          = 1000
)
