package lentilmember

import (
	"net/netip"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

func testEntry(run lentilid.Incarnation, version uint64, state State, domain string) Doc {
	return Doc{RunID: run, Version: version, State: state, Domain: domain, Region: "sicilia",
		Control: netip.AddrPortFrom(netip.MustParseAddr("127.15.9.1"), uint16(run))}
}

// TestApplyMergesByRank gives a table marks and entries, and says what it then thinks of member 2.
func TestApplyMergesByRank(t *testing.T) {
	for _, c := range []struct {
		name  string
		docs  []Doc
		rank  uint64
		count bool
	}{
		{"alive", []Doc{testEntry(2, 1, Alive, "a")}, 4, true},
		{"suspected", []Doc{testEntry(2, 1, Alive, "a"), testEntry(2, 1, Suspect, "a")}, 5, true},
		{"refuted", []Doc{testEntry(2, 1, Suspect, "a"), testEntry(2, 2, Alive, "a"), testEntry(2, 1, Dead, "a")}, 8, true},
		{"dead, then an old entry", []Doc{testEntry(2, 1, Dead, "a"), testEntry(2, 1, Alive, "a"), testEntry(2, 1, Suspect, "a")}, 6, false},
		{"left, then a mark", []Doc{testEntry(2, 2, Left, "a"), testEntry(2, 2, Dead, "a")}, 11, false},
		{"forged state", []Doc{testEntry(2, 1, 7, "a")}, 0, false},
		{"forged version", []Doc{testEntry(2, 1<<63, Alive, "a")}, 0, false},
		{"no address", []Doc{{RunID: 2, Version: 1, Domain: "a"}}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := &Table{Clock: &lentilclock.Fake{}}
			table.Join(testEntry(1, 0, Alive, "a"))
			table.Apply(c.docs...)
			doc, known := table.Member(2)
			if table.Rank(2) != c.rank || (known && doc.CountsAsAlive()) != c.count {
				t.Errorf("rank %d, counts %v, want %d, %v", table.Rank(2), doc.CountsAsAlive(), c.rank, c.count)
			}
		})
	}
}

// TestSuspicionAndTombstones checks who may judge whom, and for how long a death is remembered.
func TestSuspicionAndTombstones(t *testing.T) {
	clock := &lentilclock.Fake{}
	table := &Table{Clock: clock}
	table.Join(testEntry(1, 0, Alive, "a"))
	table.Apply(testEntry(2, 1, Alive, "a"), testEntry(3, 1, Alive, "b"), testEntry(4, 1, Alive, "a"))
	table.MarkSuspect(2)
	table.MarkSuspect(3)
	clock.Advance(time.Second)
	table.Expire()
	table.Apply(testEntry(4, 1, Suspect, "a"))
	clock.Advance(2 * time.Second)
	table.Expire()
	if near, _ := table.Member(2); near.State != Dead {
		t.Errorf("the suspect of the own domain is %v", near.State)
	}
	if far, _ := table.Member(3); far.State != Alive {
		t.Errorf("the member of another domain is %v", far.State)
	}
	if fresh, _ := table.Member(4); fresh.State != Suspect {
		t.Errorf("the fresh suspect is %v", fresh.State)
	}
	clock.Advance(time.Hour)
	table.Expire()
	if _, shown := table.Versions().Rank(2); shown {
		t.Error("a member dead for an hour is shown to peers")
	}
	if table.Apply(testEntry(2, 1, Alive, "a")); table.Rank(2) != 6 {
		t.Error("a dead member came back by an old entry")
	}
	clock.Advance(DefaultTombstoneRetention)
	table.Expire()
	if table.Rank(2) != 0 {
		t.Error("the dead are remembered for ever")
	}
}

// TestRefuteDeclaredDead checks that a run which others hold for dead says so and refutes.
func TestRefuteDeclaredDead(t *testing.T) {
	table := &Table{Clock: &lentilclock.Fake{}}
	table.Join(testEntry(1, 0, Alive, "a"))
	table.Apply(testEntry(1, 5, Dead, "a"))
	if !table.DeclaredDead() || table.Self().Version != 6 || table.Self().State != Alive {
		t.Errorf("condemned %v, own entry %+v", table.DeclaredDead(), table.Self())
	}
}

// TestReachedDomains checks that another failure domain counts only some time after a member
// of the own one has listed it.
func TestReachedDomains(t *testing.T) {
	clock := &lentilclock.Fake{}
	table := &Table{Clock: clock}
	table.Join(testEntry(1, 0, Alive, "a"))
	bridge := testEntry(2, 1, Alive, "a")
	bridge.ReachableDomains = []string{"b"}
	table.Apply(bridge, testEntry(3, 1, Alive, "b"))
	for _, step := range []struct {
		after time.Duration
		alive int
	}{{0, 2}, {ReachedDomainDelay - time.Millisecond, 2}, {time.Millisecond, 3}} {
		clock.Advance(step.after)
		table.Expire()
		if got := len(table.AliveMembers()); got != step.alive {
			t.Errorf("after %v %d alive, want %d", step.after, got, step.alive)
		}
	}
	table.Apply(testEntry(2, 2, Alive, "a"))
	table.Expire()
	if got := len(table.AliveMembers()); got != 2 {
		t.Errorf("%d alive after the bridge lost the domain, want 2", got)
	}
}
