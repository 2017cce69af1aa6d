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

// copyStub is a copy whose runs are counted and whose answer a test chooses.
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

// newAgentPair returns a path with two agents, both before the same copy, so that a run
// anywhere is counted.
func newAgentPair(t *testing.T) (p *harness, stub *copyStub) {
	t.Helper()
	p = newHarness(t, 1, 2, func(o *upstream.Options) { o.Work = 0 })
	stub = &copyStub{}
	server := httptest.NewServer(stub)
	t.Cleanup(server.Close)
	target, err := url.Parse(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range p.agents {
		a.upstreamURL = "http://" + target.Host
	}
	return p, stub
}

// serveRequest sends a request to an agent as its HTTP/3 server would.
func serveRequest(a *Agent, method, target, body string, header http.Header) (w *httptest.ResponseRecorder) {
	w = httptest.NewRecorder()
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for name, values := range header {
		r.Header[name] = values
	}
	a.ServeHTTP(w, r)
	return w
}

// ticketLocation returns the location with a ticket of an agent. It asks as a peer does,
// since a caller may as well be given a ticket of a peer.
func ticketLocation(t *testing.T, a *Agent, target string) (location string) {
	t.Helper()
	w := httptest.NewRecorder()
	for range 100 {
		w = httptest.NewRecorder()
		a.serve(w, httptest.NewRequest(http.MethodPost, target, strings.NewReader("booking")), true)
		if w.Code == http.StatusTemporaryRedirect {
			return w.Header().Get("Location")
		}
		time.Sleep(20 * time.Millisecond) // A cold copy has no room at times.
	}
	t.Fatalf("no ticket: %d %v", w.Code, w.Header())
	return ""
}

func decodeRefusal(t *testing.T, w *httptest.ResponseRecorder) (doc RefusalDoc) {
	t.Helper()
	if err := json.Unmarshal(w.Body.Bytes(), &doc); err != nil {
		t.Fatalf("%d %q: %v", w.Code, w.Body, err)
	}
	if doc.Outcome != w.Header().Get(HeaderOutcome) {
		t.Errorf("outcome %q in the body, %q in the header", doc.Outcome, w.Header().Get(HeaderOutcome))
	}
	return doc
}

func TestTickets(t *testing.T) {
	p, stub := newAgentPair(t)
	home, other := p.agents[0], p.agents[1]
	location := ticketLocation(t, home, "/enrol?id=1")
	if n := stub.runs.Load(); n != 0 {
		t.Fatalf("%d runs without a ticket", n)
	}
	for _, a := range []*Agent{home, home, other, home} {
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
		want     RefusalDoc
	}{
		{"another body", location, "another booking", RefusalDoc{Outcome: OutcomeNotRun, Reason: reasonTicketMisused}},
		{"another target", strings.Replace(location, "id=1", "id=2", 1), "booking", RefusalDoc{Outcome: OutcomeNotRun, Reason: reasonTicketMisused}},
		{"forged ticket", location[:len(location)-2] + "xx", "booking", RefusalDoc{Outcome: OutcomeNotRun, Reason: reasonTicketMalformed}},
		{"body too large", location, strings.Repeat("x", maxOnceBody+1), RefusalDoc{Outcome: OutcomeNotRun, Reason: reasonTooLarge}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, decodeRefusal(t, serveRequest(home, http.MethodPost, tt.location, tt.body, nil))); diff != "" {
				t.Errorf("refusal (-want +got):\n%s", diff)
			}
		})
	}
	late := ticketLocation(t, home, "/enrol?id=3")
	home.Close()
	want := RefusalDoc{Outcome: OutcomeUnknown, Reason: reasonTicketGone}
	for _, l := range []string{location, late} {
		if diff := cmp.Diff(want, decodeRefusal(t, serveRequest(other, http.MethodPost, l, "booking", nil))); diff != "" {
			t.Errorf("after the home has gone (-want +got):\n%s", diff)
		}
	}
	if n := stub.runs.Load(); n != 1 {
		t.Errorf("%d runs after the home has gone", n)
	}
}

// TestAnswersOnce looks at what becomes of a request that may not be repeated when its
// copy misbehaves. Each is sent twice under the same ticket.
// TestTicketHandOver has an agent that leaves hand a request over that it gave a ticket for.
func TestTicketHandOver(t *testing.T) {
	p, stub := newAgentPair(t)
	home, other := p.agents[0], p.agents[1]
	location := ticketLocation(t, home, "/enrol?id=1")
	home.notify(drainingChanged{draining: true})
	direct := func() (w *httptest.ResponseRecorder) {
		return serveRequest(home, http.MethodPost, location, "booking", nil)
	}
	third := func() (w *httptest.ResponseRecorder) {
		w = httptest.NewRecorder()
		home.serve(w, httptest.NewRequest(http.MethodPost, location, strings.NewReader("booking")), true)
		return w
	}
	for range 100 {
		if direct().Code != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(20 * time.Millisecond) // The peer's record comes a little after its start.
	}
	for _, attempt := range []func() *httptest.ResponseRecorder{direct, direct, third} {
		if w := attempt(); w.Code != http.StatusOK || w.Body.String() != "run" || w.Header().Get(HeaderCopy) != "copy-2" {
			t.Errorf("answer %d %q %v", w.Code, w.Body, w.Header())
		}
	}
	other.Close()
	if w := direct(); decodeRefusal(t, w).Outcome != OutcomeUnknown {
		t.Errorf("answer %d %q after the peer has gone", w.Code, w.Body)
	}
	if n := stub.runs.Load(); n != 1 {
		t.Errorf("%d runs under one ticket", n)
	}
}

func TestOnceAnswers(t *testing.T) {
	tests := []struct {
		name    string
		answer  func(w http.ResponseWriter, r *http.Request)
		status  int
		outcome string
		runs    int64
	}{
		{"whole", nil, http.StatusOK, "", 1},
		{"error of its own", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }, http.StatusConflict, "", 1},
		{"sheds without a word", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, http.StatusServiceUnavailable, "", 1},
		{"cut before the answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, http.StatusGatewayTimeout, OutcomeUnknown, 1},
		{"cut within the answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
			panic(http.ErrAbortHandler)
		}, http.StatusGatewayTimeout, OutcomeUnknown, 1},
		{"claims an outcome", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderOutcome, OutcomeUnknown)
			_, _ = io.WriteString(w, "run")
		}, http.StatusOK, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p, stub := newAgentPair(t)
			stub.answer = tt.answer
			location := ticketLocation(t, p.agents[0], "/enrol?id=1")
			for range 2 {
				w := serveRequest(p.agents[0], http.MethodPost, location, "booking", http.Header{HeaderTimeout: {"2000"}})
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

// TestCopyDownIsNotRun shows that a request whose copy could not be reached is said
// not to have run, and is run later under the same ticket.
func TestCopyDownIsNotRun(t *testing.T) {
	p, stub := newAgentPair(t)
	a := p.agents[0]
	up := a.upstreamURL
	location := ticketLocation(t, a, "/enrol?id=1")
	a.upstreamURL = "http://127.0.0.1:1"
	if doc := decodeRefusal(t, serveRequest(a, http.MethodPost, location, "booking", http.Header{HeaderTimeout: {"500"}})); doc.Outcome != OutcomeNotRun {
		t.Errorf("refusal %+v", doc)
	}
	a.upstreamURL = up
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
	p, stub := newAgentPair(t)
	header := http.Header{
		HeaderTimeout: {"1500"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-End": {"2"},
		headerRelayed: {"203.0.113.1:1"}, "X-Forwarded-For": {"203.0.113.9"},
	}
	if w := serveRequest(p.agents[0], http.MethodGet, "/work?id=1", "", header); w.Code != http.StatusOK || w.Header().Get(HeaderCopy) != "copy-1" {
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

// TestRelayRequiresRingKey shows that the control address serves nobody without a
// key of the ring.
func TestRelayRequiresRingKey(t *testing.T) {
	p, stub := newAgentPair(t)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}}}
	response, err := client.Get("https://" + p.agents[0].ControlAddress().String() + relayPrefix + "/work?id=1")
	if err == nil {
		_ = response.Body.Close()
		t.Errorf("a stranger got %s", response.Status)
	}
	if n := stub.runs.Load(); n != 0 {
		t.Errorf("%d runs", n)
	}
}
