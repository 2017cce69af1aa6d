package lentilagent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// startRawCopy starts a copy that answers each request with the bytes that answer writes, and then closes the
// connection. It returns the copy's URL.
func startRawCopy(t *testing.T, answer func(conn net.Conn, r *http.Request)) (upstreamURL string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					answer(conn, r)
					if r.Close {
						return
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// record returns the record that the agent of a copy has announced.
func (h *harness) record(t *testing.T, copyName string) (record lentilrecord.Record) {
	t.Helper()
	for range 100 {
		h.mu.Lock()
		for _, r := range h.records {
			if r.Owner().Copy == copyName {
				record = r
			}
		}
		h.mu.Unlock()
		if record.Control().IsValid() {
			return record
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s has announced no record", copyName)
	return record
}

// untilAborted runs a handler. aborted is true if it has reset the caller's stream.
func untilAborted(handle func(w http.ResponseWriter)) (w *httptest.ResponseRecorder, aborted bool) {
	w = httptest.NewRecorder()
	defer func() {
		if fault := recover(); fault != nil {
			if fault != http.ErrAbortHandler { //nolint:errorlint // the value of a panic
				panic(fault)
			}
			aborted = true
		}
	}()
	handle(w)
	return w, false
}

// TestTruncatedAnswers guards against an answer that breaks off at the copy and reaches the caller as a complete one.
func TestTruncatedAnswers(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\npart\r\n"
	tests := []struct {
		name   string
		method string
		answer string
		whole  bool
	}{
		{"shorter than its length", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart", false},
		{"HTTP/1.0, shorter than its length", http.MethodGet, "HTTP/1.0 200 OK\r\nContent-Length: 8\r\n\r\npart", false},
		{"chunked, within a chunk", http.MethodGet, chunked + "8\r\npart", false},
		{"chunked, before the last chunk", http.MethodGet, chunked, false},
		{"chunked, after the last chunk", http.MethodGet, chunked + "0\r\n", false},
		{"chunked, within the trailers", http.MethodGet, chunked + "0\r\nX-Sum: 1\r\n", false},
		{"delimited by close", http.MethodGet, "HTTP/1.1 200 OK\r\n\r\npart", false},
		{"HTTP/1.0, delimited by close", http.MethodGet, "HTTP/1.0 200 OK\r\n\r\npart", false},
		{"delimited by close, empty", http.MethodGet, "HTTP/1.1 200 OK\r\n\r\n", false},
		{"whole, with a length", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", true},
		{"whole, chunked with trailers", http.MethodGet, chunked + "0\r\nX-Sum: 1\r\n\r\n", true},
		{"HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", true},
		{"204", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", true},
		{"304", http.MethodGet, "HTTP/1.1 304 Not Modified\r\n\r\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h, _ := newAgentPair(t)
			var runs atomic.Int64
			upstreamURL := startRawCopy(t, func(conn net.Conn, r *http.Request) {
				runs.Add(1)
				r.Close = true
				_, _ = io.WriteString(conn, tt.answer)
			})
			for _, a := range h.agents {
				a.upstreamURL = upstreamURL
			}
			a, location := h.agents[0], ticketLocation(t, h.agents[0], "/enrol?id=1")
			request := httptest.NewRequest(tt.method, "/work?id=1", nil)
			if w, aborted := untilAborted(func(w http.ResponseWriter) { a.ServeHTTP(w, request) }); aborted == tt.whole {
				t.Errorf("repeatable request: aborted=%t, answer %d %q", aborted, w.Code, w.Body)
			}
			answered := false
			w, aborted := httptest.NewRecorder(), false
			for before, tries := runs.Load(), 0; runs.Load() == before && tries < 100; tries++ {
				time.Sleep(20 * time.Millisecond) // The peer refuses the request while its copy is cold and busy.
				w, aborted = untilAborted(func(w http.ResponseWriter) {
					in := newCallerRequest(request, a.options.Clock.Now())
					answered = a.relayToPeer(w, in, a.newExchange(in, lentilconfig.KindRepeatable, false), h.record(t, "copy-2"))
				})
			}
			if whole := answered && !aborted; whole != tt.whole {
				t.Errorf("relayed request: answered=%t, aborted=%t, answer %d %q", answered, aborted, w.Code, w.Body)
			}
			if tt.method == http.MethodHead {
				return
			}
			w = serveRequest(a, http.MethodPost, location, "booking", nil)
			if (w.Header().Get(HeaderOutcome) == "") != tt.whole {
				t.Errorf("once: answer %d %q %q", w.Code, w.Header().Get(HeaderOutcome), w.Body)
			}
		})
	}
}
