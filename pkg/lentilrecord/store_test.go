package lentilrecord

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

func testDoc(owner lentilid.Incarnation, version uint64) Doc {
	address := netip.AddrPortFrom(netip.MustParseAddr("127.15.9.1"), uint16(owner))
	return Doc{
		Owner: Owner{Copy: fmt.Sprintf("copy-%d", owner), Incarnation: owner}, Version: version, Service: 1, Domain: 1,
		Tunnel: address, Control: address, Phase: Ready, Weight: 200,
	}
}

func changedDoc(d Doc, change func(*Doc)) Doc {
	change(&d)
	return d
}

// TestApplyRejectsInvalidRecords checks that Apply rejects records that no agent could have
// made, and records that give another copy or service for a known incarnation.
func TestApplyRejectsInvalidRecords(t *testing.T) {
	for name, invalid := range map[string]Doc{
		"no copy":         changedDoc(testDoc(1, 9), func(d *Doc) { d.Owner.Copy = "" }),
		"no incarnation":  changedDoc(testDoc(1, 9), func(d *Doc) { d.Owner.Incarnation = 0 }),
		"no version":      changedDoc(testDoc(1, 9), func(d *Doc) { d.Version = 0 }),
		"no service":      changedDoc(testDoc(1, 9), func(d *Doc) { d.Service = 0 }),
		"unknown phase":   changedDoc(testDoc(1, 9), func(d *Doc) { d.Phase = 9 }),
		"no tunnel":       changedDoc(testDoc(1, 9), func(d *Doc) { d.Tunnel = netip.AddrPort{} }),
		"another copy":    changedDoc(testDoc(1, 9), func(d *Doc) { d.Owner.Copy = "copy-2" }),
		"another service": changedDoc(testDoc(1, 9), func(d *Doc) { d.Service = 2 }),
	} {
		t.Run(name, func(t *testing.T) {
			var s Store
			s.SetAttestor(77, Attestor{Owners: []lentilid.Incarnation{1}, Reached: true})
			s.Apply(New(testDoc(1, 1)))
			s.Apply(New(invalid))
			if got := s.LiveRecords(); len(got) != 1 || got[0].Doc() != testDoc(1, 1) || s.RejectedCount() != 1 {
				t.Errorf("live %v, rejected %d", got, s.RejectedCount())
			}
		})
	}
}

// TestLease checks that a lease ends without heartbeats or after a jump of the clock, that
// only new heartbeats renew it, and that a new owner at the same address supersedes it.
func TestLease(t *testing.T) {
	clock := &lentilclock.Fake{}
	s := &Store{Clock: clock}
	ready := New(testDoc(1, 1))
	successor := New(changedDoc(testDoc(2, 1), func(d *Doc) { d.Tunnel = testDoc(1, 1).Tunnel }))
	steps := []struct {
		name         string
		after        time.Duration
		do           func()
		leasedAgents []lentilid.Incarnation
	}{
		{"first heartbeat", 0, func() { s.RenewLease(ready, 1, 0) }, []lentilid.Incarnation{1}},
		{"shortly before the lease ends", 2900 * time.Millisecond, func() {}, []lentilid.Incarnation{1}},
		{"repeated heartbeat does not renew", 0, func() { s.RenewLease(ready, 1, 0) }, []lentilid.Incarnation{1}},
		{"silence", 200 * time.Millisecond, func() {}, nil},
		{"heartbeat after the lease ended", 0, func() { s.RenewLease(ready, 2, 0) }, []lentilid.Incarnation{1}},
		{"clock jumps forward", time.Hour, func() {}, nil},
		{"heartbeat", 0, func() { s.RenewLease(ready, 3, 0) }, []lentilid.Incarnation{1}},
		{"clock jumps back", -time.Hour, func() {}, nil},
		{"heartbeat after the jump back", 0, func() { s.RenewLease(ready, 4, 0) }, []lentilid.Incarnation{1}},
		{"another owner at the same address", 0, func() { s.RenewLease(successor, 1, 0) }, []lentilid.Incarnation{2}},
		{"the superseded owner resumes", 0, func() { s.RenewLease(ready, 5, 0) }, []lentilid.Incarnation{2}},
		{"a Gone record keeps its lease", 0, func() {
			s.RenewLease(New(testDoc(3, 1)), 1, 0)
			s.RenewLease(New(changedDoc(testDoc(3, 2), func(d *Doc) { d.Phase = Gone })), 2, 0)
		},
			[]lentilid.Incarnation{2, 3}},
	}
	for _, step := range steps {
		clock.Advance(step.after)
		s.Expire()
		step.do()
		if diff := cmp.Diff(step.leasedAgents, append([]lentilid.Incarnation(nil), s.LeasedAgents()...)); diff != "" {
			t.Errorf("%s: leases (-want +got):\n%s", step.name, diff)
		}
	}
}

// TestLateHeartbeatBarsLivingAgent guards against a living agent that never gets its lease again, because a heartbeat of an earlier
// agent at its address arrived late.
func TestLateHeartbeatBarsLivingAgent(t *testing.T) {
	for _, c := range []struct {
		name  string
		phase Phase
		// recovery is how long the living agent may be without a lease.
		recovery time.Duration
	}{{"of a ready agent", Ready, 4 * time.Second}, {"of an agent that has ended", Gone, 0}} {
		t.Run(c.name, func(t *testing.T) {
			clock := &lentilclock.Fake{}
			s := &Store{Clock: clock}
			earlier := New(changedDoc(testDoc(1, 1), func(d *Doc) { d.Phase = c.phase }))
			living := New(changedDoc(testDoc(2, 1), func(d *Doc) { d.Tunnel = testDoc(1, 1).Tunnel }))
			s.RenewLease(living, 1, 0)
			s.RenewLease(earlier, 9, 0)
			for beat := range uint64(10) {
				clock.Advance(time.Second)
				s.Expire()
				s.RenewLease(living, beat+2, 0)
				if late := time.Duration(beat+1) * time.Second; late >= c.recovery && !slices.Contains(s.LeasedAgents(), 2) {
					t.Errorf("leases %v, %v after the late heartbeat of agent 1", s.LeasedAgents(), late)
				}
			}
			// The earlier agent is known by now.
			s.RenewLease(earlier, 10, 0)
			if !slices.Contains(s.LeasedAgents(), 2) {
				t.Errorf("leases %v after another late heartbeat of agent 1", s.LeasedAgents())
			}
		})
	}
}

// TestLateHeartbeatsOfSupersededAgent guards against an ended agent that gets a lease again by late heartbeats, because its successor
// at the address has ended too.
func TestLateHeartbeatsOfSupersededAgent(t *testing.T) {
	clock := &lentilclock.Fake{}
	s := &Store{Clock: clock}
	earlier := New(testDoc(1, 1))
	successor := New(changedDoc(testDoc(2, 1), func(d *Doc) { d.Tunnel = testDoc(1, 1).Tunnel }))
	s.RenewLease(earlier, 1, 0)
	clock.Advance(time.Second)
	s.RenewLease(successor, 1, 0)
	for i, step := range []struct {
		after    time.Duration
		sequence uint64
	}{{2500 * time.Millisecond, 2}, {600 * time.Millisecond, 3}, {2 * time.Second, 4}, {4 * time.Second, 5}} {
		for range step.after / (100 * time.Millisecond) {
			clock.Advance(100 * time.Millisecond)
			s.Expire()
		}
		s.RenewLease(earlier, step.sequence, 0)
		if slices.Contains(s.LeasedAgents(), 1) {
			t.Errorf("step %d: leases %v, but agent 1 has ended", i, s.LeasedAgents())
		}
	}
}

// TestStoresConverge checks that the order and number of deliveries do not matter, and that
// comparing version maps finds a record that one of two stores lacks.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stores [2]Store
		owners := []lentilid.Incarnation{1, 2, 3, 4, 5}
		records := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Record {
			return New(testDoc(rapid.SampledFrom(owners).Draw(t, "owner"), rapid.Uint64Range(1, 4).Draw(t, "version")))
		})).Draw(t, "records")
		for i := range stores {
			stores[i].SetAttestor(77, Attestor{Owners: owners, Reached: true})
			for _, r := range rapid.Permutation(append(records, records...)).Draw(t, "order") {
				stores[i].Apply(r)
			}
		}
		if stores[0].Versions().Root() != stores[1].Versions().Root() || len(stores[0].LiveRecords()) != len(stores[1].LiveRecords()) {
			t.Fatal("stores differ after the same records in another order")
		}
		stores[1].Apply(New(testDoc(3, 9)))
		digest := stores[0].Versions().Digest(BucketCount(len(owners)))
		found := false
		for _, row := range stores[1].Versions().DifferingRows(digest, 100) {
			found = found || row == Row{Owner: 3, Rank: 9}
		}
		if !found {
			t.Fatal("the differing rows do not include the newer row")
		}
	})
}

// TestUnattestedRecords checks that records that no balancer attests are neither advertised
// nor live, and that their number is limited.
func TestUnattestedRecords(t *testing.T) {
	s := &Store{Clock: &lentilclock.Fake{}}
	for i := range MaxUnattested + 10 {
		s.Apply(New(changedDoc(testDoc(1, 1), func(d *Doc) { d.Owner.Incarnation = lentilid.Incarnation(i + 1) })))
	}
	if len(s.unattested) > MaxUnattested || s.Versions().Len() != 0 || len(s.LiveRecords()) != 0 {
		t.Errorf("%d unattested, %d advertised, %d live", len(s.unattested), s.Versions().Len(), len(s.LiveRecords()))
	}
}
