package lentilagent

import (
	"sync/atomic"
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilstand/caller"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

// TestRestartedAgentResets ends an agent abruptly and starts another one at its address.
// Callers with flows of the first agent must receive a stateless reset, and not wait for
// their idle timeout. Their further requests must be answered.
func TestRestartedAgentResets(t *testing.T) {
	h := newHarness(t, 2, 1, nil)
	var doneBefore atomic.Uint64
	time.AfterFunc(faultTestDuration/2, func() {
		doneBefore.Store(h.copies[0].State().Completed)
		options := h.agents[0].options
		_ = h.agents[0].tunnelConn.Close()
		h.agents[0].Close()
		options.Incarnation = lentilid.Incarnation(999)
		a, err := New(options)
		if err != nil {
			t.Error(err)
			return
		}
		h.mu.Lock()
		clear(h.records)
		h.agents = append(h.agents, a)
		h.mu.Unlock()
		h.configure(func(*lentilconfig.Document) {})
	})
	h.runCallers(2*faultTestDuration, func(o *caller.Options) { o.Retries, o.Streams = 0, 0 })
	if h.agents[len(h.agents)-1].Count(Stale) == 0 {
		t.Error("no packet of a flow of the first agent reached the new agent")
	}
	if doneAfter := h.copies[0].State().Completed; doneAfter <= doneBefore.Load() {
		t.Errorf("%d requests ran before the restart, and none after it", doneBefore.Load())
	}
}
