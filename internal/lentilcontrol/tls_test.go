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

// observations holds what the callbacks of a balancer or agent reported.
type observations struct {
	mu      sync.Mutex
	version uint64
	records int
	peers   int
}

func (o *observations) update(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
}

func (o *observations) check(query func() bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
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

func eventually(t *testing.T, want string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(8 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not met in time: %s", want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestControlOverTLS runs three balancers and four agents over TLS on loopback. Records and
// configuration must reach all of them, and a change must be in force everywhere within 2 s.
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
	documents := make(chan lentilconfig.Document, 8)
	documents <- sampleDocument(1)
	var seeds []netip.AddrPort
	var balancers []*lentilcontrol.Balancer
	var balancerViews [3]observations
	for i := range 3 {
		b := &lentilcontrol.Balancer{
			Listen:    netip.MustParseAddrPort("127.0.0.1:0"),
			Domain:    "palermo",
			Seeds:     seeds,
			ServerTLS: serverTLS,
			ClientTLS: clientTLS,
			OnConfiguration: func(c lentilconfig.Configuration) {
				balancerViews[i].update(func() { balancerViews[i].version = c.Version() })
			},
			OnRecords: func(observed []lentilrecord.Record, forgotten []lentilrecord.Owner) {
				balancerViews[i].update(func() { balancerViews[i].records += len(observed) - len(forgotten) })
			},
		}
		b.ReadPlatform = func(ctx context.Context, sink lentilcontrol.ConfigurationSink) error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case document := <-documents:
					if err := sink.Offer(document); err != nil {
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
				t.Logf("balancer %d: %v, %v, view %d records", i, status, err, balancerViews[i].records)
			}
		}
	}()
	for i, b := range balancers {
		eventually(t, fmt.Sprintf("balancer %d ready with 4 records", i), func() bool {
			return b.Ready() && balancerViews[i].check(func() bool { return balancerViews[i].version == 1 && balancerViews[i].records == 4 })
		})
	}
	for i := range agents {
		eventually(t, fmt.Sprintf("agent %d with configuration and 3 peers", i), func() bool {
			return agentViews[i].check(func() bool { return agentViews[i].version == 1 && agentViews[i].peers == 3 })
		})
	}
	next := sampleDocument(2)
	next.Copies[0].Draining = true
	startedAt := time.Now()
	documents <- next
	for i, b := range balancers {
		eventually(t, fmt.Sprintf("balancer %d at version 2", i), func() bool { return b.Version() == 2 })
	}
	for i := range agents {
		eventually(t, fmt.Sprintf("agent %d at version 2", i), func() bool { return agents[i].Version() == 2 })
	}
	if elapsed := time.Since(startedAt); elapsed > 2*time.Second {
		t.Errorf("change in force everywhere after %v, bound 2 s", elapsed)
	}
	survey := &lentilcontrol.Survey{Dialer: &lentilcontrol.Dialer{TLS: clientTLS}, Seeds: seeds[:1]}
	defer survey.Dialer.Close()
	eventually(t, "the survey finds version 2 everywhere", func() bool {
		result, err := survey.Run(ctx)
		return err == nil && len(result.Balancers()) == 3 && len(result.Agents()) == 4 && result.InForceEverywhere(2) && !result.InForceEverywhere(3)
	})
	leaveCtx, cancelLeave := context.WithTimeout(ctx, time.Second)
	defer cancelLeave()
	agents[0].Leave(leaveCtx)
	for i := range balancers {
		eventually(t, fmt.Sprintf("balancer %d without the agent that left", i), func() bool {
			return balancerViews[i].check(func() bool { return balancerViews[i].records == 3 })
		})
	}
}
