package lentilmember

import (
	"net/netip"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

func entry(run lentilid.Incarnation, version uint64, state State, domain string) Doc {
	return Doc{Run: run, Version: version, State: state, Domain: domain, Region: "sicilia",
		Control: netip.AddrPortFrom(netip.MustParseAddr("127.15.9.1"), uint16(run))}
}

// TestMerge gives a table marks and entries, and says what it then thinks of member 2.
func TestMerge(t *testing.T) {
	for _, c := range []struct {
		name  string
		docs  []Doc
		rank  uint64
		count bool
	}{
		{"alive", []Doc{entry(2, 1, Alive, "a")}, 4, true},
		{"suspected", []Doc{entry(2, 1, Alive, "a"), entry(2, 1, Suspect, "a")}, 5, true},
		{"refuted", []Doc{entry(2, 1, Suspect, "a"), entry(2, 2, Alive, "a"), entry(2, 1, Dead, "a")}, 8, true},
		{"dead, then an old entry", []Doc{entry(2, 1, Dead, "a"), entry(2, 1, Alive, "a"), entry(2, 1, Suspect, "a")}, 6, false},
		{"left, then a mark", []Doc{entry(2, 2, Left, "a"), entry(2, 2, Dead, "a")}, 11, false},
		{"forged state", []Doc{entry(2, 1, 7, "a")}, 0, false},
		{"forged version", []Doc{entry(2, 1<<63, Alive, "a")}, 0, false},
		{"no address", []Doc{{Run: 2, Version: 1, Domain: "a"}}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := &Table{Clock: &lentilclock.Fake{}}
			table.Join(entry(1, 0, Alive, "a"))
			table.Apply(c.docs...)
			doc, known := table.Member(2)
			if table.Rank(2) != c.rank || (known && doc.Counts()) != c.count {
				t.Errorf("rank %d, counts %v, want %d, %v", table.Rank(2), doc.Counts(), c.rank, c.count)
			}
		})
	}
}

// TestJudge checks who may judge whom, and for how long a death is remembered.
func TestJudge(t *testing.T) {
	clock := &lentilclock.Fake{}
	table := &Table{Clock: clock}
	table.Join(entry(1, 0, Alive, "a"))
	table.Apply(entry(2, 1, Alive, "a"), entry(3, 1, Alive, "b"), entry(4, 1, Alive, "a"))
	table.Suspect(2)
	table.Suspect(3)
	clock.Advance(time.Second)
	table.Expire()
	table.Apply(entry(4, 1, Suspect, "a"))
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
	if table.Apply(entry(2, 1, Alive, "a")); table.Rank(2) != 6 {
		t.Error("a dead member came back by an old entry")
	}
	clock.Advance(DefaultRetention)
	table.Expire()
	if table.Rank(2) != 0 {
		t.Error("the dead are remembered for ever")
	}
}

// TestCondemned checks that a run which others hold for dead says so and refutes.
func TestCondemned(t *testing.T) {
	table := &Table{Clock: &lentilclock.Fake{}}
	table.Join(entry(1, 0, Alive, "a"))
	table.Apply(entry(1, 5, Dead, "a"))
	if !table.Condemned() || table.Self().Version != 6 || table.Self().State != Alive {
		t.Errorf("condemned %v, own entry %+v", table.Condemned(), table.Self())
	}
}

// TestReach checks that another failure domain counts only some time after a member
// of the own one has listed it.
func TestReach(t *testing.T) {
	clock := &lentilclock.Fake{}
	table := &Table{Clock: clock}
	table.Join(entry(1, 0, Alive, "a"))
	bridge := entry(2, 1, Alive, "a")
	bridge.Reaches = []string{"b"}
	table.Apply(bridge, entry(3, 1, Alive, "b"))
	for _, step := range []struct {
		after time.Duration
		alive int
	}{{0, 2}, {ReachDelay - time.Millisecond, 2}, {time.Millisecond, 3}} {
		clock.Advance(step.after)
		table.Expire()
		if got := len(table.Alive()); got != step.alive {
			t.Errorf("after %v %d alive, want %d", step.after, got, step.alive)
		}
	}
	table.Apply(entry(2, 2, Alive, "a"))
	table.Expire()
	if got := len(table.Alive()); got != 2 {
		t.Errorf("%d alive after the bridge lost the domain, want 2", got)
	}
}
