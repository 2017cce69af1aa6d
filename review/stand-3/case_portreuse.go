package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// portReuse: FLOW. Two zones with a balancer each. Clients of zone z1 use one source port each, for one flow after the other. The balancer of
// z1 is stopped and started as planned, twice.
func portReuse(s *site, trouble bool) (broken bool) {
	const clients, port = 24, 40001
	dst := s.ordersSite()
	n1 := s.balancers[0]

	// roll stops the balancer of z1 and waits until the routers have taken it out.
	roll := func() {
		if !trouble {
			return
		}
		s.record.line("SIGTERM to %s", n1.name)
		n1.signal(syscall.SIGTERM)
		for n1.inRotation.Load() {
			time.Sleep(20 * time.Millisecond)
		}
	}
	awaitBack := func() {
		for !n1.inRotation.Load() {
			time.Sleep(20 * time.Millisecond)
		}
	}

	all := make([]*client, clients)
	for i := range all {
		all[i] = s.newClient("z1", byte(i+1), port)
	}
	each := func(do func(i int, c *client)) {
		var group sync.WaitGroup
		for i, c := range all {
			group.Go(func() { do(i, c) })
		}
		group.Wait()
	}

	s.record.line("first flows")
	roll()
	each(func(i int, c *client) {
		f, ok := c.open(port, dst)
		if !ok {
			s.record.line("client %d: the first flow didn't open", i)
			return
		}
		answered := f.request(fmt.Sprintf("c%d first", i), time.Second)
		closed := f.close()
		s.record.line("client %d: first flow at %s, answered %t, closed by both ends %t", i, s.holder(f), answered, closed)
	})
	awaitBack()
	time.Sleep(4500 * time.Millisecond)

	s.record.line("second flows, from the same ports")
	flows := make([]*flow, clients)
	each(func(i int, c *client) {
		f, ok := c.open(port, dst)
		if !ok {
			s.record.line("client %d: the second flow didn't open", i)
			return
		}
		if f.request(fmt.Sprintf("c%d second 0", i), time.Second) {
			flows[i] = f
		}
		s.record.line("client %d: second flow at %s", i, s.holder(f))
	})
	time.Sleep(time.Second)
	each(func(i int, _ *client) {
		if f := flows[i]; f != nil && !f.request(fmt.Sprintf("c%d second 1", i), time.Second) {
			s.record.line("client %d: request 1 isn't answered before the second stop", i)
		}
	})
	roll()
	var mu sync.Mutex
	resets := 0
	each(func(i int, _ *client) {
		f := flows[i]
		if f == nil {
			return
		}
		for n := 2; n < 6; n++ {
			if f.request(fmt.Sprintf("c%d second %d", i, n), time.Second) {
				time.Sleep(200 * time.Millisecond)
				continue
			}
			endpoint, sentReset := s.holding(f)
			s.record.line("client %d: request %d of the second flow fails: reset %t, one of the system's own %t; endpoint %q holds the flow, it has sent a reset: %t",
				i, n, f.reset, f.own, endpoint, sentReset)
			if f.reset && endpoint != "" && !sentReset {
				mu.Lock()
				resets++
				mu.Unlock()
			}
			return
		}
	})
	s.record.line("flows that were reset though their endpoint lives, holds them and sent no reset: %d of %d", resets, clients)
	return resets > 0
}

// holder names the endpoint that took a flow.
func (s *site) holder(f *flow) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		e.mu.Lock()
		ef := e.flows[f.key()]
		match := ef != nil && ef.seq == f.endSeq
		e.mu.Unlock()
		if match {
			return e.id
		}
	}
	return "none"
}

// holding names the endpoint that has a flow open, and tells whether that endpoint has sent a reset for it.
func (s *site) holding(f *flow) (id string, sentReset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if e.holds(f.key(), f.endSeq) {
			e.mu.Lock()
			sentReset = e.resets[f.key()] > 0
			e.mu.Unlock()
			return e.id, sentReset
		}
	}
	return "", false
}

// ordersSite starts two zones with a balancer and two endpoints of the service "orders" each, and returns the address of its route.
func (s *site) ordersSite() netip.AddrPort {
	dst := netip.AddrPortFrom(s.address(kindService, 1), 443)
	s.store.put("config", "main", configuration(7, []any{routeTo(dst, "orders", "unsafe")}, []any{serviceNamed("orders", 2, 0)}))
	for i := range 4 {
		zone := fmt.Sprintf("z%d", 1+i%2)
		m := s.addMachine("agent", zone, fmt.Sprintf("side-%s-%d", zone, i), s.address(kindSide, byte(i+1)), "orders", true)
		s.startEndpoint(m, fmt.Sprintf("i-%d", i), endpointOptions{slots: 4, work: 20 * time.Millisecond})
	}
	s.addMachine("balancer", "z1", "frontend-z1-1", s.address(kindFront, 1), "", true)
	s.addMachine("balancer", "z2", "frontend-z2-1", s.address(kindFront, 2), "", true)
	s.waitReady(15 * time.Second)
	time.Sleep(2 * time.Second)
	return dst
}
