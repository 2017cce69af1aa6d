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

// testPlace returns the testPlace of a numbered agent.
func testPlace(number int) lentilid.Place {
	address := netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)})
	return lentilid.NewPlace(netip.AddrPortFrom(address, 7000), 1, 1, lentilid.Incarnation(number+1))
}

// drawMembers draws agents with weights between a cold and a large copy's.
func drawMembers(t *rapid.T, most int) (members []Member) {
	for i := range rapid.IntRange(1, most).Draw(t, "members") {
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

// countMoved counts the buckets whose owner differs.
func countMoved(a, b *Table) (count int) {
	for bucket := range a.owners {
		if a.members[a.owners[bucket]].Place != b.members[b.owners[bucket]].Place {
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
			exact := float64(m.Weight) * float64(table.BucketCount()) / float64(total)
			if off := float64(got[m.Place]) - exact; off <= -1 || off >= 1 {
				t.Fatalf("%v has %d buckets of %d, its share is %.2f", m.Place, got[m.Place], table.BucketCount(), exact)
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
			t.Fatal("the same members give another table")
		}
	})
}

// roundingAllowance is how many buckets may move beyond twice the least possible, for the
// rounding of quotas.
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
				t.Skip("nobody would be left")
			}
			changed = changed[1:]
		}
		before, after := NewTable(members), NewTable(changed)
		least, had := 0, countBuckets(before)
		for place, count := range countBuckets(after) {
			least += max(0, count-had[place])
		}
		if got := countMoved(before, after); got > 2*least+roundingAllowance {
			t.Fatalf("%d buckets moved, %d would do", got, least)
		}
	})
}

func TestPreviousOwners(t *testing.T) {
	three := []Member{{testPlace(0), 200}, {testPlace(1), 200}, {testPlace(2), 200}}
	many := slices.Clone(three)
	for i := 3; i <= maxSmallMembers; i++ {
		many = append(many, Member{testPlace(i), 200})
	}
	first := NewTable(three)
	next := func(table *Table, after time.Duration, members []Member, gone ...lentilid.Place) *Table {
		alive := func(p lentilid.Place) bool { return !slices.Contains(gone, p) }
		return table.WithChange(&Change{Members: members, Now: startTime.Add(after), OwnerRetention: time.Minute, Alive: alive})
	}
	hash := uint64(0)
	for p, _ := first.Pick(hash); p != testPlace(0); p, _ = first.Pick(hash) {
		hash += 1 << 54
	}
	tests := []struct {
		name  string
		table *Table
		at    time.Duration
		knows bool
	}{
		{"left", next(first, 0, three[1:]), 0, true},
		{"left and time over", next(first, 0, three[1:]), time.Minute, false},
		{"gone", next(first, 0, three[1:], testPlace(0)), 0, false},
		{"left, then gone", next(next(first, 0, three[1:]), 0, three[1:], testPlace(0)), 0, false},
		{"left twice over", next(next(first, 0, three[1:]), time.Second, three[2:]), time.Second, true},
		{"larger table", next(next(first, 0, many), time.Second, many[1:]), time.Second, true},
		{"larger and smaller again", next(next(next(first, 0, many), 0, many[1:]), time.Second, three[1:]), time.Second, true},
		{"nobody left", next(first, 0, nil), 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			owners := test.table.Owners(hash, startTime.Add(test.at), nil)
			if slices.Contains(owners, testPlace(0)) != test.knows {
				t.Errorf("owners %v", owners)
			}
			for i, owner := range owners {
				if slices.Contains(owners[:i], owner) {
					t.Errorf("%v stands twice in %v", owner, owners)
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
