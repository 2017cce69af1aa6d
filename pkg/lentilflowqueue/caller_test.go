package lentilflowqueue

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// callerKey returns the key of a flow of a caller.
func callerKey(caller, flow int) lentilflow.Key {
	client := lentilflow.NewEndpoint([4]byte{100, 64, byte(caller >> 8), byte(caller)}, uint16(flow))
	return lentilflow.NewKey(client, lentilflow.NewEndpoint([4]byte{198, 18, 0, 1}, 443))
}

func newFairQueue() (q *Queue, clock *lentilclock.Fake) {
	q, clock = newQueue()
	q.Fair = true
	return q, clock
}

// wait offers a flow at an upstream without room.
func wait(q *Queue, caller, flow int, priority uint8) Verdict {
	return q.Offer(Offer{Key: callerKey(caller, flow), MayWait: true, Terms: lentilflow.Terms{Priority: priority}}, 2*testSlots, false)
}

// TestFairOrder lets flows of callers a to c wait, in the order of arrival, and checks the order in which they open. A
// capital letter is a flow of a more urgent route. A number lets so many milliseconds pass.
func TestFairOrder(t *testing.T) {
	for _, c := range []struct{ name, arrivals, want string }{
		{"callers take turns", "a a a b b c", "abcaba"},
		{"the oldest flow of a caller first", "a b a b", "abab"},
		{"one caller has all room if nobody else waits", "a a a", "aaa"},
		{"more urgent flows first, in turns too", "a a b A A B", "ABAbaa"},
		{"flows that can still meet their objective first, in turns too", "a a b 150 c c", "ccaba"},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, clock := newFairQueue()
			names := make(map[lentilflow.Key]string)
			for n, event := range strings.Fields(c.arrivals) {
				var millis int
				if _, err := fmt.Sscan(event, &millis); err == nil {
					clock.Advance(time.Duration(millis) * time.Millisecond)
					continue
				}
				caller, priority := int(strings.ToLower(event)[0]), uint8(1)
				if strings.ToUpper(event) == event {
					priority = 0
				}
				names[callerKey(caller, n)] = event
				if verdict := wait(q, caller, n, priority); verdict != Wait {
					t.Fatalf("flow %d: %s", n, verdict)
				}
				clock.Advance(time.Millisecond)
			}
			got := ""
			for k, ok := q.Next(0); ok; k, ok = q.Next(0) {
				q.Remove(k) // Its request has been answered.
				got += names[k]
			}
			if got != c.want || q.CallersWaiting() != 0 {
				t.Errorf("got %s, want %s; %d callers waiting", got, c.want, q.CallersWaiting())
			}
		})
	}
}

// TestServiceIsForgotten checks that a caller isn't set back for long because it had all room while nobody else waited.
func TestServiceIsForgotten(t *testing.T) {
	q, clock := newFairQueue()
	for n := range 10 {
		wait(q, 1, n, 1)
	}
	for k, ok := q.Next(0); ok; k, ok = q.Next(0) {
		q.Remove(k)
	}
	const halfLives = 12
	clock.Advance(halfLives * serviceHalfLife)
	wait(q, 2, 1, 1)
	clock.Advance(time.Millisecond)
	wait(q, 1, 20, 1)
	wait(q, 2, 2, 1)
	var got []byte
	for k, ok := q.Next(0); ok; k, ok = q.Next(0) {
		q.Remove(k)
		got = append(got, "12"[k.Client().Address()[3]-1])
	}
	if string(got) != "212" {
		t.Errorf("callers were served in the order %s, want 212", got)
	}
}

// TestManyFlowsPay offers twice as many flows as an upstream serves: in turn, one caller offers 100 and 20 callers offer one
// each. Those of the 20 must be served, and the one caller gets what is left. In the order of arrival, all of them would be
// served and refused alike, so one caller could take the service from the others.
func TestManyFlowsPay(t *testing.T) {
	const (
		callers, manyFlows, rounds = 20, 100, 40
		serviceTime                = 30 * time.Millisecond
		// everyNth flow is of a caller with one.
		everyNth = (callers + manyFlows) / callers
		flows    = rounds * (callers + manyFlows)
	)
	callerOf := func(k lentilflow.Key) int { a := k.Client().Address(); return int(a[2])<<8 | int(a[3]) }
	for _, fair := range []bool{false, true} {
		q, clock := newQueue()
		q.Fair = fair
		few, many := 0, 0
		for flow := range flows {
			caller := 0
			if flow%everyNth == 0 {
				caller = 1 + flow/everyNth%callers
			}
			wait(q, caller, flow, 1)
			clock.Advance(serviceTime / testSlots / 2)
			q.Expire()
			if flow%2 == 0 {
				continue
			}
			if k, ok := q.Next(2*testSlots - 1); ok {
				q.Remove(k) // Its request arrives.
				if callerOf(k) > 0 {
					few++
				} else {
					many++
				}
			}
		}
		if share := float64(few) / (callers * rounds); fair != (share > 0.99) {
			t.Errorf("fair %t: %.3f of the flows of callers with one each are served", fair, share)
		}
		if share := float64(few+many) / (flows / 2); share < 0.99 {
			t.Errorf("fair %t: the upstream is used for %.3f of what it can serve", fair, share)
		}
		if fair != (q.ServedOutOfOrder() > 0) {
			t.Errorf("fair %t: %d flows out of order", fair, q.ServedOutOfOrder())
		}
	}
}

// TestFullQueueEvicts fills the queue and checks that the caller with most flows loses its newest one to a newcomer, and
// that it can't displace flows of others.
func TestFullQueueEvicts(t *testing.T) {
	q, clock := newFairQueue()
	q.SetSlots(64) // The flows of one caller alone don't wait too long.
	full := func(caller, flow int) Verdict {
		return q.Offer(Offer{Key: callerKey(caller, flow), MayWait: true}, 128, false)
	}
	for n := range maxWaiting {
		caller := 1
		if n%4 == 0 {
			caller = 1000 + n
		}
		if verdict := full(caller, n); verdict != Wait {
			t.Fatalf("flow %d: %s", n, verdict)
		}
		clock.Advance(10 * time.Microsecond)
	}
	if verdict := full(1, 600); verdict != Full {
		t.Errorf("another flow of the caller with most: %s, want %s", verdict, Full)
	}
	share, ok := q.TakeShare()
	if want := (Share{Caller: [4]byte{100, 64, 0, 1}, Flows: maxWaiting * 3 / 4, Waiting: maxWaiting}); !ok || share != want {
		t.Errorf("got %+v, %t, want %+v", share, ok, want)
	}
	if verdict := full(2, 601); verdict != Wait || q.Waiting() != maxWaiting {
		t.Errorf("a newcomer: %s, %d waiting", verdict, q.Waiting())
	}
	if _, ok := q.TakeShare(); ok {
		t.Error("the share is reported twice in a second")
	}
	if evicted := q.Expire(); len(evicted) != 1 || evicted[0] != callerKey(1, maxWaiting-1) {
		t.Errorf("evicted %v, want the newest flow of the caller with most", evicted)
	}
}

// TestCallersAreBounded checks that the memory for callers is bounded and freed.
func TestCallersAreBounded(t *testing.T) {
	q, clock := newFairQueue()
	for n := range 3 * maxCallers {
		q.Offer(Offer{Key: callerKey(n, 1)}, 0, false)
		q.Remove(callerKey(n, 1))
		if len(q.callers) > maxCallers {
			t.Fatalf("%d callers are counted", len(q.callers))
		}
	}
	clock.Advance(10 * serviceHalfLife)
	q.Offer(Offer{Key: callerKey(1<<15, 1)}, 0, false)
	if len(q.callers) != 1 {
		t.Errorf("%d callers are counted 10 s later, want only the last one", len(q.callers))
	}
}

// TestMayQueue checks that a flow that may queue opens while one request more than the slots is there, and is refused
// beyond that.
func TestMayQueue(t *testing.T) {
	q, _ := newQueue()
	for n, want := range []Verdict{Admit, Admit, Admit, Busy} {
		if got := q.Offer(Offer{Key: key(n), MayQueue: true}, 0, false); got != want {
			t.Errorf("flow %d: %s, want %s", n, got, want)
		}
	}
	q, _ = newQueue()
	if got := q.Offer(Offer{Key: key(1), MayQueue: true}, 0, true); got != Busy {
		t.Errorf("while the upstream is blocked: %s, want %s", got, Busy)
	}
	wait(q, 1, 2, 1)
	if got := q.Offer(Offer{Key: key(3), MayQueue: true}, testSlots, false); got != Busy {
		t.Errorf("while another flow waits: %s, want %s", got, Busy)
	}
}
