package main

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"
)

// coldRate: FAILBACK. An endpoint of the service "tickets" is lost with its machine, and its address goes to a new endpoint of the service
// "pages", which bears fewer requests while it is cold.
func coldRate(s *site, trouble bool) (broken bool) {
	const (
		ticketsPerS, pagesPerS = 60.0, 5.0
		warmup                 = 4 * time.Second
	)
	tickets := netip.AddrPortFrom(s.address(kindService, 1), 443)
	pages := netip.AddrPortFrom(s.address(kindService, 2), 443)
	s.store.put("config", "main", configuration(7, []any{routeTo(tickets, "tickets", "safe"), routeTo(pages, "pages", "safe")},
		[]any{serviceNamed("tickets", warmup.Seconds(), ticketsPerS), serviceNamed("pages", warmup.Seconds(), pagesPerS)}))
	warm := endpointOptions{slots: 4, work: 40 * time.Millisecond}
	ticketsMachine := s.addMachine("agent", "z1", "side-z1-0", s.address(kindSide, 1), "tickets", true)
	ticketsEndpoint := s.startEndpoint(ticketsMachine, "i-tickets-0", endpointOptions{slots: 4, work: 10 * time.Millisecond})
	for i := 1; i <= 3; i++ {
		zone := fmt.Sprintf("z%d", 1+i%2)
		m := s.addMachine("agent", zone, fmt.Sprintf("side-%s-%d", zone, i), s.address(kindSide, byte(i+1)), "pages", true)
		s.startEndpoint(m, fmt.Sprintf("i-pages-%d", i), warm)
	}
	s.addMachine("balancer", "z1", "frontend-z1-1", s.address(kindFront, 1), "", true)
	s.addMachine("balancer", "z2", "frontend-z2-1", s.address(kindFront, 2), "", true)
	s.waitReady(15 * time.Second)
	time.Sleep(2 * time.Second)

	// Each request has a flow of its own, and up to two further tries, each from a new port.
	var requests, served [2]atomic.Int64
	traffic := func(kind int, dst netip.AddrPort, perS float64, number byte) {
		const ports = 4000
		var all []uint16
		free := make(chan uint16, ports)
		for p := range uint16(ports) {
			all = append(all, 20000+p)
			free <- 20000 + p
		}
		c := s.newClient(fmt.Sprintf("z%d", 1+number%2), number, all...)
		for n := 0; !s.stopped.Load(); n++ {
			time.Sleep(time.Duration(float64(time.Second) / perS))
			go func() {
				requests[kind].Add(1)
				for try := range 3 {
					port := <-free
					f, ok := c.open(port, dst)
					if ok && f.request(fmt.Sprintf("%d-%d-%d-%d", kind, number, n, try), time.Second) {
						served[kind].Add(1)
						f.close()
						free <- port
						return
					}
					free <- port
				}
			}()
		}
	}
	for i := range byte(4) {
		go traffic(0, tickets, 50, 1+i)
		go traffic(1, pages, 68, 11+i)
	}
	time.Sleep(4 * time.Second)

	addr := s.address(kindSide, 9)
	if trouble {
		s.record.line("the machine of %s is lost with its endpoint", ticketsEndpoint.id)
		ticketsEndpoint.kill()
		ticketsMachine.remove(syscall.SIGKILL)
		addr = ticketsMachine.addr
	}
	time.Sleep(addrReuse + 500*time.Millisecond)
	s.record.line("a new endpoint of pages starts at %s, which the lost one had: %t", addr, trouble)
	m := s.addMachine("agent", "z1", "side-z1-9", addr, "pages", false)
	e := s.startEndpoint(m, "i-pages-9", endpointOptions{slots: 4, work: 60 * time.Millisecond, warmup: warmup})
	time.Sleep(warmup + time.Second)
	s.stopped.Store(true)

	// The rule: openings in one second, counted if they were sent and arrived inside it, while the endpoint is cold.
	limit := pagesPerS*burstFactor + warmupSlack
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, last := range e.openings {
		if last.arrivedAt.Sub(e.startAt) > warmup {
			break
		}
		from, count := last.arrivedAt.Add(-time.Second), 0
		for _, o := range e.openings[:i+1] {
			if !o.sentAt.Before(from) && !o.arrivedAt.Before(from) {
				count++
			}
		}
		most = max(most, count)
	}
	for _, o := range e.openings {
		s.record.line("%s took an opening packet %.3f s after its start, sent %.3f s before", e.id, o.arrivedAt.Sub(e.startAt).Seconds(), o.arrivedAt.Sub(o.sentAt).Seconds())
	}
	s.record.line("tickets: %d of %d requests served; pages: %d of %d", served[0].Load(), requests[0].Load(), served[1].Load(), requests[1].Load())
	s.record.line("most openings in one second while cold: %d; the rule allows %g", most, limit)
	return float64(most) > limit
}
