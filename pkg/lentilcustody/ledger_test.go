package lentilcustody

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

func TestRestoreLedger(t *testing.T) {
	former := func(upstream string, born int64) Ledger {
		return Ledger{Service: "a", Address: peer1, UpstreamID: upstream, UpstreamIncarnation: born, Flows: []LedgerFlow{{Key: flowKey(1), Acknowledged: 7}}}
	}
	for _, c := range []struct {
		name   string
		ledger Ledger
		want   string
	}{
		{"the upstream is another one", former("old", 1), "ResetClient UpstreamReplaced 7"},
		{"the upstream has started again", former("u", 0), "ResetClient UpstreamReplaced 7"},
		{"the upstream is the same", former("u", 1), ""},
		{"the ledger is of another address", Ledger{Service: "a", Address: peer2, UpstreamID: "old", Flows: []LedgerFlow{{Key: flowKey(1)}}}, ""},
		{"the ledger is of another service", Ledger{Service: "b", Address: peer1, UpstreamID: "old", Flows: []LedgerFlow{{Key: flowKey(1)}}}, ""},
		{"there is none", Ledger{}, ""},
	} {
		for _, first := range []string{"ledger", "registration"} {
			t.Run(c.name+", "+first+" first", func(t *testing.T) {
				b := newHarness(t)
				b.Address = peer1
				register := func() []Action {
					return b.Register(Registration{ID: "u", Incarnation: 1, Sequence: 9, Service: "a"}, nil)
				}
				var actions []Action
				if first == "ledger" {
					actions = append(b.Restore(c.ledger, nil), register()...)
				} else {
					actions = append(register(), b.Restore(c.ledger, nil)...)
				}
				var resets []Action
				for _, a := range actions {
					if a.Kind == ResetClient {
						resets = append(resets, a)
					}
				}
				if got := formatActions(resets); got != c.want {
					t.Errorf("got %q, want %q", got, c.want)
				}
				if same := c.name == "the upstream is the same"; same != (b.OpenFlows() == 1) {
					t.Errorf("%d flows are open", b.OpenFlows())
				}
			})
		}
	}
}

// TestFlowsCompleteAfterRestore says when a restarted agent knows that no flow can be open at its upstream.
func TestFlowsCompleteAfterRestore(t *testing.T) {
	for _, c := range []struct {
		name   string
		ledger Ledger
		number int64
		whole  bool
	}{
		{"the upstream started with the agent", Ledger{Service: "a", Address: peer1, UpstreamID: "old", UpstreamIncarnation: 1}, 2, true},
		{"the first agent ever", Ledger{}, 3, true},
		{"an earlier run has known the upstream", Ledger{Service: "a", Address: peer1, UpstreamID: "u", UpstreamIncarnation: 1}, 2, false},
		{"the upstream is long there", Ledger{Service: "a", Address: peer1, UpstreamID: "old", UpstreamIncarnation: 1}, 4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t)
			b.Address = peer1
			b.Register(Registration{ID: "u", Incarnation: 1, Sequence: c.number, Service: "a"}, nil)
			if b.FlowsComplete {
				t.Error("whole before the ledger is read")
			}
			b.Restore(c.ledger, nil)
			if b.FlowsComplete != c.whole {
				t.Errorf("whole: %t, want %t", b.FlowsComplete, c.whole)
			}
		})
	}
}

func TestDueLedger(t *testing.T) {
	b := newHarness(t)
	b.Address = peer1
	b.register("u")
	if ledger, due := b.DueLedger(); !due || ledger.UpstreamID != "u" || len(ledger.Flows) != 0 {
		t.Errorf("due %t with %+v, want the mark of a new upstream", due, ledger)
	}
	if _, due := b.DueLedger(); due {
		t.Error("due without a flow")
	}
	for i := range 3 {
		b.openFlow(flowKey(i))
	}
	b.clock.Advance(3 * time.Second)
	b.openFlow(flowKey(9))
	ledger, due := b.DueLedger()
	if !due || len(ledger.Flows) != 3 {
		t.Errorf("due %t with %d flows, want the 3 that are old enough", due, len(ledger.Flows))
	}
	if _, due = b.DueLedger(); due {
		t.Error("due again at once")
	}
	b.clock.Advance(minLedgerInterval)
	if _, due = b.DueLedger(); due {
		t.Error("due though nothing has changed")
	}
	flows, err := ParseFlows(ledger.AppendFlows(nil))
	if diff := cmp.Diff(ledger.Flows, flows, cmp.AllowUnexported(lentilflow.Endpoint{}, lentilflow.Key{})); err != nil || diff != "" {
		t.Errorf("%v, -written +read:\n%s", err, diff)
	}
	if _, err = ParseFlows(make([]byte, flowRecordSize+1)); err == nil {
		t.Error("half a flow is read without an error")
	}
}
