package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"syscall"
	"time"
)

// serviceAddress is where clients reach the service of the cases.
var serviceAddress = netip.MustParseAddrPort("198.18.0.1:8443")

const service = "s1"

// startSmall starts a deployment of two zones, each with a balancer and sides endpoints, and waits until it is ready.
func startSmall(s *site, sides int) (balancers, agents []*machine, err error) {
	s.store.operatorPut("config", "main", wire.Configuration)
	for z, zone := range []string{"zone-a", "zone-b"} {
		for i := range sides {
			m := &machine{name: fmt.Sprintf("side-%s-%d", zone, i+1), role: "agent", zone: zone, service: service, ip: netip.AddrFrom4([4]byte{127, 81, byte(z), byte(10 + i)})}
			if err = s.add(m); err != nil {
				return nil, nil, err
			}
			agents = append(agents, m)
		}
		m := &machine{name: fmt.Sprintf("frontend-%s-1", zone), role: "balancer", zone: zone, ip: netip.AddrFrom4([4]byte{127, 82, byte(z), 10})}
		if err = s.add(m); err != nil {
			return nil, nil, err
		}
		balancers = append(balancers, m)
	}
	for _, m := range agents {
		if _, err = s.startEndpoint(m); err != nil {
			return nil, nil, err
		}
	}
	return balancers, agents, s.waitReady(10 * time.Second)
}

// startClients starts clients in a zone.
func startClients(s *site, zone string, count int, pause time.Duration, single bool) (clients []*client, err error) {
	for i := range count {
		c, err := s.startClient(zone, netip.AddrFrom4([4]byte{127, 83, byte(len(zone) + int(zone[len(zone)-1])), byte(i + 1)}), serviceAddress, pause, single)
		if err != nil {
			return nil, err
		}
		clients = append(clients, c)
		time.Sleep(50 * time.Millisecond)
	}
	return clients, nil
}

// lateWithdrawal: an endpoint crashes, the agent beside it is stopped and started as planned, and the answer to the
// call that withdraws its entry is lost; the store carries the call out some seconds later. Then a balancer is added.
func lateWithdrawal(s *site, trouble bool) (err error) {
	_, agents, err := startSmall(s, 4)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	victim := agents[0]
	crashedAt := time.Now()
	if trouble {
		victim.endpoint.crash()
		s.log("disruption: an endpoint crashes (srv_crash, 4.5 s)")
		time.Sleep(2200 * time.Millisecond)
		s.store.setDecide(func(c call) verdict {
			if c.method == http.MethodDelete {
				return verdict{late: 3500 * time.Millisecond}
			}
			return verdict{}
		})
		s.log("disruption: an answer of the store is lost, and the write is done 3.5 s later (platform_lost late, until the node has ended)")
	}
	s.log("planned: %s is stopped and started again (roll_term)", victim.name)
	exited := s.signal(victim, syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		s.signal(victim, syscall.SIGKILL)
		<-exited
	}
	s.log("%s has ended", victim.name)
	if trouble {
		s.store.setDecide(nil)
		s.log("the store answers again")
	}
	time.Sleep(500 * time.Millisecond)
	if err = s.start(victim); err != nil {
		return err
	}
	if trouble {
		time.Sleep(time.Until(crashedAt.Add(4500 * time.Millisecond)))
		if _, err = s.startEndpoint(victim); err != nil {
			return err
		}
	}
	// All machines are calm for far longer than stabilityWindowMs (4 s) and skewMaxMs (12 s).
	time.Sleep(18 * time.Second)
	s.log("entries in the store: agents %v", s.store.names("agents"))
	s.onReset = func(c *client, p packet) {
		for _, m := range agents {
			if e := m.endpoint; e != nil && p.isSystemReset() && e.holds(c.src, c.dst, c.peer) {
				s.violate("FLOW", "the client of flow %s>%s gets a reset that its endpoint %s on %s, which lives and holds the flow, did not send", c.src, c.dst, e.id, m.name)
			}
		}
	}
	clients, err := startClients(s, "zone-a", 80, 600*time.Millisecond, false)
	if err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	s.log("planned: a balancer is added in zone-a (add_nodes)")
	if err = s.add(&machine{name: "frontend-zone-a-2", role: "balancer", zone: "zone-a", ip: netip.MustParseAddr("127.82.0.11")}); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	for _, c := range clients {
		close(c.stop)
	}
	time.Sleep(time.Second)
	return nil
}
