package main

import (
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// stalledLog: whoever reads the logs of one balancer and of one agent stops reading for a while, and keeps the pipes open.
func stalledLog(s *site, trouble bool) (err error) {
	var stalled atomic.Bool
	read := func(r *os.File) {
		buffer := make([]byte, 4096)
		for {
			for stalled.Load() {
				time.Sleep(50 * time.Millisecond)
			}
			if _, err := r.Read(buffer); err == io.EOF {
				return
			}
		}
	}
	s.logReader = func(m *machine) func(r *os.File) {
		if m.name == "frontend-zone-a-1" || m.name == "side-zone-a-1" {
			return read
		}
		return nil
	}
	balancers, agents, err := startSmall(s, 4)
	if err != nil {
		return err
	}
	clients, err := startClients(s, "zone-a", 80, 600*time.Millisecond, true)
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	ready := func() bool {
		h := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		r, err := h.Get("http://" + netip.AddrPortFrom(balancers[0].ip, s.ports.ready).String() + wire.Ready)
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusOK
	}
	s.log("%s is ready: %t", balancers[0].name, ready())
	if trouble {
		stalled.Store(true)
		s.log("disruption: nobody reads the logs of %s and %s any more; the pipes hold 64 KiB", balancers[0].name, agents[0].name)
	}
	time.Sleep(25 * time.Second)
	if !ready() {
		s.violate("hang", "%s doesn't answer GET %s within 3 s", balancers[0].name, wire.Ready)
	}
	e := agents[0].endpoint
	s.log("planned: endpoint %s on %s says that it leaves (scale_in)", e.id, agents[0].name)
	e.drain()
	time.Sleep(6 * time.Second)
	e.mu.Lock()
	toldAt, ackedAt := e.toldAt, e.ackedAt
	e.mu.Unlock()
	if ackedAt.IsZero() || ackedAt.Sub(toldAt) > 5*time.Second {
		s.violate("Acks", "endpoint %s says since %s that it leaves and has no acknowledgement after ackMs (5 s)", e.id, time.Since(toldAt).Round(time.Millisecond))
	} else {
		s.log("the leaving endpoint is acknowledged after %s", ackedAt.Sub(toldAt).Round(time.Millisecond))
	}
	for _, m := range []*machine{balancers[0], agents[0]} {
		begun := time.Now()
		exited := s.signal(m, syscall.SIGTERM)
		s.log("planned: %s is stopped", m.name)
		select {
		case <-exited:
			s.log("%s ends after %s", m.name, time.Since(begun).Round(time.Millisecond))
		case <-time.After(6 * time.Second):
			s.violate("hang", "%s runs still graceS (6 s) after SIGTERM", m.name)
		}
	}
	for _, c := range clients {
		close(c.stop)
	}
	time.Sleep(time.Second)
	return nil
}
