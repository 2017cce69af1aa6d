package main

import (
	"flag"
	"fmt"
	"os"
	"syscall"
	"time"
)

func main() {
	program := flag.String("program", "target/lentilpacket", "the program under test")
	dir := flag.String("dir", ".", "where record.txt is written")
	scenario := flag.String("scenario", "", "replaced, marker or ports")
	temp := flag.String("temp", "", "a temporary folder for settings and logs")
	flag.Parse()
	s := newSite(*program, *dir, *temp)
	trouble := os.Getenv("TROUBLE") != "0"
	s.note("scenario %s, with trouble: %v", *scenario, trouble)
	switch *scenario {
	case "replaced":
		s.replaced(trouble)
	case "marker":
		s.marker(trouble)
	case "ports":
		s.reusedPorts(trouble)
	default:
		fmt.Fprintln(os.Stderr, "unknown scenario")
		os.Exit(2)
	}
	s.finish()
}

func (s *site) until(seconds float64) {
	time.Sleep(time.Until(s.began.Add(time.Duration(seconds * float64(time.Second)))))
}

// replaced: a side machine is lost for good, and another one of the same name comes at a new address. Later the balancer of
// the zone is stopped and started as planned.
func (s *site) replaced(trouble bool) {
	s.configure(7)
	b1, b2 := s.add("balancer", "frontend-za-1", "za", 1, true), s.add("balancer", "frontend-zb-1", "zb", 2, true)
	s.start(b1)
	s.start(b2)
	go s.probe(b1)
	go s.probe(b2)
	lost := s.addAgent("side-za-1", "za", 1, true)
	for i, zone := range []string{"za", "za", "zb", "zb"} {
		s.addAgent(fmt.Sprintf("side-%s-%d", zone, i+2), zone, byte(i+2), true)
	}
	s.waitReady(b1, b2)
	s.until(5)
	clients := []*client{s.newClient("za", 1)}
	c := clients[0]
	for range 6 {
		f := c.newFlow(s.service, 0)
		if f.connect() {
			f.request("GET", 200, time.Second)
			f.close()
		}
	}
	if trouble {
		s.note("the machine of side-za-1 is lost for good")
		lost.endpoint.kill()
		<-s.signal(lost, syscall.SIGKILL)
		s.until(8)
		s.addAgent("side-za-1", "za", 11, false)
	}
	s.until(30)
	// Long flows of clients of zone za, some of them at each endpoint.
	var flows []*flow
	for range 24 {
		f := c.newFlow(s.service, 0)
		if f.connect() && f.request("GET", 200, time.Second) {
			flows = append(flows, f)
		}
	}
	s.note("%d flows are open", len(flows))
	s.roll(b1)
	s.waitReady(b1)
	time.Sleep(6 * time.Second) // All machines are in touch again: stabilityWindowMs is 4 s.
	for range 3 {
		for _, f := range flows {
			if !f.reset {
				f.request("GET", 200, time.Second)
			}
		}
		time.Sleep(time.Second)
	}
}

// marker: a new endpoint starts beside a new agent while the store leaves a share of the writes without an answer and does
// them later. The agent is stopped and started as planned a second later.
func (s *site) marker(trouble bool) {
	s.configure(7)
	b1, b2 := s.add("balancer", "frontend-za-1", "za", 1, true), s.add("balancer", "frontend-zb-1", "zb", 2, true)
	s.start(b1)
	s.start(b2)
	go s.probe(b1)
	go s.probe(b2)
	for i, zone := range []string{"za", "za", "zb", "zb"} {
		s.addAgent(fmt.Sprintf("side-%s-%d", zone, i+1), zone, byte(i+1), true)
	}
	s.waitReady(b1, b2)
	s.until(6)
	c := s.newClient("za", 1)
	var lost, writes int
	if trouble {
		s.note("the store leaves writes without an answer from now on")
		s.store.lose = func(method, kind, name string) (bool, time.Duration) {
			s.mu.Lock()
			defer s.mu.Unlock()
			writes++
			if name == "side-za-9" && kind == "ledgers" || kind == "ledgerGroups" && name == "za-0" && lost < 2 {
				lost++
				return true, 4 * time.Second
			}
			return false, 0
		}
	}
	m := s.add("agent", "side-za-9", "za", 9, false)
	s.start(m)
	time.Sleep(300 * time.Millisecond)
	s.endpointAt(m, "i-new")
	time.Sleep(100 * time.Millisecond)
	var flows []*flow
	for range 20 {
		f := c.newFlow(s.service, 0)
		if f.connect() && f.request("POST", 900, time.Second) {
			flows = append(flows, f)
		}
	}
	time.Sleep(700 * time.Millisecond)
	s.roll(m)
	if trouble {
		s.mu.Lock()
		s.store.lose = nil
		s.mu.Unlock()
		s.note("the store answers all writes again; it left %d of %d without an answer", lost, writes)
	}
	s.until(17.5) // The last late write was done before 12.5 s, and stabilityWindowMs is 4 s.
	for range 2 {
		for _, f := range flows {
			if !f.reset {
				f.request("POST", 900, time.Second)
			}
		}
		time.Sleep(time.Second)
	}
}

// reusedPorts: a roll of an agent, and later one of a balancer. A client has closed a flow just before the first one, and uses its
// port again half a minute later.
func (s *site) reusedPorts(trouble bool) {
	s.configure(7)
	b1, b2 := s.add("balancer", "frontend-za-1", "za", 1, true), s.add("balancer", "frontend-zb-1", "zb", 2, true)
	s.start(b1)
	s.start(b2)
	go s.probe(b1)
	go s.probe(b2)
	var agents []*machine
	for i, zone := range []string{"za", "za", "zb", "zb"} {
		agents = append(agents, s.addAgent(fmt.Sprintf("side-%s-%d", zone, i+1), zone, byte(i+1), true))
	}
	s.waitReady(b1, b2)
	s.until(5)
	c := s.newClient("za", 1)
	var first []*flow
	for range 16 {
		f := c.newFlow(s.service, 0)
		if f.connect() && f.request("POST", 900, time.Second) {
			first = append(first, f)
		}
	}
	for range 5 {
		time.Sleep(time.Second)
		for _, f := range first {
			f.request("POST", 900, time.Second)
		}
	}
	for _, f := range first {
		f.close()
	}
	if trouble {
		s.roll(agents[0])
	}
	s.until(42)
	// The ports are used again, 30 s after their flows have ended.
	var second []*flow
	for _, f := range first {
		g := c.newFlow(s.service, f.src.Port())
		if g.connect() && g.request("POST", 900, time.Second) {
			second = append(second, g)
		}
	}
	s.note("%d flows are open on the same ports", len(second))
	s.roll(b1)
	s.waitReady(b1)
	time.Sleep(6 * time.Second)
	for range 2 {
		for _, f := range second {
			if !f.reset {
				f.request("POST", 900, time.Second)
			}
		}
		time.Sleep(time.Second)
	}
}
