package lentilcustody

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

func TestLedger(t *testing.T) {
	former := func(upstream string, born int64) Ledger {
		return Ledger{Service: "a", Address: one, Upstream: upstream, Born: born, Flows: []LedgerFlow{{Key: flowOf(1), Acknowledged: 7}}}
	}
	for _, c := range []struct {
		name   string
		ledger Ledger
		want   string
	}{
		{"the upstream is another one", former("old", 1), "ResetClient UpstreamReplaced 7"},
		{"the upstream has started again", former("u", 0), "ResetClient UpstreamReplaced 7"},
		{"the upstream is the same", former("u", 1), ""},
		{"the ledger is of another address", Ledger{Service: "a", Address: two, Upstream: "old", Flows: []LedgerFlow{{Key: flowOf(1)}}}, ""},
		{"the ledger is of another service", Ledger{Service: "b", Address: one, Upstream: "old", Flows: []LedgerFlow{{Key: flowOf(1)}}}, ""},
		{"there is none", Ledger{}, ""},
	} {
		for _, first := range []string{"ledger", "registration"} {
			t.Run(c.name+", "+first+" first", func(t *testing.T) {
				b := newBench(t)
				b.Address = one
				register := func() []Action {
					return b.Register(Registration{ID: "u", Born: 1, Number: 9, Service: "a"}, nil)
				}
				var actions []Action
				if first == "ledger" {
					actions = append(b.Restore(c.ledger, nil), register()...)
				} else {
					actions = append(register(), b.Restore(c.ledger, nil)...)
				}
				var resets []Action
				for _, a := range actions {
					if a.Verb == ResetClient {
						resets = append(resets, a)
					}
				}
				if got := show(resets); got != c.want {
					t.Errorf("got %q, want %q", got, c.want)
				}
				if same := c.name == "the upstream is the same"; same != (b.Flows() == 1) {
					t.Errorf("%d flows are open", b.Flows())
				}
			})
		}
	}
}

// TestWholeByLedger says when a restarted agent knows that no flow can be open at its upstream.
func TestWholeByLedger(t *testing.T) {
	for _, c := range []struct {
		name   string
		ledger Ledger
		number int64
		whole  bool
	}{
		{"the upstream started with the agent", Ledger{Service: "a", Address: one, Upstream: "old", Born: 1}, 2, true},
		{"the first agent ever", Ledger{}, 3, true},
		{"an earlier run has known the upstream", Ledger{Service: "a", Address: one, Upstream: "u", Born: 1}, 2, false},
		{"the upstream is long there", Ledger{Service: "a", Address: one, Upstream: "old", Born: 1}, 4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.Address = one
			b.Register(Registration{ID: "u", Born: 1, Number: c.number, Service: "a"}, nil)
			if b.Whole {
				t.Error("whole before the ledger is read")
			}
			b.Restore(c.ledger, nil)
			if b.Whole != c.whole {
				t.Errorf("whole: %t, want %t", b.Whole, c.whole)
			}
		})
	}
}

func TestLedgerIsWrittenWhenFlowsChange(t *testing.T) {
	b := newBench(t)
	b.Address = one
	b.register("u")
	if ledger, due := b.Ledger(); !due || ledger.Upstream != "u" || len(ledger.Flows) != 0 {
		t.Errorf("due %t with %+v, want the mark of a new upstream", due, ledger)
	}
	if _, due := b.Ledger(); due {
		t.Error("due without a flow")
	}
	for i := range 3 {
		b.opened(flowOf(i))
	}
	b.clock.Advance(3 * time.Second)
	b.opened(flowOf(9))
	ledger, due := b.Ledger()
	if !due || len(ledger.Flows) != 3 {
		t.Errorf("due %t with %d flows, want the 3 that are old enough", due, len(ledger.Flows))
	}
	if _, due = b.Ledger(); due {
		t.Error("due again at once")
	}
	b.clock.Advance(ledgerInterval)
	if _, due = b.Ledger(); due {
		t.Error("due though nothing has changed")
	}
	flows, err := ParseFlows(ledger.AppendFlows(nil))
	if diff := cmp.Diff(ledger.Flows, flows, cmp.AllowUnexported(lentilflow.Endpoint{}, lentilflow.Key{})); err != nil || diff != "" {
		t.Errorf("%v, -written +read:\n%s", err, diff)
	}
	if _, err = ParseFlows(make([]byte, recordBytes+1)); err == nil {
		t.Error("half a flow is read without an error")
	}
}
