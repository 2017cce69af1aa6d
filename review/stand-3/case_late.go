package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"syscall"
	"time"
)

// late: ROUTE. A trial of what the postmortem of review/6 leaves open, not a case: an endpoint ends, the agent beside it is killed, the address goes to
// an endpoint of another service, and a delayed heartbeat of the first endpoint reaches the agent's next run before one of the other endpoint.
func late(s *site, trouble bool) (broken bool) {
	one, two := netip.AddrPortFrom(s.address(kindService, 1), 443), netip.AddrPortFrom(s.address(kindService, 2), 443)
	s.store.put("config", "main", configuration(7, []any{routeTo(one, "one", "safe"), routeTo(two, "two", "safe")}, []any{serviceNamed("one", 2, 0), serviceNamed("two", 2, 0)}))
	for i := range 4 {
		zone, service := fmt.Sprintf("z%d", 1+i%2), []string{"one", "two"}[i/2]
		m := s.addMachine("agent", zone, fmt.Sprintf("side-%s-%d", zone, i), s.address(kindSide, byte(i+1)), service, true)
		s.startEndpoint(m, fmt.Sprintf("i-%d", i), endpointOptions{slots: 4, work: 10 * time.Millisecond})
	}
	s.addMachine("balancer", "z1", "frontend-z1-1", s.address(kindFront, 1), "", true)
	s.addMachine("balancer", "z2", "frontend-z2-1", s.address(kindFront, 2), "", true)
	s.waitReady(15 * time.Second)
	for number := byte(1); number <= 8; number++ {
		go func() {
			var all []uint16
			for p := range uint16(500) {
				all = append(all, 20000+p)
			}
			c := s.newClient(fmt.Sprintf("z%d", 1+number%2), number, all...)
			for n := 0; !s.stopped.Load(); n++ {
				time.Sleep(30 * time.Millisecond)
				go c.ask(all[n%500], one, fmt.Sprintf("c%d %d", number, n))
			}
		}()
	}
	time.Sleep(6 * time.Second)
	a := s.endpoints[0]
	m := a.machine
	a.mu.Lock()
	a.sequence++
	body, _ := json.Marshal(with(wire.Heartbeat, map[string]any{"service": a.service, "address": m.at(portApp), "zone": m.zone, wire.WarmupLeft: 0, "sequence": a.sequence, "born": a.born}))
	a.mu.Unlock()
	a.kill()
	s.record.line("endpoint i-0 of service one has ended; its last heartbeat is on its way")
	endedAt := time.Now()
	time.Sleep(1600 * time.Millisecond)
	m.signal(syscall.SIGKILL)
	time.Sleep(time.Until(endedAt.Add(2050 * time.Millisecond)))
	b := s.startEndpoint(m, "i-9", endpointOptions{slots: 4, work: 10 * time.Millisecond, service: "two", steady: true})
	s.record.line("endpoint i-9 of service two has the address")
	if trouble {
		for time.Since(endedAt) < 6*time.Second {
			q, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s%si-0", m.at(portControl), wire.Instances), bytes.NewReader(body))
			if response, err := http.DefaultClient.Do(q); err == nil {
				s.record.line("the delayed heartbeat of i-0 arrives, %.3f s late: %d", time.Since(endedAt).Seconds(), response.StatusCode)
				_ = response.Body.Close()
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	b.mu.Lock()
	n := len(b.openings)
	b.mu.Unlock()
	s.record.line("flows of the route of one that the endpoint of two took: %d", n)
	return n > 0
}
