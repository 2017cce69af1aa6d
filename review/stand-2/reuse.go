package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"
)

const otherService = "s2"

// lateBeat sends a heartbeat now over a connection that holds it up, so that the agent gets it after delay. The endpoint
// may have crashed by then, and doesn't wait for the answer.
func (e *endpoint) lateBeat(delay time.Duration) error {
	relay, err := net.Listen("tcp4", netip.AddrPortFrom(e.m.ip, 0).String())
	if err != nil {
		return err
	}
	control := netip.AddrPortFrom(e.m.ip, e.site.ports.control).String()
	go func() {
		defer func() { _ = relay.Close() }()
		in, err := relay.Accept()
		if err != nil {
			return
		}
		defer func() { _ = in.Close() }()
		held, _ := io.ReadAll(in)
		time.Sleep(delay)
		out, err := net.Dial("tcp4", control)
		if err != nil {
			return
		}
		defer func() { _ = out.Close() }()
		_, _ = out.Write(held)
		answer := make([]byte, 64)
		_ = out.SetReadDeadline(time.Now().Add(time.Second))
		n, _ := out.Read(answer)
		line, _, _ := bytes.Cut(answer[:n], []byte("\r\n"))
		e.site.log("the heartbeat of %s reaches the agent %s after it was sent: %s", e.id, delay, line)
	}()
	e.mu.Lock()
	e.sequence++
	body := heartbeat(e, netip.AddrPortFrom(e.m.ip, e.site.ports.app).String(), "ready", e.sequence)
	e.mu.Unlock()
	conn, err := net.Dial("tcp4", relay.Addr().String())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(conn, "PUT %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", wire.Instances, e.id, control, len(body), body)
	_ = conn.Close()
	return err
}

// lateHeartbeat: an endpoint ends, and its address goes to another service after addrReuseS. Its last two heartbeats were
// held up by a partition, and arrive after the other endpoint has registered.
func lateHeartbeat(s *site, trouble bool) (err error) {
	_, agents, err := startSmall(s, 4)
	if err != nil {
		return err
	}
	clients, err := startClients(s, "zone-a", 40, 300*time.Millisecond, true)
	if err != nil {
		return err
	}
	// The only route leads to one service; no configuration has ever named another one for it.
	s.onRan = func(id string, e *endpoint) {
		if e.service != service {
			s.violate("ROUTE", "endpoint %s of %s runs request %s, whose route leads to %s only", e.id, e.service, id, service)
		}
	}
	time.Sleep(6 * time.Second)
	m := agents[0]
	e := m.endpoint
	healsAt := time.Now()
	if trouble {
		healsAt = healsAt.Add(heartbeatInterval + addressReuse + 600*time.Millisecond)
		s.log("disruption: heartbeats of %s are held up by a partition, and arrive in %s", e.id, time.Until(healsAt).Round(time.Millisecond))
	}
	// From here on the heartbeats go over connections that may be held up.
	e.pauseBeats()
	if err = e.lateBeat(time.Until(healsAt)); err != nil {
		return err
	}
	time.Sleep(heartbeatInterval)
	if err = e.lateBeat(time.Until(healsAt.Add(50 * time.Millisecond))); err != nil {
		return err
	}
	time.Sleep(50 * time.Millisecond)
	e.crash()
	ended := time.Now()
	s.log("disruption: endpoint %s ends, and its address goes to another service after addrReuseS (%s) (replace_with_reuse)", e.id, addressReuse)
	time.Sleep(time.Until(ended.Add(addressReuse + 100*time.Millisecond)))
	// The node beside the endpoint goes on as it was; only the endpoint is another one.
	m.service = otherService
	if _, err = s.startEndpoint(m); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	for _, c := range clients {
		close(c.stop)
	}
	time.Sleep(time.Second)
	return nil
}

// addressReuse is addrReuseS: an address isn't used again before.
const addressReuse = 2 * time.Second
