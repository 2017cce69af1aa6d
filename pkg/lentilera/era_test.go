package lentilera

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

func TestTracker(t *testing.T) {
	clock := &lentilclock.Fake{}
	tracker := Tracker{Clock: clock}
	for _, c := range []struct {
		name     string
		after    time.Duration
		era      uint64
		age      time.Duration
		returned bool
		wantEra  uint64
		wantAge  time.Duration
	}{
		{"the first era is no return", 0, 4, 0, false, 4, 0},
		{"the era lasts", time.Second, 4, 0, false, 4, time.Second},
		{"another process has known it for longer", time.Second, 4, 9 * time.Second, false, 4, 9 * time.Second},
		{"another process has known it for a shorter time", time.Second, 4, time.Second, false, 4, 10 * time.Second},
		{"a later era is a return", time.Second, 5, 0, true, 5, 0},
		{"an earlier era is ignored", time.Second, 4, time.Minute, false, 5, time.Second},
		{"eras may be skipped", 0, 9, 2 * time.Second, true, 9, 2 * time.Second},
	} {
		clock.Advance(c.after)
		if got := tracker.Observe(c.era, c.age); got != c.returned {
			t.Errorf("%s: returned %t", c.name, got)
		}
		if tracker.Era() != c.wantEra || tracker.Age() != c.wantAge {
			t.Errorf("%s: era %d for %s, want %d for %s", c.name, tracker.Era(), tracker.Age(), c.wantEra, c.wantAge)
		}
	}
}

func TestSurvivors(t *testing.T) {
	type step struct {
		after  time.Duration
		era    uint64
		listed string
		// change is the name of an object that is written, or removed if a minus sign precedes it. It replaces the list.
		change            string
		want, unconfirmed string
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"lists of one era replace each other", []step{{0, 1, "a b", "", "a b", ""}, {0, 1, "b", "", "b", ""}}},
		{"a lost object counts until the store has settled", []step{
			{0, 1, "a", "", "a", ""}, {0, 2, "", "", "a", "a"}, {time.Second, 2, "c", "", "a c", "a"}, {time.Second, 2, "c", "", "c", ""},
		}},
		{"a lost object that is written again stays", []step{
			{0, 1, "a", "", "a", ""}, {0, 2, "", "", "a", "a"}, {time.Second, 2, "a", "", "a", ""}, {time.Second, 2, "a", "", "a", ""},
		}},
		{"an object that is removed after the return doesn't count", []step{
			{0, 1, "a", "", "a", ""}, {0, 2, "a", "", "a", ""}, {0, 2, "", "-a", "", ""}, {0, 2, "", "", "", ""},
		}},
		{"an object that came back from the copy counts", []step{{0, 1, "", "", "", ""}, {0, 2, "a", "", "a", ""}}},
		{"a change adds an object", []step{{0, 1, "a", "", "a", ""}, {0, 1, "", "b", "a b", ""}}},
		{"a second return keeps what counted", []step{
			{0, 1, "a", "", "a", ""}, {0, 2, "", "", "a", "a"}, {time.Second, 3, "", "", "a", "a"}, {time.Second, 3, "", "", "a", "a"},
			{time.Second, 3, "", "", "", ""},
		}},
		{"the first list is no return", []step{{0, 7, "a", "", "a", ""}, {0, 7, "", "", "", ""}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := &lentilclock.Fake{}
			survivors := Survivors{Clock: clock}
			for i, s := range c.steps {
				clock.Advance(s.after)
				var names, unconfirmed map[string]bool
				if s.change != "" {
					names = survivors.Apply(strings.TrimPrefix(s.change, "-"), strings.HasPrefix(s.change, "-"))
				} else {
					listed := make(map[string]bool)
					for _, name := range strings.Fields(s.listed) {
						listed[name] = true
					}
					names, unconfirmed = survivors.Replace(s.era, listed)
				}
				if got, want := join(names)+"/"+join(unconfirmed), s.want+"/"+s.unconfirmed; got != want {
					t.Errorf("step %d: got %q, want %q", i, got, want)
				}
			}
		})
	}
}

func join(names map[string]bool) string {
	return strings.Trim(fmt.Sprint(slices.Sorted(maps.Keys(names))), "[]")
}
