package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"
)

// recoverBound is the bound recoverS.
const recoverBound = 12 * time.Second

// writerInterval is the time between two heartbeats of the other writer to an agent, as in the project's own soak.
const writerInterval = 250 * time.Millisecond

// otherWriter: RECOVER. Another writer sends heartbeats that name a service which no configuration has. At the end all processes are killed and
// start again.
func otherWriter(s *site, trouble bool) (broken bool) {
	dst := s.ordersSite()
	var agents []*machine
	for _, m := range s.all {
		if m.role == "agent" {
			agents = append(agents, m)
		}
	}
	var sent, acknowledged atomic.Int64
	if trouble {
		s.record.line("another writer begins to send heartbeats of the service \"nobody\" to the agents")
		born := time.Now().UnixMilli()
		for i, m := range agents {
			go func() {
				client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
				for n := 1; !s.stopped.Load(); n++ {
					body, _ := json.Marshal(with(wire.Heartbeat, map[string]any{
						"service": "nobody", "address": m.at(portApp), "zone": m.zone, wire.WarmupLeft: 0, "sequence": n, "born": born,
					}))
					q, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s%sother-%d", m.at(portControl), wire.Instances, i), bytes.NewReader(body))
					q.Header.Set("Content-Type", "application/json")
					sent.Add(1)
					if response, err := client.Do(q); err == nil {
						_ = response.Body.Close()
						if response.StatusCode/100 == 2 {
							acknowledged.Add(1)
						}
					}
					time.Sleep(writerInterval)
				}
			}()
		}
	}
	// phase tells which requests count: 0 before the final fault, 1 none, 2 those sent later than recoverS after it.
	var phase atomic.Int32
	var asked, served [3]atomic.Int64
	for number := byte(1); number <= 8; number++ {
		go func() {
			const ports = 500
			var all []uint16
			for p := range uint16(ports) {
				all = append(all, 20000+p)
			}
			c := s.newClient(fmt.Sprintf("z%d", 1+number%2), number, all...)
			for n := 0; !s.stopped.Load(); n++ {
				time.Sleep(100 * time.Millisecond)
				go func() {
					p := phase.Load()
					asked[p].Add(1)
					if c.ask(all[n%ports], dst, fmt.Sprintf("c%d %d", number, n)) {
						served[p].Add(1)
					}
				}()
			}
		}()
	}
	time.Sleep(8 * time.Second)
	phase.Store(1)
	s.record.line("the final fault: all processes are killed")
	for _, m := range s.all {
		m.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay + 300*time.Millisecond)
	s.record.line("all processes run again")
	time.Sleep(recoverBound)
	phase.Store(2)
	time.Sleep(8 * time.Second)
	phase.Store(1)
	time.Sleep(1500 * time.Millisecond)
	for _, e := range s.endpoints {
		s.record.line("endpoint %s: alive %t, heartbeats %d, acknowledged %d", e.id, e.alive(), e.sequence, e.acknowledged.Load())
	}
	s.record.line("heartbeats of the other writer: %d, acknowledged %d", sent.Load(), acknowledged.Load())
	before, after := share(&served[0], &asked[0]), share(&served[2], &asked[2])
	s.record.line("served before the final fault: %d of %d; later than %s after it: %d of %d", served[0].Load(), asked[0].Load(), recoverBound, served[2].Load(), asked[2].Load())
	return before >= 0.25 && after < 0.25
}

func share(part, whole *atomic.Int64) float64 {
	return float64(part.Load()) / float64(max(whole.Load(), 1))
}

// ask makes a request in a flow of its own.
func (c *client) ask(port uint16, dst netip.AddrPort, id string) (answered bool) {
	f, ok := c.open(port, dst)
	if !ok {
		return false
	}
	answered = f.request(id, time.Second)
	if !f.reset {
		f.close()
	}
	return answered
}
