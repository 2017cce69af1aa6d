package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// flowBound is the bound flowMs.
const flowBound = 2 * time.Second

// lookup: FLOW. The agents and a balancer are stopped and started in turn, as planned, and an endpoint is added. The agent that holds some flows
// is being restarted when their clients go on, through the balancer that has just been restarted.
func lookup(s *site, trouble bool) (broken bool) {
	const clients = 24
	dst := s.ordersSite()
	n1 := s.balancers[0]
	var agents []*machine
	for _, m := range s.all {
		if m.role == "agent" {
			agents = append(agents, m)
		}
	}
	flows := make([]*flow, clients)
	each := func(do func(i int)) {
		var group sync.WaitGroup
		for i := range clients {
			group.Go(func() { do(i) })
		}
		group.Wait()
	}
	var mu sync.Mutex
	held := make(map[string]int)
	each(func(i int) {
		f, ok := s.newClient("z1", byte(i+1), 40001).open(40001, dst)
		if !ok || !f.request(fmt.Sprintf("c%d 0", i), time.Second) {
			s.record.line("client %d: the flow didn't open", i)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		flows[i] = f
		held[s.holder(f)]++
	})
	time.Sleep(3 * time.Second)
	each(func(i int) {
		if f := flows[i]; f != nil {
			f.request(fmt.Sprintf("c%d 1", i), time.Second)
		}
	})
	last := 0
	for i, e := range s.endpoints {
		if held[e.id] > held[s.endpoints[last].id] {
			last = i
		}
	}
	target := s.endpoints[last]
	s.record.line("%d flows are at %s, whose agent is the last one to be restarted", held[target.id], target.id)
	stop := func(m *machine) {
		if trouble {
			s.record.line("SIGTERM to %s", m.name)
			m.signal(syscall.SIGTERM)
		}
	}
	for i, m := range agents {
		if i != last {
			stop(m)
			time.Sleep(1300 * time.Millisecond)
		}
	}
	stop(n1)
	for trouble && n1.inRotation.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	for !n1.inRotation.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	stop(agents[last])
	time.Sleep(300 * time.Millisecond)
	begun := time.Now()
	s.record.line("the clients of %s go on, with two requests each", target.id)
	time.AfterFunc(2300*time.Millisecond, func() {
		s.record.line("an endpoint is added")
		m := s.addMachine("agent", "z2", "side-z2-9", s.address(kindSide, 9), "orders", false)
		s.startEndpoint(m, "i-9", endpointOptions{slots: 4, work: 20 * time.Millisecond})
	})
	each(func(i int) {
		f := flows[i]
		if f == nil || s.holder(f) != target.id {
			return
		}
		answered := f.pipeline(fmt.Sprintf("c%d 2", i), fmt.Sprintf("c%d 3", i), 6*time.Second)
		s.record.line("client %d: answered %t after %.3f s", i, answered, time.Since(begun).Seconds())
	})
	time.Sleep(time.Until(begun.Add(6 * time.Second)))

	count := 0
	for i, f := range flows {
		if f == nil || s.holder(f) != target.id || !target.holds(f.key(), f.endSeq) {
			continue
		}
		if span, strays := s.astray(target, f, begun); strays >= 3 && span >= flowBound {
			count++
			s.record.line("client %d: for %.3f s %d packets of its open flow reached other endpoints, and none its own", i, span.Seconds(), strays)
		}
	}
	s.record.line("flows whose packets reached other endpoints for %s and not their own: %d of %d", flowBound, count, held[target.id])
	return count > 0
}

// astray returns the longest time in which packets of a flow reached other endpoints and none its own, and how many.
func (s *site) astray(own *endpoint, f *flow, since time.Time) (span time.Duration, count int) {
	var arrivals []time.Time
	for _, e := range s.endpoints {
		e.mu.Lock()
		if e != own {
			arrivals = append(arrivals, e.strays[f.key()]...)
		}
		e.mu.Unlock()
	}
	own.mu.Lock()
	packets := append([]time.Time{since}, own.flows[f.key()].packets...)
	own.mu.Unlock()
	packets = append(packets, time.Now())
	for i := 1; i < len(packets); i++ {
		var first, last time.Time
		n := 0
		for _, a := range arrivals {
			if a.After(packets[i-1]) && a.Before(packets[i]) {
				n++
				if first.IsZero() || a.Before(first) {
					first = a
				}
				if a.After(last) {
					last = a
				}
			}
		}
		if n > 0 && last.Sub(first) > span {
			span, count = last.Sub(first), n
		}
	}
	return span, count
}
