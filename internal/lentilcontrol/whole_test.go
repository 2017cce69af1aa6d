package lentilcontrol_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// observations is what callbacks brought.
type observations struct {
	mu      sync.Mutex
	version uint64
	records int
	peers   int
}

func (s *observations) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *observations) check(query func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return query()
}

func sampleDocument(version uint64) lentilconfig.Document {
	document := lentilconfig.Document{
		Version: version,
		NoteID:  fmt.Sprintf("note-%d", version),
		Domains: []lentilconfig.DomainDoc{{Name: "palermo", Number: 1, Region: "sicilia"}},
		Services: []lentilconfig.ServiceDoc{
			{Name: "iscrizioni", Number: 1, Address: netip.MustParseAddrPort("127.15.0.1:443"), Slots: 2, Connections: 2000},
		},
	}
	for i := range 4 {
		document.Copies = append(document.Copies, lentilconfig.CopyDoc{
			Name: fmt.Sprintf("iscrizioni-%d", i), Service: "iscrizioni", Domain: "palermo",
		})
	}
	return document
}

func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	deadline := time.Now().Add(8 * time.Second)
	for !met() {
		if time.Now().After(deadline) {
			t.Fatalf("not met in time: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestControlOverTLS lets three balancers and four agents meet over TLS on loopback.
func TestControlOverTLS(t *testing.T) {
	ring, err := lentilkey.New([]lentilkey.KeyDoc{{ID: 1, Secret: []byte("lentilstair-test-secret-0123456789")}})
	if err != nil {
		t.Fatal(err)
	}
	serverTLS, err := ring.ServerTLS("h2")
	if err != nil {
		t.Fatal(err)
	}
	clientTLS, err := ring.ClientTLS("h2")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	offers := make(chan lentilconfig.Document, 8)
	offers <- sampleDocument(1)
	var seeds []netip.AddrPort
	var balancers []*lentilcontrol.Balancer
	var views [3]observations
	for i := range 3 {
		b := &lentilcontrol.Balancer{
			Listen:    netip.MustParseAddrPort("127.0.0.1:0"),
			Domain:    "palermo",
			Seeds:     seeds,
			ServerTLS: serverTLS,
			ClientTLS: clientTLS,
			OnConfiguration: func(c lentilconfig.Configuration) {
				views[i].update(func() { views[i].version = c.Version() })
			},
			OnRecords: func(observed []lentilrecord.Record, forgotten []lentilrecord.Owner) {
				views[i].update(func() { views[i].records += len(observed) - len(forgotten) })
			},
		}
		b.ReadPlatform = func(ctx context.Context, offer lentilcontrol.ConfigurationSink) error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case document := <-offers:
					if err := offer.Offer(document); err != nil {
						t.Error(err)
					}
				}
			}
		}
		if err := b.Start(ctx); err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, b.Address())
		balancers = append(balancers, b)
	}
	var agents [4]lentilcontrol.Agent
	var agentViews [4]observations
	for i := range agents {
		a := &agents[i]
		a.Seeds = seeds
		a.ClientTLS = clientTLS
		a.OnConfiguration = func(c lentilconfig.Configuration) {
			agentViews[i].update(func() { agentViews[i].version = c.Version() })
		}
		a.OnPeers = func(peers []lentilrecord.Record) {
			agentViews[i].update(func() { agentViews[i].peers = len(peers) })
		}
		a.Announce(lentilrecord.Doc{
			Owner:   lentilrecord.Owner{Copy: fmt.Sprintf("iscrizioni-%d", i), Incarnation: lentilid.Incarnation(100 + i)},
			Service: 1,
			Domain:  1,
			Tunnel:  netip.AddrPortFrom(netip.MustParseAddr("127.15.1.1"), uint16(1000+i)),
			Control: netip.AddrPortFrom(netip.MustParseAddr("127.15.1.1"), uint16(2000+i)),
			Phase:   lentilrecord.Ready,
			Weight:  200,
		})
		a.Start(ctx)
	}
	defer func() {
		if t.Failed() {
			for i, b := range balancers {
				status, err := b.Status(true)
				t.Logf("balancer %d: %v, %v, view %d records", i, status, err, views[i].records)
			}
		}
	}()
	for i, b := range balancers {
		eventually(t, fmt.Sprintf("balancer %d ready with 4 records", i), func() bool {
			return b.Ready() && views[i].check(func() bool { return views[i].version == 1 && views[i].records == 4 })
		})
	}
	for i := range agents {
		eventually(t, fmt.Sprintf("agent %d with configuration and 3 peers", i), func() bool {
			return agentViews[i].check(func() bool { return agentViews[i].version == 1 && agentViews[i].peers == 3 })
		})
	}
	next := sampleDocument(2)
	next.Copies[0].Draining = true
	began := time.Now()
	offers <- next
	for i, b := range balancers {
		eventually(t, fmt.Sprintf("balancer %d at version 2", i), func() bool { return b.Version() == 2 })
	}
	for i := range agents {
		eventually(t, fmt.Sprintf("agent %d at version 2", i), func() bool { return agents[i].Version() == 2 })
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("change in force everywhere after %v, bound 2 s", took)
	}
	survey := &lentilcontrol.Survey{Dialer: &lentilcontrol.Dialer{TLS: clientTLS}, Seeds: seeds[:1]}
	defer survey.Dialer.Close()
	eventually(t, "the survey finds version 2 everywhere", func() bool {
		result, err := survey.Run(ctx)
		return err == nil && len(result.Balancers()) == 3 && len(result.Agents()) == 4 && result.InForceEverywhere(2) && !result.InForceEverywhere(3)
	})
	leave, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	agents[0].Leave(leave)
	for i := range balancers {
		eventually(t, fmt.Sprintf("balancer %d without the agent that left", i), func() bool {
			return views[i].check(func() bool { return views[i].records == 3 })
		})
	}
}
