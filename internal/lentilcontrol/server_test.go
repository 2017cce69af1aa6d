package lentilcontrol

import (
	"bytes"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"testing"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb/lentilcontrolpbconnect"
	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// TestInvalidCallsAreRefused sends malformed, oversized and too many calls. They must be refused
// before they reach the actor: the service here has none, and would panic.
func TestInvalidCallsAreRefused(t *testing.T) {
	const proto = "application/proto"
	// A message that is valid except for its size: an unknown field makes it too large.
	oversized := binary.AppendUvarint([]byte{0xfa, 0x07}, maxMessageBytes)
	oversized = append(oversized, make([]byte, maxMessageBytes)...)
	tests := []struct {
		name, method, kind string
		body               []byte
		calls              int
	}{
		{name: "oversized", method: http.MethodPost, kind: proto, body: oversized, calls: 1},
		{name: "truncated", method: http.MethodPost, kind: proto, body: []byte{0x0a, 0x7f, 0x01}, calls: 1},
		{name: "no message", method: http.MethodPost, kind: proto, body: []byte("\xff\xff\xff\xff"), calls: 1},
		{name: "unknown encoding", method: http.MethodPost, kind: "application/octet-stream", calls: 1},
		{name: "unknown method", method: http.MethodDelete, kind: proto, calls: 1},
		{name: "too many", method: http.MethodPost, kind: proto, body: []byte{0x0a, 0x7f}, calls: callsBurst + 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// The fake clock stands still, so the rate limit's bucket doesn't refill during the
			// calls even on a slow machine.
			s := &service{clock: &lentilclock.Fake{}}
			handler := s.handler()
			status := 0
			for range tt.calls {
				w := httptest.NewRecorder()
				r := httptest.NewRequest(tt.method, lentilcontrolpbconnect.ControlServiceAnnounceProcedure, bytes.NewReader(tt.body))
				r.Header.Set("Content-Type", tt.kind)
				handler.ServeHTTP(w, r)
				status = w.Code
			}
			if status < http.StatusBadRequest || s.refused.Load() != uint64(tt.calls) {
				t.Errorf("status %d, %d of %d calls refused", status, s.refused.Load(), tt.calls)
			}
			if tt.calls > 1 && status != http.StatusTooManyRequests {
				t.Errorf("status %d for a call over the rate limit", status)
			}
		})
	}
}
