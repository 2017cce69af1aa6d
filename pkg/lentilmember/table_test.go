package lentilmember

import (
	"net/netip"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

func testEntry(runID lentilid.Incarnation, version uint64, state State, domain string) Doc {
	return Doc{RunID: runID, Version: version, State: state, Domain: domain, Region: "sicilia",
		Control: netip.AddrPortFrom(netip.MustParseAddr("127.15.9.1"), uint16(runID))}
}

// TestApplyMergesByRank applies entries and marks of member 2 to a table. It checks the
// resulting rank and whether the member counts as alive.
func TestApplyMergesByRank(t *testing.T) {
	for _, c := range []struct {
		name          string
		docs          []Doc
		rank          uint64
		countsAsAlive bool
	}{
		{"alive", []Doc{testEntry(2, 1, Alive, "a")}, 4, true},
		{"suspected", []Doc{testEntry(2, 1, Alive, "a"), testEntry(2, 1, Suspect, "a")}, 5, true},
		{"refuted", []Doc{testEntry(2, 1, Suspect, "a"), testEntry(2, 2, Alive, "a"), testEntry(2, 1, Dead, "a")}, 8, true},
		{"dead, then an old entry", []Doc{testEntry(2, 1, Dead, "a"), testEntry(2, 1, Alive, "a"), testEntry(2, 1, Suspect, "a")}, 6, false},
		{"left, then a dead mark", []Doc{testEntry(2, 2, Left, "a"), testEntry(2, 2, Dead, "a")}, 11, false},
		{"invalid state", []Doc{testEntry(2, 1, 7, "a")}, 0, false},
		{"invalid version", []Doc{testEntry(2, 1<<63, Alive, "a")}, 0, false},
		{"no address", []Doc{{RunID: 2, Version: 1, Domain: "a"}}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := &Table{Clock: &lentilclock.Fake{}}
			table.Join(testEntry(1, 0, Alive, "a"))
			table.Apply(c.docs...)
			doc, known := table.Member(2)
			if table.Rank(2) != c.rank || (known && doc.CountsAsAlive()) != c.countsAsAlive {
				t.Errorf("rank %d, counts as alive %v, want %d, %v", table.Rank(2), doc.CountsAsAlive(), c.rank, c.countsAsAlive)
			}
		})
	}
}

// TestSuspicionAndTombstones checks that a member suspects only members of its own failure
// domain, and declares them dead only after the whole suspicion timeout. A dead member must
// not come back by an old entry, and its tombstone must expire.
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
	if sameDomain, _ := table.Member(2); sameDomain.State != Dead {
		t.Errorf("suspect in the own failure domain: state %v, want Dead", sameDomain.State)
	}
	if otherDomain, _ := table.Member(3); otherDomain.State != Alive {
		t.Errorf("member of another failure domain: state %v, want Alive", otherDomain.State)
	}
	if newSuspect, _ := table.Member(4); newSuspect.State != Suspect {
		t.Errorf("new suspect: state %v, want Suspect", newSuspect.State)
	}
	clock.Advance(time.Hour)
	table.Expire()
	if _, advertised := table.Versions().Rank(2); advertised {
		t.Error("a member dead for an hour is still advertised to peers")
	}
	if table.Apply(testEntry(2, 1, Alive, "a")); table.Rank(2) != 6 {
		t.Error("an old entry replaced the entry of a dead member")
	}
	clock.Advance(DefaultTombstoneRetention)
	table.Expire()
	if table.Rank(2) != 0 {
		t.Error("a dead member is remembered beyond the tombstone retention")
	}
}

// TestRefuteDeclaredDead checks that a run that was declared dead reports this and refutes it
// with a new version.
func TestRefuteDeclaredDead(t *testing.T) {
	table := &Table{Clock: &lentilclock.Fake{}}
	table.Join(testEntry(1, 0, Alive, "a"))
	table.Apply(testEntry(1, 5, Dead, "a"))
	if !table.DeclaredDead() || table.Self().Version != 6 || table.Self().State != Alive {
		t.Errorf("declared dead %v, own entry %+v", table.DeclaredDead(), table.Self())
	}
}

// TestLateAnswerOfEarlierRunReplacesLivingOne guards against a living balancer that is declared dead, because an answer of the earlier
// run at its control address is handled late.
func TestLateAnswerOfEarlierRunReplacesLivingOne(t *testing.T) {
	for _, c := range []struct {
		name string
		// late is the entry in the earlier run's late answer.
		late Doc
	}{
		{"that crashed", testEntry(2, 1, Alive, "a")},
		{"that was suspected", testEntry(2, 1, Suspect, "a")},
		{"that left", testEntry(2, 2, Left, "a")},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := &Table{Clock: &lentilclock.Fake{}}
			table.Join(testEntry(1, 1, Alive, "a"))
			earlier, living := testEntry(2, 1, Alive, "a"), testEntry(3, 1, Alive, "a")
			living.Control = earlier.Control
			table.Apply(earlier, living)
			table.MarkReplaced(living)
			table.Apply(c.late)
			table.MarkReplaced(c.late)
			if doc, _ := table.Member(living.RunID); doc.State != Alive {
				t.Errorf("the living run is %s, and the earlier one was already dead", doc.State)
			}
		})
	}
}

// TestRefutedRunReplacesEarlierOne guards against an ended run that counts as alive, because the run that replaced it was once
// declared dead.
func TestRefutedRunReplacesEarlierOne(t *testing.T) {
	table := &Table{Clock: &lentilclock.Fake{}}
	table.Join(testEntry(1, 1, Alive, "a"))
	earlier, living := testEntry(2, 1, Alive, "a"), testEntry(3, 2, Alive, "a")
	living.Control = earlier.Control
	declaredDead := testEntry(3, 1, Dead, "a")
	declaredDead.Control = earlier.Control
	table.Apply(earlier, declaredDead, living)
	table.MarkReplaced(living)
	if doc, _ := table.Member(earlier.RunID); doc.State != Dead {
		t.Errorf("the earlier run is %s, though another one answered at its address", doc.State)
	}
}

// TestReachedDomains checks that members of another failure domain count as alive only
// after a member of the own failure domain has listed that domain for ReachedDomainDelay,
// and no longer once it is not listed.
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
			t.Errorf("after %v: %d members alive, want %d", step.after, got, step.alive)
		}
	}
	table.Apply(testEntry(2, 2, Alive, "a"))
	table.Expire()
	if got := len(table.AliveMembers()); got != 2 {
		t.Errorf("%d members alive after the bridge lost contact with the failure domain, want 2", got)
	}
}
