package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// client is a machine of clients. Its packets go to the balancer that the routers choose.
type client struct {
	site *site
	zone string
	ip   netip.Addr
	conn *net.UDPConn
	mu   sync.Mutex
	port uint16
	in   map[uint16]chan packet
}

func (s *site) newClient(zone string, n byte) *client {
	c := &client{site: s, zone: zone, ip: netip.AddrFrom4([4]byte{127, s.net, 200, n}), port: 40000, in: map[uint16]chan packet{}}
	var err error
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, s.ports.datagram)))
	check(err)
	go func() {
		b := make([]byte, 2048)
		for {
			n, err := c.conn.Read(b)
			if err != nil {
				return
			}
			p, genuine, own := decode(b[:n])
			if !genuine && !own {
				s.violation("MIXED: a client got a packet that its sender didn't write so")
				continue
			}
			if own {
				p.flags |= 64 // marks a reset of the system's own
			}
			c.mu.Lock()
			ch := c.in[p.dst.Port()]
			c.mu.Unlock()
			if ch != nil {
				select {
				case ch <- p:
				default:
				}
			}
		}
	}()
	return c
}

// flow is a flow of a client.
type flow struct {
	c        *client
	src, dst netip.AddrPort
	in       chan packet
	seq, ack uint32
	open     bool
	reset    bool
	count    int
	// first is the sequence number of the SYN, which tells flows from the same port apart.
	first uint32
	// via is the balancer that got the last packet.
	via string
}

func (f *flow) send(flags byte, seq, ack uint32, data []byte) {
	b := f.c.site.route(f.c.zone, f.src)
	if b == nil {
		return
	}
	f.via = b.name
	p := packet{flags: flags, src: f.src, dst: f.dst, seq: seq, ack: ack, data: data}
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(b.ip, f.c.site.ports.datagram))
}

// newFlow returns a flow from a new port, or from a given one that isn't 0.
func (c *client) newFlow(service netip.AddrPort, port uint16) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	if port == 0 {
		c.port++
		port = c.port
	}
	f := &flow{c: c, src: netip.AddrPortFrom(c.ip, port), dst: service, in: make(chan packet, 64), seq: rand.Uint32()}
	f.first = f.seq
	c.in[port] = f.in
	return f
}

// connect opens the flow: a SYN, and copies after 200 ms and 600 ms; the attempt ends after 1.4 s.
func (f *flow) connect() bool {
	for i, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(flagOpen, f.seq, uint32(i), nil)
		end := time.After(wait)
	read:
		for {
			select {
			case p := <-f.in:
				if p.flags&flagReset != 0 {
					return false
				}
				if p.flags&(flagOpen|flagAck) == flagOpen|flagAck && p.ack == f.seq+1 {
					f.seq++
					f.ack = p.seq + 1
					f.open = true
					return true
				}
			case <-end:
				break read
			}
		}
	}
	return false
}

// request sends a request and waits for its answer. It reports whether it was answered.
func (f *flow) request(method string, size int, deadline time.Duration) bool {
	f.count++
	id := fmt.Sprintf("%v-%08x-%d", f.src, f.first, f.count)
	data := fmt.Appendf(nil, "%s /x HTTP/1.1\r\nX-Request-Id: %s\r\nX-Pad: ", method, id)
	if pad := size - len(data); pad > 0 {
		data = append(data, strings.Repeat("x", pad)...)
	}
	data = append(data, "\r\n\r\n"...)
	f.c.site.sent(id)
	begin := time.Now()
	for wait := 200 * time.Millisecond; time.Since(begin) < deadline; wait = min(2*wait, 1600*time.Millisecond) {
		f.send(flagAck, f.seq, f.ack, data)
		end := time.After(min(wait, deadline-time.Since(begin)))
	read:
		for {
			select {
			case p := <-f.in:
				if f.checkReset(p) {
					return false
				}
				if len(p.data) > 0 && p.seq == f.ack {
					if !bytes.Contains(p.data, []byte("X-Request-Id: "+id+"\r\n")) {
						f.c.site.violation("MIXED: request %s got another answer", id)
						return false
					}
					f.seq += uint32(len(data))
					f.ack += uint32(len(p.data))
					f.c.site.answered(id)
					return true
				}
			case <-end:
				break read
			}
		}
	}
	return false
}

// checkReset handles a reset, and checks FLOW (a).
func (f *flow) checkReset(p packet) bool {
	if p.flags&flagReset == 0 {
		return false
	}
	f.reset = true
	s := f.c.site
	for _, e := range s.endpoints() {
		if open, own := e.holds(f.src); open && !own && f.open {
			from := "another endpoint"
			if p.flags&64 != 0 {
				from = "the system"
			}
			s.violation("FLOW: client of flow %v, sent through %s, got a reset from %s that its endpoint %s (%s) didn't send; the endpoint lives and has the flow open", f.src, f.via, from, e.id, e.m.name)
			return true
		}
	}
	s.note("flow %v was reset", f.src)
	return true
}

// close ends the flow from both sides.
func (f *flow) close() bool {
	for range 4 {
		f.send(flagAck|flagClose, f.seq, f.ack, nil)
		end := time.After(200 * time.Millisecond)
	read:
		for {
			select {
			case p := <-f.in:
				if p.flags&flagClose != 0 {
					f.seq++
					f.ack = p.seq + 1
					f.send(flagAck, f.seq, f.ack, nil)
					f.open = false
					return true
				}
			case <-end:
				break read
			}
		}
	}
	return false
}
