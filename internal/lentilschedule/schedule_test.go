package lentilschedule

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestEventOrder(t *testing.T) {
	var s Schedule
	var got []string
	s.After(2*time.Second, func() { got = append(got, "late") })
	s.After(time.Second, func() {
		got = append(got, "first")
		s.After(0, func() { got = append(got, "scheduled by first") })
	})
	s.After(time.Second, func() { got = append(got, "second") })
	s.After(4*time.Second, func() { got = append(got, "beyond the end") })
	start := s.Now()
	s.RunUntil(start.Add(3 * time.Second))
	want := []string{"first", "second", "scheduled by first", "late"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if got := s.Now().Sub(start); got != 3*time.Second {
		t.Errorf("time after the run: %s, want 3s", got)
	}
}
