package main

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

// client is one client address. Its flows come from ports of this address.
type client struct {
	site *site
	zone string
	addr netip.Addr
	conn *net.UDPConn
	in   map[uint16]chan packet
	// through is the balancer to which all of its packets go; nil lets the routers choose.
	through *machine
}

// newClient opens the client's socket. ports are the ports that its flows use.
func (s *site) newClient(zone string, number byte, ports ...uint16) *client {
	c := &client{site: s, zone: zone, addr: s.address(kindClient, number), in: make(map[uint16]chan packet)}
	c.conn = listenUDP(netip.AddrPortFrom(c.addr, portDatagram))
	for _, p := range ports {
		c.in[p] = make(chan packet, 64)
	}
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, err := c.conn.Read(buffer)
			if err != nil {
				return
			}
			p, genuine, ownReset := parsePacket(buffer[:n])
			if !genuine && !ownReset {
				s.record.line("MIXED? client %s got a packet that its sender didn't write so", c.addr)
				continue
			}
			if in := c.in[p.dst.Port()]; in != nil {
				select {
				case in <- p:
				default:
				}
			}
		}
	}()
	return c
}

// flow is a client's flow.
type flow struct {
	c        *client
	src, dst netip.AddrPort
	in       chan packet
	seq, ack uint32
	// endSeq is the first sequence number of the endpoint.
	endSeq uint32
	// reset is set once the flow was reset; own if the reset is one of the system's own.
	reset, own bool
}

func (f *flow) key() [2]netip.AddrPort { return [2]netip.AddrPort{f.src, f.dst} }

func (f *flow) send(p packet) {
	p.src, p.dst = f.src, f.dst
	if p.flags&bitSYN != 0 {
		f.c.site.record.noteSent(f.key(), p)
	}
	m := f.c.through
	if m == nil {
		m = f.c.site.route(f.c.zone, f.src, f.dst)
	}
	if m != nil {
		_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(m.addr, portDatagram))
	}
}

// next returns the next packet of the flow's ends.
func (f *flow) next(deadline time.Time) (p packet, ok bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		select {
		case p = <-f.in:
			if p.src == f.dst {
				return p, true
			}
		case <-timer.C:
			return p, false
		}
	}
}

// open opens a flow from a port: a SYN, and copies after 200 and 600 ms. It gives up after 1.4 s or a reset.
func (c *client) open(port uint16, dst netip.AddrPort) (f *flow, opened bool) {
	f = &flow{c: c, src: netip.AddrPortFrom(c.addr, port), dst: dst, in: c.in[port], seq: rand.Uint32()}
	for len(f.in) > 0 {
		<-f.in
	}
	begun := time.Now()
	for copyNumber, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(packet{flags: bitSYN, seq: f.seq, ack: uint32(copyNumber)})
		for {
			p, ok := f.next(begun.Add(until))
			if !ok {
				break
			}
			if p.flags&bitReset != 0 {
				return f, false
			}
			if p.flags&(bitSYN|bitACK) == bitSYN|bitACK && p.ack == f.seq+1 {
				f.seq++
				f.endSeq, f.ack = p.seq, p.seq+1
				f.send(packet{flags: bitACK, seq: f.seq, ack: f.ack})
				return f, true
			}
		}
	}
	return f, false
}

// request sends a request on the open flow and waits for the answer. It retransmits after 200 ms, and then after twice as long each time.
func (f *flow) request(id string, deadline time.Duration) (answered bool) {
	data := []byte(id + string(rune(requestEnd)))
	want := []byte("answer to " + id)
	limit := time.Now().Add(deadline)
	f.c.site.record.sentRequest(id)
	for wait := 200 * time.Millisecond; ; wait = min(2*wait, 1600*time.Millisecond) {
		f.send(packet{flags: bitACK, seq: f.seq, ack: f.ack, data: data})
		until := time.Now().Add(wait)
		if until.After(limit) {
			until = limit
		}
		for {
			p, ok := f.next(until)
			if !ok {
				break
			}
			if p.flags&bitReset != 0 {
				if within(p.seq, f.ack, resetWindow) {
					f.reset, f.own = true, p.sum == 0
					return false
				}
				continue
			}
			if bytes.Equal(p.data, want) && p.seq == f.ack {
				f.c.site.record.answeredRequest(id)
				f.seq += uint32(len(data))
				f.ack += uint32(len(p.data))
				f.send(packet{flags: bitACK, seq: f.seq, ack: f.ack})
				return true
			}
		}
		if !time.Now().Before(limit) {
			return false
		}
	}
}

// pipeline sends two requests on the open flow, in a packet each, and retransmits both in one packet. It returns after the first answer, or
// false after the deadline or a reset.
func (f *flow) pipeline(first, second string, deadline time.Duration) (answered bool) {
	one, two := []byte(first+string(rune(requestEnd))), []byte(second+string(rune(requestEnd)))
	f.c.site.record.sentRequest(first)
	f.c.site.record.sentRequest(second)
	limit := time.Now().Add(deadline)
	f.send(packet{flags: bitACK, seq: f.seq, ack: f.ack, data: one})
	time.Sleep(2 * time.Millisecond)
	f.send(packet{flags: bitACK, seq: f.seq + uint32(len(one)), ack: f.ack, data: two})
	both := append(one, two...)
	for wait := 200 * time.Millisecond; time.Now().Before(limit); wait = min(2*wait, 1600*time.Millisecond) {
		until := time.Now().Add(wait)
		for {
			p, ok := f.next(until)
			if !ok {
				break
			}
			if p.flags&bitReset != 0 && within(p.seq, f.ack, resetWindow) {
				f.reset, f.own = true, p.sum == 0
				return false
			}
			if bytes.HasPrefix(p.data, []byte("answer to ")) && p.seq == f.ack {
				f.c.site.record.answeredRequest(string(p.data[len("answer to "):]))
				return true
			}
		}
		f.send(packet{flags: bitACK, seq: f.seq, ack: f.ack, data: both})
	}
	return false
}

// close sends a FIN and waits for that of the endpoint.
func (f *flow) close() (closed bool) {
	for range 3 {
		f.send(packet{flags: bitFIN | bitACK, seq: f.seq, ack: f.ack})
		for {
			p, ok := f.next(time.Now().Add(200 * time.Millisecond))
			if !ok {
				break
			}
			if p.flags&bitFIN != 0 {
				f.send(packet{flags: bitACK, seq: f.seq + 1, ack: p.seq + 1})
				return true
			}
		}
	}
	return false
}
