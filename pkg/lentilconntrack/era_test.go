package lentilconntrack

import (
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilera"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilledger"
)

// TestDomainStateOfNewEra checks which state of the failure domain counts after the store has returned from an older
// copy, in which revisions are lower.
func TestDomainStateOfNewEra(t *testing.T) {
	type step struct {
		after         time.Duration
		era, revision uint64
		out, want     bool
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"a newer state of a new era counts, although its revision is lower", []step{{0, 1, 90, false, false}, {0, 2, 7, true, true}}},
		{"an older era doesn't count any more", []step{{0, 2, 7, true, true}, {time.Minute, 1, 90, false, true}}},
		{"a domain stays out until the store has settled", []step{
			{0, 1, 90, true, true}, {0, 2, 7, false, true}, {time.Second, 2, 8, false, true}, {time.Second, 2, 9, false, false},
		}},
		{"a domain that is out again by then stays out", []step{
			{0, 1, 90, true, true}, {0, 2, 7, false, true}, {time.Second, 2, 9, true, true}, {time.Second, 2, 9, true, true},
		}},
		{"a domain that is brought back later counts at once", []step{
			{0, 1, 90, true, true}, {0, 2, 7, true, true}, {time.Second, 2, 8, false, false},
		}},
		{"without eras the highest revision counts", []step{{0, 0, 90, true, true}, {0, 0, 80, false, true}, {0, 0, 91, false, false}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			for i, s := range c.steps {
				h.clock.Advance(s.after)
				h.HandleHello(peer1, lentilflow.Hello{
					Store: lentilflow.StoreState{Era: s.era}, DomainState: lentilflow.DomainState{AsOf: s.revision, Out: s.out},
				}, nil)
				if h.Out() != s.want {
					t.Errorf("step %d: out of service: %t", i, h.Out())
				}
			}
		})
	}
}

// TestMissingLedgerOfReturnedStore checks what a restarted agent concludes if it finds no ledger of its upstream's run
// in a store that may have returned from an older copy.
func TestMissingLedgerOfReturnedStore(t *testing.T) {
	earlierRun := lentilledger.Ledger{Service: "a", Address: peer1, UpstreamID: "old", UpstreamIncarnation: 1}
	earlierEra := earlierRun
	earlierEra.Era = 1
	sameEra := earlierRun
	sameEra.Era = 2
	hello := func(era uint64, age time.Duration) lentilflow.Hello {
		return lentilflow.Hello{Store: lentilflow.StoreState{Era: era, EraAge: age}}
	}
	for _, c := range []struct {
		name   string
		ledger lentilledger.Ledger
		hello  lentilflow.Hello
		want   bool
	}{
		{"the ledger of an earlier run is of this era", sameEra, lentilflow.Hello{}, true},
		{"the ledger of an earlier run is of an earlier era", earlierEra, lentilflow.Hello{}, false},
		{"the ledger of an earlier run doesn't tell its era", earlierRun, lentilflow.Hello{}, false},
		{"there is no ledger", lentilledger.Ledger{}, lentilflow.Hello{}, false},
		{"there is no ledger, and the era is older than the upstream", lentilledger.Ledger{}, hello(2, time.Minute), true},
		{"there is no ledger, and the era may be younger than the upstream", lentilledger.Ledger{}, hello(2, 3*time.Second), false},
		{"there is no ledger, and another era is older than the upstream", lentilledger.Ledger{}, hello(1, time.Minute), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.Address = peer1
			h.Start()
			h.clock.Advance(1300 * time.Millisecond)
			h.Register(Registration{ID: "u", Incarnation: h.createdAt.UnixMilli(), Sequence: 2, Service: "a"}, nil)
			h.Restore(c.ledger, 2, nil)
			h.HandleHello(peer1, c.hello, nil)
			if h.FlowsComplete != c.want {
				t.Errorf("FlowsComplete: %t", h.FlowsComplete)
			}
		})
	}
}

// TestRunMarkerThatFailed checks that a run marker that could not be stored is due again, as long as a later run of the
// agent might draw a conclusion from its absence, and that other ledgers aren't.
func TestRunMarkerThatFailed(t *testing.T) {
	h := newHarness(t)
	h.Address = peer1
	h.register("u")
	if h.RunMarkerDue() {
		t.Error("due without a flow")
	}
	h.openFlow(flowKey(1))
	if !h.RunMarkerDue() {
		t.Error("not due with the first flow")
	}
	marker, _ := h.DueLedger()
	if h.RunMarkerDue() {
		t.Error("due twice")
	}
	h.LedgerFailed(marker)
	if !h.RunMarkerDue() {
		t.Error("not due after it could not be stored")
	}
	h.DueLedger()
	listed := marker
	listed.Flows = []lentilledger.Flow{{Key: flowKey(1)}}
	h.LedgerFailed(listed)
	if h.RunMarkerDue() {
		t.Error("due after a ledger with flows could not be stored")
	}
	for range maxStartupSequence {
		h.register("u")
	}
	h.LedgerFailed(marker)
	if h.RunMarkerDue() {
		t.Error("due although the upstream has been registering for longer")
	}
}

// TestRenewLedger checks that the run marker is due again after the store has returned from an older copy.
func TestRenewLedger(t *testing.T) {
	h := newHarness(t)
	h.Address = peer1
	h.register("u")
	h.openFlow(flowKey(1))
	if _, due := h.DueLedger(); !due {
		t.Fatal("the run marker isn't due")
	}
	if _, due := h.DueLedger(); due {
		t.Fatal("the run marker is due twice")
	}
	h.RenewLedger()
	if ledger, due := h.DueLedger(); !due || ledger.UpstreamID != "u" {
		t.Errorf("after the return: due %t, %+v", due, ledger)
	}
	h.clock.Advance(lentilera.SettleTime)
	if ledger, due := h.DueLedger(); !due || len(ledger.Flows) != 1 {
		t.Errorf("after the return: due %t with %d flows, want the open one", due, len(ledger.Flows))
	}
}
