package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// client is a user that keeps a flow open for many requests, with pauses between them.
type client struct {
	site  *site
	zone  string
	ip    netip.Addr
	conn  *net.UDPConn
	port  uint16
	dst   netip.AddrPort
	pause time.Duration
	// single opens a flow for each request.
	single bool
	stop   chan struct{}

	src              netip.AddrPort
	seq, peer, acked uint32
	openedAt         time.Time
	through          *machine
	requests         int
}

// clientCounts counts what clients got.
type clientCounts struct{ opened, refused, timedOut, requests, answered, resets, expired atomic.Int64 }

func (s *site) startClient(zone string, ip netip.Addr, dst netip.AddrPort, pause time.Duration, single bool) (c *client, err error) {
	c = &client{site: s, zone: zone, ip: ip, dst: dst, pause: pause, single: single, stop: make(chan struct{}), port: 1024}
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, s.ports.datagram))); err != nil {
		return nil, err
	}
	go c.run()
	return c, nil
}

func (c *client) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

func (c *client) run() {
	for !c.stopped() {
		if !c.open() {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for i := 0; !c.stopped() && time.Since(c.openedAt) < 50*time.Second; i++ {
			if !c.request() || c.single {
				break
			}
			time.Sleep(c.pause/2 + time.Duration(rand.Float64()*float64(c.pause)))
		}
		c.send(packet{flags: flagFin | flagAck, seq: c.seq, ack: c.acked})
		if c.single {
			time.Sleep(c.pause/2 + time.Duration(rand.Float64()*float64(c.pause)))
		}
	}
	_ = c.conn.Close()
}

func (c *client) send(p packet) {
	p.src, p.dst = c.src, c.dst
	if m := c.site.route(c.zone, c.src, c.dst); m != nil {
		c.through = m
		_, _ = c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(m.ip, c.site.ports.datagram))
	}
}

func (c *client) receive(deadline time.Time) (p packet, ok bool) {
	buffer := make([]byte, 4096)
	for {
		_ = c.conn.SetReadDeadline(deadline)
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return p, false
		}
		p, ok = parsePacket(buffer[:n])
		if !ok || !p.genuine && !p.isSystemReset() {
			c.site.violate("MIXED", "client %s got a packet that its sender did not write so, from %s", c.ip, from)
			continue
		}
		if p.dst == c.src && p.src == c.dst {
			if p.isSystemReset() {
				c.site.log("client %s gets a reset of flow %s>%s with seq %d (last ack %d) from %s", c.ip, c.src, c.dst, p.seq, c.acked, c.site.nameOf(from.Addr()))
			}
			return p, true
		}
	}
}

func (c *client) open() bool {
	c.port++
	c.src = netip.AddrPortFrom(c.ip, c.port)
	c.seq = rand.Uint32()
	begun := time.Now()
	for i, until := range []time.Duration{200, 600, 1400} {
		c.send(packet{flags: flagSyn, seq: c.seq, ack: uint32(i)})
		for {
			p, ok := c.receive(begun.Add(until * time.Millisecond))
			if !ok {
				break
			}
			if p.flags&flagReset != 0 {
				c.site.counts.refused.Add(1)
				return false
			}
			if p.flags&flagSyn != 0 && p.ack == c.seq+1 {
				c.seq, c.peer, c.acked, c.openedAt = c.seq+1, p.seq, p.seq+1, time.Now()
				c.send(packet{flags: flagAck, seq: c.seq, ack: c.acked})
				c.site.counts.opened.Add(1)
				return true
			}
		}
	}
	c.site.counts.timedOut.Add(1)
	return false
}

// request sends one request and waits for its response. It reports whether the flow goes on.
func (c *client) request() bool {
	c.requests++
	id := fmt.Sprintf("%s-%d-%d", c.ip, c.port, c.requests)
	data := []byte("GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n\r\n")
	c.site.counts.requests.Add(1)
	var parts = make(map[uint32][]byte)
	deadline := time.Now().Add(requestDeadline)
	for wait := 200 * time.Millisecond; time.Now().Before(deadline); wait = min(2*wait, 1600*time.Millisecond) {
		c.send(packet{flags: flagAck, seq: c.seq, ack: c.acked, data: data})
		until := time.Now().Add(wait)
		if until.After(deadline) {
			until = deadline
		}
		for {
			p, ok := c.receive(until)
			if !ok {
				break
			}
			if p.flags&flagReset != 0 {
				c.site.resetSeen(c, p)
				return false
			}
			if len(p.data) == 0 || p.seq-c.acked > 1<<20 {
				continue
			}
			parts[p.seq] = p.data
			var whole []byte
			for next := c.acked; parts[next] != nil; next += uint32(len(parts[next])) {
				whole = append(whole, parts[next]...)
			}
			_, body, ok := bytes.Cut(whole, []byte("\r\n\r\n"))
			if !ok || len(body) < bodySize {
				continue
			}
			if !bytes.Contains(whole, []byte("X-Server-Seal: "+seal(id)+"\r\n")) {
				c.site.violate("MIXED", "client %s got another response than that to its request %s", c.ip, id)
			}
			c.seq += uint32(len(data))
			c.acked += uint32(len(whole))
			c.send(packet{flags: flagAck, seq: c.seq, ack: c.acked})
			c.site.counts.answered.Add(1)
			return true
		}
	}
	c.site.counts.expired.Add(1)
	return false
}

const requestDeadline = 5 * time.Second
