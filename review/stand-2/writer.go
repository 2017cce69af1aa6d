package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

const drainBound = 3 * time.Second

// otherWriter: another writer sends the control address of an agent heartbeats in which fields are missing. Later the
// endpoint beside the agent says that it leaves.
func otherWriter(s *site, trouble bool) (err error) {
	_, agents, err := startSmall(s, 4)
	if err != nil {
		return err
	}
	others, err := startClients(s, "zone-b", 40, 600*time.Millisecond, true)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	// Long flows open one after the other, so that all endpoints get some.
	clients, err := startClients(s, "zone-a", 60, 600*time.Millisecond, false)
	if err != nil {
		return err
	}
	s.onReset = func(c *client, p packet) {
		for _, m := range agents {
			if e := m.endpoint; p.isSystemReset() && e.holds(c.src, c.dst, c.peer) {
				s.violate("FLOW", "the client of flow %s>%s gets a reset that its endpoint %s on %s, which lives and holds the flow, did not send", c.src, c.dst, e.id, m.name)
			}
		}
	}
	s.onOpened = func(e *endpoint, p packet) {
		// The endpoint's lock is held.
		if !e.ackedAt.IsZero() && time.Since(e.ackedAt) > drainBound+100*time.Millisecond {
			s.violate("DRAIN", "endpoint %s takes the opening packet of flow %s>%s %s after its agent acknowledged that it is draining",
				e.id, p.src, p.dst, time.Since(e.ackedAt).Round(time.Millisecond))
		}
	}
	time.Sleep(6 * time.Second)
	m := agents[0]
	end := make(chan struct{})
	if trouble {
		body := fmt.Sprintf(`{"service":%q,"state":"ready","sequence":%%d,"born":%d}`, service, time.Now().UnixMilli())
		s.log("disruption: another writer sends %s heartbeats with service, state, sequence and born only", m.name)
		go func() {
			for i := 1; ; i++ {
				text := fmt.Sprintf(body, i)
				q, err := http.NewRequest(http.MethodPut, "http://"+netip.AddrPortFrom(m.ip, s.ports.control).String()+wire.Instances+"w-1", bytes.NewReader([]byte(text)))
				if err != nil {
					return
				}
				q.Header.Set("Content-Type", "application/json")
				if r, err := s.http.Do(q); err == nil {
					_ = r.Body.Close()
					s.log("the other writer sends PUT %sw-1 %s: status %d", wire.Instances, text, r.StatusCode)
				}
				select {
				case <-time.After(heartbeatInterval):
				case <-end:
					return
				}
			}
		}()
	}
	time.Sleep(6 * time.Second)
	s.log("planned: endpoint %s on %s says that it leaves (scale_in)", m.endpoint.id, m.name)
	m.endpoint.drain()
	time.Sleep(9 * time.Second)
	close(end)
	for _, c := range append(clients, others...) {
		close(c.stop)
	}
	time.Sleep(time.Second)
	return nil
}
