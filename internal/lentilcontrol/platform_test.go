package lentilcontrol_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/internal/lentilreader"
	"lentilstair.example/lentilstair/internal/lentilstand/platform"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// writeConfiguration writes a document to the platform in the same order as lentilapply: first
// the shards, then the head. It updates the previous head, or creates one if previous is zero.
func writeConfiguration(t *testing.T, client *lentilplatform.Client, document lentilconfig.Document, previous lentilplatform.Object) lentilplatform.Object {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	head, shards, err := lentilconfig.Split(document)
	if err != nil {
		t.Fatal(err)
	}
	for _, shard := range shards {
		body, err := shard.ObjectBody("")
		if err != nil {
			t.Fatal(err)
		}
		object := lentilplatform.NewObject(lentilplatform.KindShard, string(shard.Name()), body)
		if _, err = client.Create(ctx, object); err != nil {
			t.Fatal(err)
		}
	}
	body, err := json.Marshal(lentilconfig.HeadObjectDoc{HeadDoc: head})
	if err != nil {
		t.Fatal(err)
	}
	if previous.ResourceVersion() == "" {
		previous, err = client.Create(ctx, lentilplatform.NewObject(lentilplatform.KindHead, lentilconfig.HeadObjectName, body))
	} else {
		previous, err = client.Update(ctx, previous.WithBody(body))
	}
	if err != nil {
		t.Fatal(err)
	}
	return previous
}

// TestPlatformOutage starts a balancer while the platform is down, which must get the
// configuration from its peers. Then the platform comes back with older data, which must not
// replace the configuration in force.
func TestPlatformOutage(t *testing.T) {
	server := &platform.Server{Unlimited: true}
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &lentilplatform.Client{BaseURL: httpServer.URL, HTTPClient: &http.Client{Transport: transport}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var seeds []netip.AddrPort
	start := func() *lentilcontrol.Balancer {
		b := &lentilcontrol.Balancer{
			Listen:       netip.MustParseAddrPort("127.0.0.1:0"),
			Domain:       "palermo",
			Seeds:        seeds,
			ReadPlatform: (&lentilreader.Reader{Client: client}).Read,
		}
		if err := b.Start(ctx); err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, b.Address())
		return b
	}
	head := writeConfiguration(t, client, sampleDocument(1), lentilplatform.Object{})
	server.SaveSnapshot()
	balancers := []*lentilcontrol.Balancer{start(), start()}
	expectVersion := func(version uint64) {
		t.Helper()
		for i, b := range balancers {
			eventually(t, fmt.Sprintf("balancer %d ready at version %d", i, version), func() bool {
				return b.Ready() && b.Version() == version
			})
		}
	}
	expectVersion(1)
	next := sampleDocument(2)
	next.Copies[1].Draining = true
	writeConfiguration(t, client, next, head)
	expectVersion(2)

	server.SetFaults(platform.FaultsDoc{Down: true})
	server.AbortWatches()
	newcomer := start()
	if newcomer.Ready() {
		t.Error("a balancer without a configuration is ready")
	}
	balancers = append(balancers, newcomer)
	expectVersion(2)

	server.RestoreSnapshot()
	server.SetFaults(platform.FaultsDoc{})
	before := server.Calls()
	eventually(t, "a reader reads the old data", func() bool { return server.Calls().Watches > before.Watches })
	time.Sleep(200 * time.Millisecond)
	expectVersion(2)
}
