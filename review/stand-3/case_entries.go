package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	// configBound is the bound configApplyMs.
	configBound = 3 * time.Second
	// touchWindow is stabilityWindowMs.
	touchWindow = 4 * time.Second
)

// entries: CONFIG. Machines with balancers are replaced one after the other, as planned. Then the agents are stopped and started in turn, and the
// configuration changes some times.
func entries(s *site, trouble bool) (broken bool) {
	const replaced, batch, changes = 120, 3, 4
	dst := netip.AddrPortFrom(s.address(kindService, 1), 443)
	version := uint64(6)
	configure := func(service string) {
		version += 3
		s.store.put("config", "main", configuration(version, []any{routeTo(dst, service, "safe")}, []any{serviceNamed("one", 2, 0), serviceNamed("two", 2, 0)}))
	}
	configure("one")
	var agents []*machine
	for i := range 4 {
		zone, service := fmt.Sprintf("z%d", 1+i%2), []string{"one", "two"}[i/2]
		m := s.addMachine("agent", zone, fmt.Sprintf("side-%s-%d", zone, i), s.address(kindSide, byte(i+1)), service, true)
		agents = append(agents, m)
		s.startEndpoint(m, fmt.Sprintf("i-%d", i), endpointOptions{slots: 4, work: 5 * time.Millisecond})
	}
	number := 0
	add := func(bootstrap bool) (m *machine) {
		number++
		zone := fmt.Sprintf("z%d", 1+number%2)
		return s.addMachine("balancer", zone, fmt.Sprintf("frontend-%s-%d", zone, number), s.address(kindFront, byte(number)), "", bootstrap)
	}
	var live []*machine
	for range batch {
		live = append(live, add(true))
	}
	s.waitReady(15 * time.Second)
	time.Sleep(2 * time.Second)
	if trouble {
		for number < batch+replaced {
			old := live
			live = nil
			for range min(20, batch+replaced-number) {
				live = append(live, add(false))
			}
			for _, m := range live {
				for !m.inRotation.Load() {
					time.Sleep(10 * time.Millisecond)
				}
			}
			if number >= batch+replaced {
				old, live = append(old, live[batch:]...), live[:batch]
			}
			var leaving sync.WaitGroup
			for _, m := range old {
				leaving.Go(func() { m.remove(syscall.SIGTERM) })
			}
			leaving.Wait()
			s.mu.Lock()
			s.balancers = append([]*machine(nil), live...)
			s.mu.Unlock()
			s.record.line("%d balancers' machines have been replaced", number-batch)
		}
	}
	for _, m := range agents {
		s.record.line("SIGTERM to %s", m.name)
		m.signal(syscall.SIGTERM)
		time.Sleep(1300 * time.Millisecond)
	}
	time.Sleep(touchWindow)

	type change struct {
		at      time.Time
		service string
	}
	var history []change
	client := make(map[*machine]*client)
	var ports []uint16
	for p := range uint16(4000) {
		ports = append(ports, 20000+p)
	}
	for i, m := range live {
		client[m] = s.newClient(m.zone, byte(i+1), ports...)
		client[m].through = m
	}
	late := make(map[string]int)
	latest := time.Duration(0)
	n := 0
	for c := range changes {
		service := []string{"two", "one"}[c%2]
		configure(service)
		history = append(history, change{time.Now(), service})
		s.record.line("version %d is acknowledged: the route goes to %q", version, service)
		for time.Since(history[c].at) < 4500*time.Millisecond {
			time.Sleep(25 * time.Millisecond)
			n++
			for _, m := range live {
				port, sentAt := ports[n%len(ports)], time.Now()
				go func() {
					f, ok := client[m].open(port, dst)
					if !ok {
						return
					}
					if at := s.serviceOf(f); at != "" && at != service {
						s.lateFlow(m, service, at, sentAt.Sub(history[c].at), late, &latest)
					}
					f.close()
				}()
			}
		}
		time.Sleep(1500 * time.Millisecond)
	}
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	total := 0
	for _, k := range late {
		total += k
	}
	at := time.Since(s.startAt).Seconds()
	_, _ = fmt.Fprintf(s.record.file, "%8.3f  flows that were opened later than %s after the acknowledgement and taken by the service of the version before: %d; the latest was opened %.3f s after it\n",
		at, configBound, total, latest.Seconds())
	return total > 0
}

// lateFlow counts a flow that the service of an older version has taken.
func (s *site) lateFlow(m *machine, want, got string, after time.Duration, late map[string]int, latest *time.Duration) {
	s.record.mu.Lock()
	*latest = max(*latest, after)
	isLate := after > configBound
	if isLate {
		late[m.name]++
	}
	s.record.mu.Unlock()
	if isLate {
		s.record.line("%s: a flow that was opened %.3f s after the acknowledgement of %q was taken by %q", m.name, after.Seconds(), want, got)
	}
}

// serviceOf returns the service of the endpoint that took a flow.
func (s *site) serviceOf(f *flow) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		e.mu.Lock()
		ef := e.flows[f.key()]
		match := ef != nil && ef.seq == f.endSeq
		e.mu.Unlock()
		if match {
			return e.service
		}
	}
	return ""
}
