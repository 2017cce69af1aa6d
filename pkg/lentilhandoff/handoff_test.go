package lentilhandoff

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

const outDomain = lentilid.Domain(9)

// peerDoc returns the record of a copy with a capacity of two slots.
func peerDoc(name string, load uint16) lentilrecord.Doc {
	return lentilrecord.Doc{
		Owner: lentilrecord.Owner{Copy: name, Incarnation: 1}, Version: 1, Service: 1, Domain: 1,
		Tunnel: netip.MustParseAddrPort("10.0.0.1:1"), Phase: lentilrecord.Ready, Weight: 200, Load: load,
	}
}

func newChooser(clock lentilclock.Clock, docs ...lentilrecord.Doc) *Chooser {
	random := rand.New(rand.NewPCG(1, 1))
	c := &Chooser{
		Clock: clock, Random: random.Float64, Self: lentilrecord.Owner{Copy: "self", Incarnation: 1},
		Out: func(d lentilid.Domain) bool { return d == outDomain },
	}
	for _, d := range docs {
		c.ApplyRecord(lentilrecord.New(d))
	}
	return c
}

// Loads of the own copy.
var (
	fullLoad = Load{Smoothed: 200, Demand: 200, Capacity: 200}
	idleLoad = Load{Smoothed: 20, Demand: 0, Capacity: 200}
)

func TestUsablePeers(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(d *lentilrecord.Doc)
		age    time.Duration
		want   bool
	}{
		{"idle", func(*lentilrecord.Doc) {}, 0, true},
		{"warming", func(d *lentilrecord.Doc) { d.Phase = lentilrecord.Warming }, 0, true},
		{"draining", func(d *lentilrecord.Doc) { d.Phase = lentilrecord.Draining }, 0, false},
		{"gone", func(d *lentilrecord.Doc) { d.Phase = lentilrecord.Gone }, 0, false},
		{"no phase", func(d *lentilrecord.Doc) { d.Phase = 0 }, 0, false},
		{"out of service", func(d *lentilrecord.Doc) { d.Domain = outDomain }, 0, false},
		{"no capacity", func(d *lentilrecord.Doc) { d.Weight = 0 }, 0, false},
		{"cold and full", func(d *lentilrecord.Doc) { d.Weight, d.Load = 20, 20 }, 0, false},
		{"equally full", func(d *lentilrecord.Doc) { d.Load = 200 }, 0, false},
		{"old", func(*lentilrecord.Doc) {}, DefaultMaxAge + time.Second, false},
		{"itself", func(d *lentilrecord.Doc) { d.Owner.Copy = "self" }, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var clock lentilclock.Fake
			d := peerDoc("peer", 20)
			c.change(&d)
			chooser := newChooser(&clock, d)
			clock.Advance(c.age)
			_, request := chooser.ChooseForRequest(fullLoad)
			_, packet := chooser.ChooseForPacket(fullLoad, 0)
			if diff := cmp.Diff([]bool{c.want, c.want}, []bool{request, packet}); diff != "" {
				t.Errorf("request and packet (-want +got):\n%s", diff)
			}
		})
	}
}

func TestKeepsWorkLocal(t *testing.T) {
	var clock lentilclock.Fake
	c := newChooser(&clock, peerDoc("a", 100), peerDoc("b", 100))
	if _, ok := c.ChooseForPacket(fullLoad, MaxPacketHandOffs); ok {
		t.Error("a first packet was handed off more than MaxHops times")
	}
	if _, ok := c.ChooseForRequest(idleLoad); ok {
		t.Error("an idle copy handed off a request")
	}
	if _, ok := c.ChooseForPacket(Load{Smoothed: 102, Capacity: 200}, 0); ok {
		t.Error("a packet was handed off for too small a difference in utilization")
	}
	if _, ok := newChooser(&clock).ChooseForRequest(fullLoad); ok {
		t.Error("a chooser without peers chose a peer")
	}
}

func TestLessLoadedOfTwo(t *testing.T) {
	var clock lentilclock.Fake
	c := newChooser(&clock, peerDoc("low", 0), peerDoc("high", 150))
	for range 20 {
		if p, ok := c.ChooseForRequest(fullLoad); !ok || p.Owner().Copy != "low" {
			t.Fatalf("chose %q", p.Owner().Copy)
		}
	}
}

// Own hand-offs must count before they show in the records of the peers. Otherwise a single
// peer would get all of them.
func TestHandOffsSpreadOverPeers(t *testing.T) {
	var clock lentilclock.Fake
	c := newChooser(&clock, peerDoc("a", 0), peerDoc("b", 0), peerDoc("c", 0), peerDoc("d", 0))
	got := make(map[string]int)
	for range 100 {
		p, ok := c.ChooseForPacket(fullLoad, 0)
		if !ok {
			break
		}
		got[p.Owner().Copy]++
		c.RecordSentPacket(p.Owner())
	}
	for name, n := range got {
		if n > 15 {
			t.Errorf("%d packets were handed off to %s before its next record", n, name)
		}
	}
}

func TestRefusedPeerIsAvoidedBriefly(t *testing.T) {
	var clock lentilclock.Fake
	c := newChooser(&clock, peerDoc("a", 0))
	c.RecordRefusal(peerDoc("a", 0).Owner)
	if _, ok := c.ChooseForRequest(fullLoad); ok {
		t.Error("a peer was chosen again right after it refused")
	}
	clock.Advance(time.Second)
	if _, ok := c.ChooseForRequest(fullLoad); !ok {
		t.Error("a peer was not chosen again a second after it refused")
	}
}

func TestLatestLoadIsUsed(t *testing.T) {
	var clock lentilclock.Fake
	c := newChooser(&clock, peerDoc("a", 0))
	c.UpdateLoad(peerDoc("a", 0).Owner, Load{Smoothed: 200, Demand: 900, Capacity: 200})
	if _, ok := c.ChooseForRequest(fullLoad); ok {
		t.Error("used the load in the record instead of the later UpdateLoad")
	}
	c.ApplyRecord(lentilrecord.New(peerDoc("a", 0)))
	if _, ok := c.ChooseForRequest(fullLoad); ok {
		t.Error("used the load in a repeated record instead of the later UpdateLoad")
	}
	clock.Advance(10 * time.Second) // The reported queued load has decayed.
	c.ApplyRecord(lentilrecord.New(peerDoc("a", 190)))
	c.ApplyRecord(lentilrecord.New(peerDoc("a", 10)))
	if _, ok := c.ChooseForRequest(fullLoad); !ok {
		t.Error("ignored a new load in a record of the same version")
	}
	c.UpdateLoad(peerDoc("a", 0).Owner, Load{Smoothed: 200, Demand: 900, Capacity: 200})
	restarted := peerDoc("a", 0)
	restarted.Owner.Incarnation = 2
	c.ApplyRecord(lentilrecord.New(restarted))
	if p, ok := c.ChooseForRequest(fullLoad); !ok || p.Owner().Incarnation != 2 {
		t.Error("did not choose the new incarnation of a restarted peer")
	}
	c.RemoveRecord(restarted.Owner)
	if _, ok := c.ChooseForRequest(fullLoad); ok {
		t.Error("chose a peer that was removed")
	}
}

// TestPeersForHedges guards against extra attempts at peers that would have to queue them: cold, busy,
// or just out of room.
func TestPeersForHedges(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(d *lentilrecord.Doc)
		event  func(c *Chooser, peer lentilrecord.Owner)
		want   bool
	}{
		{"idle", func(*lentilrecord.Doc) {}, nil, true},
		{"warming", func(d *lentilrecord.Doc) { d.Phase = lentilrecord.Warming }, nil, false},
		{"out of service", func(d *lentilrecord.Doc) { d.Domain = outDomain }, nil, false},
		{"nearly full", func(d *lentilrecord.Doc) { d.Load = 180 }, nil, false},
		{"just refused", func(*lentilrecord.Doc) {}, func(c *Chooser, peer lentilrecord.Owner) { c.RecordRefusal(peer) }, false},
		{"requests queued", func(*lentilrecord.Doc) {}, func(c *Chooser, peer lentilrecord.Owner) {
			c.UpdateLoad(peer, Load{Smoothed: 20, Demand: 400, Capacity: 200})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var clock lentilclock.Fake
			d := peerDoc("peer", 20)
			c.change(&d)
			chooser := newChooser(&clock, d)
			if c.event != nil {
				c.event(chooser, d.Owner)
			}
			if _, got := chooser.ChooseForHedge(); got != c.want {
				t.Errorf("chosen: %t", got)
			}
		})
	}
}
