package lentilagent

import (
	"sync/atomic"
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilstand/caller"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

// TestRestartedAgentResets lets an agent die without a word and another one start at
// its address. Callers with flows of the dead one must learn of it at once, not by
// their idle timeout, and their further requests must be answered.
func TestRestartedAgentResets(t *testing.T) {
	p := newHarness(t, 2, 1, nil)
	var before atomic.Uint64
	time.AfterFunc(faultTestDuration/2, func() {
		before.Store(p.copies[0].State().Done)
		options := p.agents[0].options
		_ = p.agents[0].tunnelConn.Close()
		p.agents[0].Close()
		options.Incarnation = lentilid.Incarnation(999)
		a, err := New(options)
		if err != nil {
			t.Error(err)
			return
		}
		p.mu.Lock()
		clear(p.records)
		p.agents = append(p.agents, a)
		p.mu.Unlock()
		p.configure(func(*lentilconfig.Document) {})
	})
	p.runCallers(2*faultTestDuration, func(o *caller.Options) { o.Attempts, o.Streams = 0, 0 })
	if p.agents[len(p.agents)-1].Count(Stale) == 0 {
		t.Error("no packet of a dead flow reached the new agent")
	}
	if after := p.copies[0].State().Done; after <= before.Load() {
		t.Errorf("%d requests were run before the restart, and none after it", before.Load())
	}
}
