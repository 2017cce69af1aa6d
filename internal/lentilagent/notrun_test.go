package lentilagent

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

// replaceAgent closes an agent and starts another one, not yet configured, at its addresses.
func replaceAgent(t *testing.T, a *Agent, service lentilid.Service) (next *Agent) {
	t.Helper()
	a.Close()
	options := a.options
	options.Incarnation, options.Service, options.Announce = 999, service, func(lentilrecord.Doc) {}
	next, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Close)
	next.upstreamURL = a.upstreamURL
	return next
}

// withRules returns a configuration of two services whose requests have the given kind.
func (h *harness) withRules(t *testing.T, kind string) (configuration lentilconfig.Configuration) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	document := h.document
	service := document.Services[0]
	service.Rules = []lentilconfig.RuleDoc{{Prefix: "/", Kind: kind}}
	other := service
	other.Name, other.Number = "mensa", testService+1
	other.Address = h.balancers[0].TunnelAddress()
	document.Services = []lentilconfig.ServiceDoc{service, other}
	configuration, err := lentilconfig.New(document)
	if err != nil {
		t.Fatal(err)
	}
	return configuration
}

// TestNotRunIsTrueUnderTicket runs a request under its ticket and repeats it when the agents no longer know that. It
// guards against a second run, and against a refusal that says "not run".
func TestNotRunIsTrueUnderTicket(t *testing.T) {
	tests := []struct {
		name string
		// change brings the circumstances about and returns the agents that get further attempts.
		change func(t *testing.T, h *harness) []*Agent
		body   io.Reader
	}{
		{name: "the key of the ticket was withdrawn", change: func(t *testing.T, h *harness) []*Agent {
			ring, err := lentilkey.New([]lentilkey.KeyDoc{{ID: 2, Secret: []byte("the secret that replaced it")}})
			if err != nil {
				t.Fatal(err)
			}
			keys, err := ring.Derive(lentilkey.Ticket, ticketKeyBytes)
			if err != nil {
				t.Fatal(err)
			}
			for _, a := range h.agents {
				a.ticketKeys = lentilticket.Ring{{ID: keys[0].ID(), Secret: keys[0].Bytes()}}
			}
			return h.agents
		}},
		{name: "the agent was restarted and has no configuration", change: func(t *testing.T, h *harness) []*Agent {
			return []*Agent{h.agents[1], replaceAgent(t, h.agents[0], testService)}
		}},
		{name: "an agent of another service without a configuration took the address", change: func(t *testing.T, h *harness) []*Agent {
			return []*Agent{h.agents[1], replaceAgent(t, h.agents[0], testService+1)}
		}},
		{name: "an agent of another service, which may repeat it, took the address", change: func(t *testing.T, h *harness) []*Agent {
			next := replaceAgent(t, h.agents[0], testService+1)
			next.Configure(h.withRules(t, "repeatable"))
			return []*Agent{h.agents[1], next}
		}},
		{name: "the rules say that it may be repeated", change: func(t *testing.T, h *harness) []*Agent {
			configuration := h.withRules(t, "repeatable")
			for _, a := range h.agents {
				a.Configure(configuration)
			}
			return h.agents
		}},
		{name: "the body breaks off", change: func(_ *testing.T, h *harness) []*Agent { return h.agents }, body: io.MultiReader(strings.NewReader("book"), brokenReader{})},
		{name: "the caller has changed the ticket", change: func(_ *testing.T, h *harness) []*Agent { return h.agents }, body: nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h, stub := newAgentPair(t)
			location := ticketLocation(t, h.agents[0], "/enrol?id=1")
			if w := serveRequest(h.agents[0], http.MethodPost, location, "booking", nil); w.Body.String() != "run" {
				t.Fatalf("first attempt: %d %q", w.Code, w.Body)
			}
			if strings.HasPrefix(tt.name, "the caller") {
				location = location[:len(location)-2] + "xx"
			}
			for _, a := range tt.change(t, h) {
				body := tt.body
				if body == nil {
					body = strings.NewReader("booking")
				}
				w := httptest.NewRecorder()
				a.ServeHTTP(w, httptest.NewRequest(http.MethodPost, location, body))
				if outcome := w.Header().Get(HeaderOutcome); outcome != OutcomeUnknown && (outcome != "" || w.Body.String() != "run") {
					t.Errorf("further attempt at %s: %d %q %q", a.options.Copy, w.Code, outcome, w.Body)
				}
			}
			if n := stub.runs.Load(); n != 1 {
				t.Errorf("%d runs", n)
			}
		})
	}
}

// brokenReader is a body that breaks off.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestRelayToOtherService guards against a request that is relayed to the address of an agent which has ended, and runs at
// the copy of another service whose agent has that address now.
func TestRelayToOtherService(t *testing.T) {
	h, stub := newAgentPair(t)
	record := h.record(t, "copy-2")
	next := replaceAgent(t, h.agents[1], testService+1)
	next.Configure(h.withRules(t, "repeatable"))
	a := h.agents[0]
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		in := newCallerRequest(httptest.NewRequest(method, "/work?id=1", nil), a.options.Clock.Now())
		w := httptest.NewRecorder()
		if a.relayToPeer(w, in, a.newExchange(in, lentilconfig.KindRepeatable, false), record) {
			t.Errorf("%s: relayed, answer %d %q", method, w.Code, w.Body)
		}
	}
	if n := stub.runs.Load(); n != 0 {
		t.Errorf("%d runs at the copy of another service", n)
	}
}
