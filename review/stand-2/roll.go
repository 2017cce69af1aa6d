package main

import (
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const flowBound = 2 * time.Second

// arrivals records at which endpoints the packets of flows arrive.
type arrivals struct {
	mu    sync.Mutex
	flows map[[2]netip.AddrPort][]arrival
}

type arrival struct {
	at  time.Time
	e   *endpoint
	own bool
}

// roll: the nodes beside endpoints are stopped and started in turn, and then a balancer, with one of the nodes at the same time.
func roll(s *site, trouble bool) (err error) {
	balancers, agents, err := startSmall(s, 3)
	if err != nil {
		return err
	}
	a := arrivals{flows: make(map[[2]netip.AddrPort][]arrival)}
	s.onPacket = func(e *endpoint, p packet, own bool) {
		if p.flags&flagSyn != 0 {
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		key := [2]netip.AddrPort{p.src, p.dst}
		a.flows[key] = append(a.flows[key], arrival{at: time.Now(), e: e, own: own})
	}
	clients, err := startClients(s, "zone-a", 60, 600*time.Millisecond, false)
	if err != nil {
		return err
	}
	restart := func(m *machine, away time.Duration) error {
		s.log("planned: %s is stopped and started again (roll_term)", m.name)
		exited := s.signal(m, syscall.SIGTERM)
		select {
		case <-exited:
		case <-time.After(6 * time.Second):
			s.signal(m, syscall.SIGKILL)
			<-exited
		}
		s.log("%s has ended", m.name)
		time.Sleep(away)
		return s.start(m)
	}
	if trouble {
		for _, m := range agents {
			if err = restart(m, 500*time.Millisecond); err != nil {
				return err
			}
			time.Sleep(1200 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	errs := make(chan error, 2)
	go func() { errs <- restart(balancers[0], 500*time.Millisecond) }()
	if trouble {
		go func() {
			time.Sleep(200 * time.Millisecond)
			errs <- restart(agents[0], 3*time.Second)
		}()
	} else {
		errs <- nil
	}
	for range 2 {
		if err = <-errs; err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	for _, c := range clients {
		close(c.stop)
	}
	time.Sleep(time.Second)
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, list := range a.flows {
		for i, first := range list {
			if first.own {
				continue
			}
			others, held := 0, true
			for _, next := range list[i:] {
				if next.at.Sub(first.at) > flowBound {
					break
				}
				if next.own {
					held = false
				} else {
					others++
				}
			}
			if held && others >= 3 {
				s.violate("FLOW", "from %.3f s on, for %s, %d packets of flow %s>%s reach other endpoints and none its own",
					first.at.Sub(s.startedAt).Seconds(), flowBound, others, key[0], key[1])
				break
			}
		}
	}
	return nil
}
