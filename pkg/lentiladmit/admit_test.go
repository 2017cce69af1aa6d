package lentiladmit

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
)

// testDuration is the duration of requests in these tests.
const testDuration = 100 * time.Millisecond

// warmAdmitter returns an Admitter for a warm copy with two slots and a known typical duration.
func warmAdmitter(clock lentilclock.Clock) *Admitter {
	return &Admitter{Clock: clock, Limiter: lentillimit.Limiter{StartPercent: 100, TypicalDuration: testDuration}}
}

// actionKinds returns the kinds of the actions, for comparison.
func actionKinds(actions []Action) (k []ActionKind) {
	for _, a := range actions {
		k = append(k, a.Kind())
	}
	return k
}

func TestArrive(t *testing.T) {
	for _, c := range []struct {
		name    string
		ahead   int // requests that arrived before
		drained bool
		kind    lentilconfig.RequestKind
		timeout time.Duration
		want    []ActionKind
		reason  Reason
	}{
		{"free slot", 1, false, lentilconfig.KindOnce, time.Second, []ActionKind{ActionDispatch}, 0},
		{"queue", 2, false, lentilconfig.KindOnce, time.Second, nil, 0},
		{"deadline can't be met behind the queue", 12, false, lentilconfig.KindOnce, time.Second, []ActionKind{ActionRefuse}, ReasonQueueFull},
		{"deadline passed", 0, false, lentilconfig.KindRepeatable, 0, []ActionKind{ActionRefuse}, ReasonDeadline},
		{"too short for a run that must not be repeated", 0, false, lentilconfig.KindOnce, testDuration / 2, []ActionKind{ActionRefuse}, ReasonDeadline},
		{"short, but repeatable", 0, false, lentilconfig.KindRepeatable, testDuration / 2, []ActionKind{ActionDispatch}, 0},
		{"stream needs no slot", 10, false, lentilconfig.KindStream, time.Second, []ActionKind{ActionDispatch}, 0},
		{"drained", 0, true, lentilconfig.KindOnce, time.Second, []ActionKind{ActionRefuse}, ReasonDraining},
		{"stream to a drained copy", 0, true, lentilconfig.KindStream, time.Second, []ActionKind{ActionRefuse}, ReasonDraining},
	} {
		t.Run(c.name, func(t *testing.T) {
			var clock lentilclock.Fake
			a := warmAdmitter(&clock)
			for i := range c.ahead {
				a.Arrive(Arrival{ID: uint64(100 + i), Kind: lentilconfig.KindOnce, Deadline: clock.Now().Add(time.Minute)})
			}
			if c.drained {
				a.Drain()
			}
			got := a.Arrive(Arrival{ID: 1, Kind: c.kind, Deadline: clock.Now().Add(c.timeout)})
			if diff := cmp.Diff(c.want, actionKinds(got)); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
			if len(got) > 0 && got[0].Reason() != c.reason {
				t.Errorf("reason %s, want %s", got[0].Reason(), c.reason)
			}
		})
	}
}

func TestQueueIsBounded(t *testing.T) {
	var clock lentilclock.Fake
	a := warmAdmitter(&clock)
	a.MaxQueue = 3
	var got []ActionKind
	for id := range uint64(6) {
		got = append(got, actionKinds(a.Arrive(Arrival{ID: id, Kind: lentilconfig.KindOnce, Deadline: clock.Now().Add(time.Hour)}))...)
	}
	if diff := cmp.Diff([]ActionKind{ActionDispatch, ActionDispatch, ActionRefuse}, got); diff != "" {
		t.Errorf("actions (-want +got):\n%s", diff)
	}
}

// A request whose answer was lost may have run. If the queue has no place for a
// retry, its outcome must be reported as unknown, and not as "not run".
func TestRetryWithFullQueueIsUnknown(t *testing.T) {
	var clock lentilclock.Fake
	a := warmAdmitter(&clock)
	a.MaxQueue = 1
	for id := range uint64(3) {
		a.Arrive(Arrival{ID: id, Kind: lentilconfig.KindRepeatable, Deadline: clock.Now().Add(time.Hour)})
	}
	got := a.AnswerLost(0, lentillimit.OutcomeFailed)
	if diff := cmp.Diff([]ActionKind{ActionReportUnknown}, actionKinds(got)); diff != "" {
		t.Errorf("actions (-want +got):\n%s", diff)
	}
}

func TestStreamsAreBounded(t *testing.T) {
	var clock lentilclock.Fake
	a := warmAdmitter(&clock)
	a.MaxStreams = 2
	var got []ActionKind
	for i := range 3 {
		got = append(got, actionKinds(a.Arrive(Arrival{ID: uint64(i), Kind: lentilconfig.KindStream}))...)
	}
	if diff := cmp.Diff([]ActionKind{ActionDispatch, ActionDispatch, ActionRefuse}, got); diff != "" {
		t.Errorf("actions (-want +got):\n%s", diff)
	}
}

func TestOneCallerCannotFillQueue(t *testing.T) {
	var clock lentilclock.Fake
	a := warmAdmitter(&clock)
	deadline := clock.Now().Add(3 * time.Second)
	for id := range uint64(200) {
		a.Arrive(Arrival{ID: id, Caller: 1, Deadline: deadline})
	}
	flood := a.Queued()
	for id := range uint64(5) {
		if got := a.Arrive(Arrival{ID: 1000 + id, Caller: 2, Deadline: deadline}); len(got) > 0 {
			t.Fatalf("request %d of a second caller while the first floods the queue: %v", id, got)
		}
	}
	if flood < 10 {
		t.Errorf("a single caller has only %d places in the queue", flood)
	}
}

func TestFirstInFirstOut(t *testing.T) {
	var clock lentilclock.Fake
	a := warmAdmitter(&clock)
	for id := range uint64(6) {
		a.Arrive(Arrival{ID: id, Caller: id % 2, Deadline: clock.Now().Add(time.Minute)})
	}
	var order []uint64
	for id := range uint64(4) {
		for _, next := range a.Finished(id, lentillimit.OutcomeDone) {
			order = append(order, next.ID())
		}
	}
	if diff := cmp.Diff([]uint64{2, 3, 4, 5}, order); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestCancelled(t *testing.T) {
	var clock lentilclock.Fake
	a := warmAdmitter(&clock)
	deadline := clock.Now().Add(time.Second)
	a.Arrive(Arrival{ID: 1, Kind: lentilconfig.KindOnce, Deadline: deadline})
	a.Arrive(Arrival{ID: 2, Kind: lentilconfig.KindRepeatable, Deadline: deadline})
	a.Arrive(Arrival{ID: 3, Kind: lentilconfig.KindOnce, Deadline: deadline})
	got := [][]ActionKind{actionKinds(a.Cancelled(1)), actionKinds(a.Cancelled(2)), actionKinds(a.Cancelled(2)), actionKinds(a.Cancelled(3))}
	want := [][]ActionKind{nil, {ActionAbort}, nil, nil}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("actions (-want +got):\n%s", diff)
	}
	if !a.Holds(1) || a.Holds(3) || a.Queued() != 0 {
		t.Error("a dispatched request that must not be repeated must continue, a queued request must be removed")
	}
}

// At its deadline, a dispatched request is reported as unknown. A repeatable request is aborted at
// once, and one that must not be repeated only after OnceGrace.
func TestDeadlineOfDispatchedRequest(t *testing.T) {
	var clock lentilclock.Fake
	a := warmAdmitter(&clock)
	for id, kind := range []lentilconfig.RequestKind{lentilconfig.KindOnce, lentilconfig.KindRepeatable} {
		a.Arrive(Arrival{ID: uint64(id), Kind: kind, Deadline: clock.Now().Add(time.Second)})
	}
	clock.Advance(time.Second)
	if diff := cmp.Diff([]ActionKind{ActionReportUnknown, ActionReportUnknown, ActionAbort}, actionKinds(a.Tick())); diff != "" {
		t.Errorf("at the deadline (-want +got):\n%s", diff)
	}
	clock.Advance(OnceGrace)
	if diff := cmp.Diff([]ActionKind{ActionAbort}, actionKinds(a.Tick())); diff != "" {
		t.Errorf("after OnceGrace (-want +got):\n%s", diff)
	}
}

// Queued requests must be refused as soon as the copy is found to hang, not only at their deadline.
func TestQueuedRequestsRefusedWhenCopyHangs(t *testing.T) {
	var clock lentilclock.Fake
	a := warmAdmitter(&clock)
	for id := range uint64(6) {
		a.Arrive(Arrival{ID: id, Kind: lentilconfig.KindOnce, Deadline: clock.Now().Add(3 * time.Minute)})
	}
	start := clock.Now()
	for a.Queued() > 0 && clock.Now().Sub(start) < time.Minute {
		clock.Advance(TickInterval)
		a.Tick()
	}
	if waited := clock.Now().Sub(start); waited > 3*time.Second {
		t.Errorf("refused after %s", waited)
	}
}

func TestRetryAfterSpreadsCallers(t *testing.T) {
	var clock lentilclock.Fake
	a := warmAdmitter(&clock)
	fraction := 0.0
	a.Random = func() float64 { fraction += 0.37; return fraction - float64(int(fraction)) }
	var delays []time.Duration
	for id := range uint64(200) {
		for _, action := range a.Arrive(Arrival{ID: id, Kind: lentilconfig.KindOnce, Deadline: clock.Now().Add(time.Second)}) {
			if action.Kind() == ActionRefuse {
				delays = append(delays, action.RetryAfter().Truncate(time.Second))
			}
		}
	}
	slices.Sort(delays)
	most := 0
	for _, d := range delays {
		first, _ := slices.BinarySearch(delays, d)
		next, _ := slices.BinarySearch(delays, d+1)
		most = max(most, next-first)
	}
	// The copy completes 20 requests per second.
	if most > 25 {
		t.Errorf("%d of %d callers retry in the same second", most, len(delays))
	}
}
