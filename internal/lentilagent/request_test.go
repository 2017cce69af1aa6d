package lentilagent

import (
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilstair.example/lentilstair/internal/lentilstand/upstream"
)

// copyStub is a copy that counts its runs and gives the answer that a test sets.
type copyStub struct {
	runs   atomic.Int64
	header http.Header
	answer func(w http.ResponseWriter, r *http.Request)
}

func (c *copyStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.runs.Add(1)
	c.header = r.Header.Clone()
	if c.answer != nil {
		c.answer(w, r)
		return
	}
	_, _ = io.WriteString(w, "run")
}

// newAgentPair returns a harness with two agents in front of the same copy, which counts the
// runs from both.
func newAgentPair(t *testing.T) (h *harness, stub *copyStub) {
	t.Helper()
	h = newHarness(t, 1, 2, func(o *upstream.Options) { o.WorkDuration = 0 })
	stub = &copyStub{}
	server := httptest.NewServer(stub)
	t.Cleanup(server.Close)
	target, err := url.Parse(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range h.agents {
		a.upstreamURL = "http://" + target.Host
	}
	return h, stub
}

// serveRequest passes a request to an agent as its HTTP/3 server would.
func serveRequest(a *Agent, method, target, body string, header http.Header) (w *httptest.ResponseRecorder) {
	w = httptest.NewRecorder()
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for name, values := range header {
		r.Header[name] = values
	}
	a.ServeHTTP(w, r)
	return w
}

// ticketLocation returns a redirect location with a ticket that the agent has issued. It sends
// the request as a peer would, since a caller might get a ticket of another agent.
func ticketLocation(t *testing.T, a *Agent, target string) (location string) {
	t.Helper()
	w := httptest.NewRecorder()
	for range 100 {
		w = httptest.NewRecorder()
		a.serve(w, httptest.NewRequest(http.MethodPost, target, strings.NewReader("booking")), true)
		if w.Code == http.StatusTemporaryRedirect {
			return w.Header().Get("Location")
		}
		time.Sleep(20 * time.Millisecond) // A cold copy may have no free slot.
	}
	t.Fatalf("agent issued no ticket: %d %v", w.Code, w.Header())
	return ""
}

func decodeRefusal(t *testing.T, w *httptest.ResponseRecorder) (doc OutcomeDoc) {
	t.Helper()
	if err := json.Unmarshal(w.Body.Bytes(), &doc); err != nil {
		t.Fatalf("%d %q: %v", w.Code, w.Body, err)
	}
	if doc.Outcome != w.Header().Get(HeaderOutcome) {
		t.Errorf("outcome is %q in the body and %q in the header", doc.Outcome, w.Header().Get(HeaderOutcome))
	}
	return doc
}

func TestTickets(t *testing.T) {
	h, stub := newAgentPair(t)
	issuer, other := h.agents[0], h.agents[1]
	location := ticketLocation(t, issuer, "/enrol?id=1")
	if n := stub.runs.Load(); n != 0 {
		t.Fatalf("%d runs without a ticket", n)
	}
	for _, a := range []*Agent{issuer, issuer, other, issuer} {
		if w := serveRequest(a, http.MethodPost, location, "booking", nil); w.Code != http.StatusOK || w.Body.String() != "run" {
			t.Errorf("answer %d %q", w.Code, w.Body)
		}
	}
	if n := stub.runs.Load(); n != 1 {
		t.Errorf("%d runs under one ticket", n)
	}
	tests := []struct {
		name     string
		location string
		body     string
		want     OutcomeDoc
	}{
		{"another body", location, "another booking", OutcomeDoc{Outcome: OutcomeNotRun, Reason: reasonTicketMisused}},
		{"another target", strings.Replace(location, "id=1", "id=2", 1), "booking", OutcomeDoc{Outcome: OutcomeNotRun, Reason: reasonTicketMisused}},
		{"forged ticket", location[:len(location)-2] + "xx", "booking", OutcomeDoc{Outcome: OutcomeUnknown, Reason: reasonTicketMalformed}},
		{"body too large", location, strings.Repeat("x", maxOnceBody+1), OutcomeDoc{Outcome: OutcomeNotRun, Reason: reasonTooLarge}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, decodeRefusal(t, serveRequest(issuer, http.MethodPost, tt.location, tt.body, nil))); diff != "" {
				t.Errorf("refusal (-want +got):\n%s", diff)
			}
		})
	}
	unused := ticketLocation(t, issuer, "/enrol?id=3")
	issuer.Close()
	want := OutcomeDoc{Outcome: OutcomeUnknown, Reason: reasonTicketGone}
	for _, l := range []string{location, unused} {
		if diff := cmp.Diff(want, decodeRefusal(t, serveRequest(other, http.MethodPost, l, "booking", nil))); diff != "" {
			t.Errorf("refusal after the issuer has closed (-want +got):\n%s", diff)
		}
	}
	if n := stub.runs.Load(); n != 1 {
		t.Errorf("%d runs after the issuer has closed", n)
	}
}

// TestTicketHandOver has a draining agent delegate a request for which it has issued a ticket
// to a peer.
func TestTicketHandOver(t *testing.T) {
	h, stub := newAgentPair(t)
	issuer, other := h.agents[0], h.agents[1]
	location := ticketLocation(t, issuer, "/enrol?id=1")
	issuer.notify(drainingChanged{draining: true})
	fromCaller := func() (w *httptest.ResponseRecorder) {
		return serveRequest(issuer, http.MethodPost, location, "booking", nil)
	}
	fromPeer := func() (w *httptest.ResponseRecorder) {
		w = httptest.NewRecorder()
		issuer.serve(w, httptest.NewRequest(http.MethodPost, location, strings.NewReader("booking")), true)
		return w
	}
	for range 100 {
		if fromCaller().Code != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(20 * time.Millisecond) // The peer announces its record shortly after its start.
	}
	for _, attempt := range []func() *httptest.ResponseRecorder{fromCaller, fromCaller, fromPeer} {
		if w := attempt(); w.Code != http.StatusOK || w.Body.String() != "run" || w.Header().Get(HeaderCopy) != "copy-2" {
			t.Errorf("answer %d %q %v", w.Code, w.Body, w.Header())
		}
	}
	other.Close()
	if w := fromCaller(); decodeRefusal(t, w).Outcome != OutcomeUnknown {
		t.Errorf("answer %d %q after the peer has closed", w.Code, w.Body)
	}
	if n := stub.runs.Load(); n != 1 {
		t.Errorf("%d runs under one ticket", n)
	}
}

// TestOnceAnswers checks the outcome of requests that may not be repeated when their copy
// misbehaves. Each request is sent twice under the same ticket.
func TestOnceAnswers(t *testing.T) {
	tests := []struct {
		name    string
		answer  func(w http.ResponseWriter, r *http.Request)
		status  int
		outcome string
		runs    int64
	}{
		{"whole", nil, http.StatusOK, "", 1},
		{"error status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }, http.StatusConflict, "", 1},
		{"sheds, no outcome", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, http.StatusServiceUnavailable, "", 1},
		{"closed before the answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, http.StatusGatewayTimeout, OutcomeUnknown, 1},
		{"closed within the answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
			panic(http.ErrAbortHandler)
		}, http.StatusGatewayTimeout, OutcomeUnknown, 1},
		{"sets HeaderOutcome itself", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderOutcome, OutcomeUnknown)
			_, _ = io.WriteString(w, "run")
		}, http.StatusOK, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h, stub := newAgentPair(t)
			stub.answer = tt.answer
			location := ticketLocation(t, h.agents[0], "/enrol?id=1")
			for range 2 {
				w := serveRequest(h.agents[0], http.MethodPost, location, "booking", http.Header{HeaderTimeout: {"2000"}})
				if w.Code != tt.status || w.Header().Get(HeaderOutcome) != tt.outcome {
					t.Errorf("answer %d %q, want %d %q", w.Code, w.Header().Get(HeaderOutcome), tt.status, tt.outcome)
				}
			}
			if n := stub.runs.Load(); n != tt.runs {
				t.Errorf("%d runs, want %d", n, tt.runs)
			}
		})
	}
}

// TestCopyDownIsNotRun checks that a request whose copy can't be reached is answered as not
// run, and that a later attempt under the same ticket runs it.
func TestCopyDownIsNotRun(t *testing.T) {
	h, stub := newAgentPair(t)
	a := h.agents[0]
	upstreamURL := a.upstreamURL
	location := ticketLocation(t, a, "/enrol?id=1")
	a.upstreamURL = "http://127.0.0.1:1"
	if doc := decodeRefusal(t, serveRequest(a, http.MethodPost, location, "booking", http.Header{HeaderTimeout: {"500"}})); doc.Outcome != OutcomeNotRun {
		t.Errorf("refusal %+v", doc)
	}
	a.upstreamURL = upstreamURL
	for range 100 {
		if w := serveRequest(a, http.MethodPost, location, "booking", nil); w.Code == http.StatusOK {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if n := stub.runs.Load(); n != 1 {
		t.Errorf("%d runs", n)
	}
}

func TestForwardedHeaders(t *testing.T) {
	h, stub := newAgentPair(t)
	header := http.Header{
		HeaderTimeout: {"1500"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-End": {"2"},
		headerRelayed: {"203.0.113.1:1"}, "X-Forwarded-For": {"203.0.113.9"},
	}
	if w := serveRequest(h.agents[0], http.MethodGet, "/work?id=1", "", header); w.Code != http.StatusOK || w.Header().Get(HeaderCopy) != "copy-1" {
		t.Fatalf("answer %d %v", w.Code, w.Header())
	}
	if left, ok := parseTimeout(stub.header); !ok || left > 1500*time.Millisecond {
		t.Errorf("%s is %v at the copy", HeaderTimeout, left)
	}
	for name, want := range map[string]string{"X-Hop": "", "Te": "", "X-End": "2", headerRelayed: "", "X-Forwarded-For": "192.0.2.1"} {
		if got := stub.header.Get(name); got != want {
			t.Errorf("%s is %q at the copy, want %q", name, got, want)
		}
	}
}

// TestRelayRequiresRingKey checks that the control address refuses clients without a key of
// the ring.
func TestRelayRequiresRingKey(t *testing.T) {
	h, stub := newAgentPair(t)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}}}
	response, err := client.Get("https://" + h.agents[0].ControlAddress().String() + relayPrefix + "/work?id=1")
	if err == nil {
		_ = response.Body.Close()
		t.Errorf("a client without a key of the ring got %s", response.Status)
	}
	if n := stub.runs.Load(); n != 0 {
		t.Errorf("%d runs", n)
	}
}
