package lentilroute

import (
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

var startTime = time.Unix(1_000_000, 0)

// testPlace returns the place of a numbered agent.
func testPlace(number int) lentilid.Place {
	address := netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)})
	return lentilid.NewPlace(netip.AddrPortFrom(address, 7000), 1, 1, lentilid.Incarnation(number+1))
}

// drawMembers draws up to maxMembers agents, with weights from that of a cold copy to
// that of a large one.
func drawMembers(t *rapid.T, maxMembers int) (members []Member) {
	for i := range rapid.IntRange(1, maxMembers).Draw(t, "members") {
		members = append(members, Member{Place: testPlace(i), Weight: rapid.Uint32Range(10, 800).Draw(t, "weight")})
	}
	return members
}

// countBuckets counts the buckets of each place.
func countBuckets(table *Table) (buckets map[lentilid.Place]int) {
	buckets = make(map[lentilid.Place]int)
	for _, index := range table.owners {
		buckets[table.members[index].Place]++
	}
	return buckets
}

// countMoved counts the buckets that have different owners in two tables of the same size.
func countMoved(before, after *Table) (count int) {
	for bucket := range before.owners {
		if before.members[before.owners[bucket]].Place != after.members[after.owners[bucket]].Place {
			count++
		}
	}
	return count
}

func TestBucketsMatchWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t, maxSmallMembers)
		table := NewTable(members)
		total := 0
		for _, m := range members {
			total += int(m.Weight)
		}
		got := countBuckets(table)
		for _, m := range members {
			want := float64(m.Weight) * float64(table.BucketCount()) / float64(total)
			if excess := float64(got[m.Place]) - want; excess <= -1 || excess >= 1 {
				t.Fatalf("%v owns %d of %d buckets, want %.2f by weight", m.Place, got[m.Place], table.BucketCount(), want)
			}
		}
	})
}

func TestTableDependsOnMembersAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t, 8)
		table := NewTable(members)
		shuffled := rapid.Permutation(members).Draw(t, "order")
		other := NewTable(drawMembers(t, 8)).WithChange(&Change{Members: shuffled, Now: startTime, OwnerRetention: time.Hour})
		if !slices.Equal(table.members, other.members) || !slices.Equal(table.owners, other.owners) {
			t.Fatal("tables with the same members differ")
		}
	})
}

// roundingAllowance is how many buckets may move in excess of twice the minimum, because
// quotas are rounded.
const roundingAllowance = 2 * maxSmallMembers

func TestChangesMoveFewBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t, maxSmallMembers-1)
		changed := slices.Clone(members)
		switch rapid.IntRange(0, 2).Draw(t, "change") {
		case 0:
			changed = append(changed, Member{Place: testPlace(100), Weight: rapid.Uint32Range(10, 800).Draw(t, "weight")})
		case 1:
			changed[0].Weight = rapid.Uint32Range(10, 800).Draw(t, "weight")
		default:
			if len(changed) == 1 {
				t.Skip("no member would be left")
			}
			changed = changed[1:]
		}
		before, after := NewTable(members), NewTable(changed)
		minimum, countsBefore := 0, countBuckets(before)
		for place, count := range countBuckets(after) {
			minimum += max(0, count-countsBefore[place])
		}
		if got := countMoved(before, after); got > 2*minimum+roundingAllowance {
			t.Fatalf("%d buckets moved, minimum is %d", got, minimum)
		}
	})
}

func TestPreviousOwners(t *testing.T) {
	threeMembers := []Member{{testPlace(0), 200}, {testPlace(1), 200}, {testPlace(2), 200}}
	manyMembers := slices.Clone(threeMembers)
	for i := 3; i <= maxSmallMembers; i++ {
		manyMembers = append(manyMembers, Member{testPlace(i), 200})
	}
	initial := NewTable(threeMembers)
	change := func(table *Table, after time.Duration, members []Member, gone ...lentilid.Place) *Table {
		alive := func(place lentilid.Place) bool { return !slices.Contains(gone, place) }
		return table.WithChange(&Change{Members: members, Now: startTime.Add(after), OwnerRetention: time.Minute, Alive: alive})
	}
	// hash is one whose bucket belongs to place 0 in the initial table.
	hash := uint64(0)
	for owner, _ := initial.Pick(hash); owner != testPlace(0); owner, _ = initial.Pick(hash) {
		hash += 1 << 54
	}
	tests := []struct {
		name      string
		table     *Table
		elapsed   time.Duration
		wantOwner bool
	}{
		{"left", change(initial, 0, threeMembers[1:]), 0, true},
		{"left, retention over", change(initial, 0, threeMembers[1:]), time.Minute, false},
		{"gone", change(initial, 0, threeMembers[1:], testPlace(0)), 0, false},
		{"left, then gone", change(change(initial, 0, threeMembers[1:]), 0, threeMembers[1:], testPlace(0)), 0, false},
		{"left, then another change", change(change(initial, 0, threeMembers[1:]), time.Second, threeMembers[2:]), time.Second, true},
		{"larger table", change(change(initial, 0, manyMembers), time.Second, manyMembers[1:]), time.Second, true},
		{"larger table, then smaller again", change(change(change(initial, 0, manyMembers), 0, manyMembers[1:]), time.Second, threeMembers[1:]), time.Second, true},
		{"no members left", change(initial, 0, nil), 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			owners := test.table.Owners(hash, startTime.Add(test.elapsed), nil)
			if slices.Contains(owners, testPlace(0)) != test.wantOwner {
				t.Errorf("unexpected owners %v", owners)
			}
			for i, owner := range owners {
				if slices.Contains(owners[:i], owner) {
					t.Errorf("%v is listed twice in %v", owner, owners)
				}
			}
		})
	}
}

func BenchmarkNewTable(b *testing.B) {
	for _, size := range []int{7, 16, 100, 1000} {
		members := make([]Member, size)
		for i := range members {
			members[i] = Member{testPlace(i), 200}
		}
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			for b.Loop() {
				NewTable(members)
			}
		})
	}
}
