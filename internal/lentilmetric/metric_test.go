package lentilmetric

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func get(t *testing.T, handler http.Handler, path string) (status int, body string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder.Code, recorder.Body.String()
}

func TestScrape(t *testing.T) {
	registry := New("agent")
	registry.Counter(PacketsForwarded).Inc(3)
	registry.Counter(PacketsDropped, "forged").Inc(2)
	registry.Counter(PacketsDropped, "stale").Inc(1)
	registry.Gauge(RequestsInFlight).Update(2)
	if err := registry.Close(); err != nil {
		t.Fatal(err)
	}
	status, body := get(t, Admin{Registry: registry}.Handler(), "/metrics")
	if status != http.StatusOK {
		t.Fatalf("got status %d", status)
	}
	for _, line := range []string{
		`lentilstair_packets_forwarded{role="agent"} 3`,
		`lentilstair_packets_dropped{reason="forged",role="agent"} 2`,
		`lentilstair_packets_dropped{reason="stale",role="agent"} 1`,
		`lentilstair_requests_in_flight{role="agent"} 2`,
	} {
		if !strings.Contains(body, line+"\n") {
			t.Errorf("%s is missing in:\n%s", line, body)
		}
	}
}

func TestPoller(t *testing.T) {
	registry := New("agent")
	var count, increase uint64
	var poller Poller
	poller.AddCounter(registry.Counter(PacketsDropped, "forged"), func() uint64 { return count }, func(by uint64) { increase += by })
	poller.AddGauge(registry.Gauge(RecordsKnown), func() float64 { return 4 })
	for _, count = range []uint64{0, 2, 2, 7} {
		poller.Poll()
	}
	if err := registry.Close(); err != nil {
		t.Fatal(err)
	}
	_, body := get(t, registry.Handler(), "/metrics")
	for _, line := range []string{`lentilstair_packets_dropped{reason="forged",role="agent"} 7`, `lentilstair_records_known{role="agent"} 4`} {
		if !strings.Contains(body, line+"\n") {
			t.Errorf("%s is missing in:\n%s", line, body)
		}
	}
	if increase != 7 {
		t.Errorf("onIncrease got a total of %d, want 7", increase)
	}
}

func TestZeroRegistryCountsNothing(t *testing.T) {
	var registry Registry
	registry.Counter(PacketsDropped, "malformed").Inc(1)
	if status, _ := get(t, registry.Handler(), "/metrics"); status != http.StatusNotFound {
		t.Errorf("got status %d, want 404", status)
	}
	if err := registry.Close(); err != nil {
		t.Error(err)
	}
}

func TestReadyAndLive(t *testing.T) {
	readiness := Readiness{Ready: true}
	handler := Admin{Ready: func() Readiness { return readiness }}.Handler()
	for _, tt := range []struct {
		readiness Readiness
		path      string
		status    int
		body      string
	}{
		{Readiness{Ready: true}, "/ready", http.StatusOK, "ok\n"},
		{Readiness{Reason: "no configuration yet"}, "/ready", http.StatusServiceUnavailable, "no configuration yet\n"},
		{Readiness{Reason: "no configuration yet"}, "/live", http.StatusOK, "ok\n"},
	} {
		readiness = tt.readiness
		if status, body := get(t, handler, tt.path); status != tt.status || body != tt.body {
			t.Errorf("%s of %+v: got %d %q", tt.path, tt.readiness, status, body)
		}
	}
}

func TestServeReturnsWhenCancelled(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- Admin{}.Serve(ctx, listener) }()
	response, err := http.Get("http://" + listener.Addr().String() + "/live")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	cancel()
	select {
	case err = <-served:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("Serve does not return after its context is cancelled")
	}
}

func TestCatalogueIsComplete(t *testing.T) {
	names := make(map[string]bool)
	for i, d := range catalogue {
		if d.name == "" || d.text == "" || d.unit == "" {
			t.Errorf("%s has no name, text or unit", Metric(i))
		}
		if names[d.name] {
			t.Errorf("the name %s is used twice", d.name)
		}
		names[d.name] = true
	}
}
