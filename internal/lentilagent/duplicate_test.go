package lentilagent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestDuplicateAnswers guards against a copy's second or late answer that reaches the next caller. Every answer carries the
// query of its own request.
func TestDuplicateAnswers(t *testing.T) {
	answer := func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.RawQuery), r.URL.RawQuery)
	}
	write := func(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }
	tests := []struct {
		name   string
		answer func(conn net.Conn, r *http.Request, previous string)
	}{
		{"the answer twice in one segment", func(conn net.Conn, r *http.Request, _ string) { write(conn, answer(r)+answer(r)) }},
		{"the answer again just before the next one", func(conn net.Conn, r *http.Request, previous string) {
			write(conn, previous)
			write(conn, answer(r))
		}},
		{"more bytes than the length", func(conn net.Conn, r *http.Request, _ string) {
			write(conn, answer(r)+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		}},
		{"an answer with 204 and a body", func(conn net.Conn, r *http.Request, _ string) {
			if r.URL.Query().Get("empty") != "" {
				write(conn, "HTTP/1.1 204 No Content\r\n\r\n"+answer(r))
				return
			}
			write(conn, answer(r))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h, _ := newAgentPair(t)
			var mu sync.Mutex
			previous := make(map[net.Conn]string)
			upstreamURL := startRawCopy(t, func(conn net.Conn, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				tt.answer(conn, r, previous[conn])
				previous[conn] = answer(r)
			})
			for _, a := range h.agents {
				a.upstreamURL = upstreamURL
			}
			for n := range 200 {
				target := fmt.Sprintf("/work?id=%d", n)
				if n%2 == 0 {
					target += "&empty=1"
				}
				w := serveRequest(h.agents[0], http.MethodGet, target, "", nil)
				if w.Code == http.StatusServiceUnavailable {
					time.Sleep(time.Millisecond) // A cold copy may have no free slot.
					continue
				}
				if body := w.Body.String(); w.Code == http.StatusOK && "/work?"+body != target {
					t.Fatalf("request %d (%s) got the answer %q", n, target, body)
				}
			}
		})
	}
}
