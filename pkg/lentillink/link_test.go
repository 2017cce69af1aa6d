package lentillink

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// testRate is 10 Mbit/s.
	testRate = 10_000_000 / 8
	// fullPacket is the content of a packet whose cost is packetBytes.
	fullPacket = packetBytes - headerBytes
)

func newScheduler(bytesPerSecond int) (s *Scheduler, clock *lentilclock.Fake) {
	clock = &lentilclock.Fake{}
	clock.Advance(time.Hour)
	return &Scheduler{Clock: clock, BytesPerSecond: bytesPerSecond}, clock
}

func flowOf(caller, flow int) lentilflow.Key {
	return lentilflow.NewKey(lentilflow.NewEndpoint([4]byte{100, 64, byte(caller >> 8), byte(caller)}, uint16(flow)), lentilflow.NewEndpoint([4]byte{198, 18, 0, 1}, 443))
}

// newDatagram returns a datagram with the given size. Its payload has all bytes but the last 60.
func newDatagram(class Class, caller, flow int, sequence uint32, size int) Datagram {
	d := Datagram{Class: class, Sequence: sequence, Bytes: make([]byte, size), Length: max(0, size-60)}
	if class != Control {
		d.Flow = flowOf(caller, flow)
		d.Caller = d.Flow.Client().Address()
	}
	return d
}

// exhaust uses up the burst.
func exhaust(t *testing.T, s *Scheduler) {
	t.Helper()
	for s.Offer(newDatagram(Control, 0, 0, 0, fullPacket)) {
	}
	if _, _, ok := s.Next(s.now()); ok {
		t.Fatal("a datagram is sent beyond the burst")
	}
}

// drain advances the clock as the scheduler asks until its queue is empty, and returns what it sends.
func drain(t *testing.T, s *Scheduler, clock *lentilclock.Fake) (sent []Datagram, wakeups int) {
	t.Helper()
	for {
		d, wait, ok := s.Next(clock.Now())
		switch {
		case ok:
			sent = append(sent, d)
		case wait == 0:
			if s.Stats().QueuedBytes() != 0 {
				t.Fatalf("%d bytes are queued and Next doesn't ask to wait", s.Stats().QueuedBytes())
			}
			return sent, wakeups
		default:
			clock.Advance(wait)
			wakeups++
		}
	}
}

// TestIdleLink guards against datagrams that wait although the link is free, and against a burst above its limit.
func TestIdleLink(t *testing.T) {
	s, clock := newScheduler(testRate)
	for round := range 3 {
		for n := range burstPackets {
			if !s.Offer(newDatagram(Bulk, 1, 1, uint32(n), fullPacket)) {
				t.Fatalf("round %d: datagram %d of the burst has to wait", round, n)
			}
		}
		if s.Offer(newDatagram(Control, 0, 0, 0, fullPacket)) {
			t.Fatalf("round %d: a datagram beyond the burst is sent immediately", round)
		}
		if _, wait, ok := s.Next(clock.Now()); ok || wait <= 0 {
			t.Fatalf("round %d: got %t, wait %s", round, ok, wait)
		}
		if sent, _ := drain(t, s, clock); len(sent) != 1 {
			t.Fatalf("round %d: %d datagrams were queued, want 1", round, len(sent))
		}
		clock.Advance(time.Second)
	}
	if stats := s.Stats(); stats.Waited(Control) != 3 || stats.Waited(Bulk) != 0 {
		t.Errorf("%d control and %d bulk datagrams waited, want 3 and 0", stats.Waited(Control), stats.Waited(Bulk))
	}
}

// TestNoAllocations guards the cost of the path without a queue, with and without a limit.
func TestNoAllocations(t *testing.T) {
	d := newDatagram(Short, 1, 1, 1, fullPacket)
	var classifier Classifier
	for _, rate := range []int{0, testRate} {
		s, clock := newScheduler(rate)
		packet := lentilflow.Packet{Key: d.Flow, Length: 100}
		classifier.Classify(clock.Now(), packet)
		if allocations := testing.AllocsPerRun(100, func() {
			clock.Advance(10 * time.Millisecond)
			d.Class = classifier.Classify(clock.Now(), packet)
			if !s.Offer(d) {
				t.Error("the datagram has to wait")
			}
		}); allocations != 0 {
			t.Errorf("rate %d: %g allocations for a datagram", rate, allocations)
		}
	}
}

// TestRate guards against sending more than the rate allows, and against leaving a part of it unused: fast links need
// a longer burst, since wake-ups are at least a millisecond apart.
func TestRate(t *testing.T) {
	for _, megabits := range []int{1, 10, 200, 1000} {
		s, clock := newScheduler(megabits * 1_000_000 / 8)
		const duration = 2 * time.Second
		start, sentBytes, sequence := clock.Now(), 0, uint32(0)
		for clock.Now().Sub(start) < duration {
			for s.Stats().QueuedBytes() < maxQueuedBytes/2 {
				sequence++
				if d := newDatagram(Bulk, 1, int(sequence%7), sequence, fullPacket); s.Offer(d) {
					sentBytes += d.cost()
				}
			}
			d, wait, ok := s.Next(clock.Now())
			if ok {
				sentBytes += d.cost()
				continue
			}
			clock.Advance(max(wait, time.Millisecond))
		}
		allowed := s.rate() * clock.Now().Sub(start).Seconds()
		if got := float64(sentBytes); got > allowed+s.burst()+packetBytes || got < .98*allowed {
			t.Errorf("%d Mbit/s: %d bytes were sent, %.0f allowed", megabits, sentBytes, allowed)
		}
		if got := s.Utilization(); got < .9 || got > 1 {
			t.Errorf("%d Mbit/s: utilization %.3f, want about .95", megabits, got)
		}
		clock.Advance(2 * time.Second)
		if got := s.Utilization(); got != 0 {
			t.Errorf("%d Mbit/s: utilization %.3f after two idle seconds", megabits, got)
		}
	}
}

// TestWakeups guards against a wake-up for each queued datagram.
func TestWakeups(t *testing.T) {
	s, clock := newScheduler(testRate)
	exhaust(t, s)
	const count = 150
	for n := range count {
		s.Offer(newDatagram(Bulk, 1, 1, uint32(n), fullPacket))
	}
	sent, wakeups := drain(t, s, clock)
	if len(sent) < count || wakeups > count/3 {
		t.Errorf("%d wake-ups for %d datagrams", wakeups, len(sent))
	}
}

// TestClassOrder guards against a lower class that is sent first.
func TestClassOrder(t *testing.T) {
	s, clock := newScheduler(testRate)
	exhaust(t, s)
	for n := range ClassCount {
		s.Offer(newDatagram(Bulk-Class(n), n+1, 1, 1, fullPacket))
	}
	sent, _ := drain(t, s, clock)
	var got []Class
	for _, d := range sent {
		got = append(got, d.Class)
	}
	if got, want := slices.Compact(got), []Class{Control, Opening, Short, Bulk}; !slices.Equal(got, want) {
		t.Errorf("got the order %v, want %v", got, want)
	}
}

// simulation offers datagrams to a scheduler and sends what it allows, as the shell does.
type simulation struct {
	*testing.T
	*Scheduler
	clock  *lentilclock.Fake
	wakeAt time.Time
	// sent is called for each datagram that is sent.
	sent func(d Datagram)
}

func (s *simulation) offer(d Datagram) {
	if s.Offer(d) {
		s.sent(d)
		return
	}
	s.sendDue()
}

func (s *simulation) sendDue() {
	d, wait, ok := s.Next(s.clock.Now())
	for ; ok; d, wait, ok = s.Next(s.clock.Now()) {
		s.sent(d)
	}
	s.wakeAt = time.Time{}
	if wait > 0 {
		s.wakeAt = s.clock.Now().Add(wait)
	}
}

// run calls step every 0.1 ms.
func (s *simulation) run(duration time.Duration, step func(at time.Duration)) {
	const stepTime = 100 * time.Microsecond
	for at := time.Duration(0); at < duration; at += stepTime {
		if !s.wakeAt.IsZero() && !s.clock.Now().Before(s.wakeAt) {
			s.sendDue()
		}
		step(at)
		s.clock.Advance(stepTime)
	}
}

// TestShortBesideUploads guards the latency of short requests beside 20 uploads that send 1.5 times the rate of the
// link. A request opens a flow, acknowledges, and sends 900 B.
func TestShortBesideUploads(t *testing.T) {
	for seed := range uint64(3) {
		s, clock := newScheduler(testRate)
		random := rand.New(rand.NewPCG(seed, 1))
		var classifier Classifier
		offeredAt := make(map[string]time.Time)
		id := func(d Datagram) string { return fmt.Sprint(d.Flow, d.Sequence, d.Length) }
		var waits []time.Duration
		uploaded := make(map[[4]byte]int)
		sim := &simulation{T: t, Scheduler: s, clock: clock}
		const uploads, firstRequester = 20, 1000
		sim.sent = func(d Datagram) {
			if at, ok := offeredAt[id(d)]; ok {
				waits = append(waits, clock.Now().Sub(at))
				delete(offeredAt, id(d))
				return
			}
			uploaded[d.Caller] += d.cost()
		}
		classify := func(d Datagram, flags lentilflow.Flags) Datagram {
			d.Class = classifier.Classify(clock.Now(), lentilflow.Packet{Key: d.Flow, Flags: flags, Length: d.Length})
			return d
		}
		request := func(d Datagram, flags lentilflow.Flags) {
			offeredAt[id(d)] = clock.Now()
			sim.offer(classify(d, flags))
		}
		const duration = 8 * time.Second
		const uploadGap = packetBytes * time.Second / (testRate * 3 / 2)
		var nextUpload, nextRequest time.Duration
		type step struct {
			at time.Duration
			do func()
		}
		var steps []step
		sequence, requester := uint32(0), firstRequester
		sim.run(duration, func(at time.Duration) {
			for ; nextUpload <= at; nextUpload += uploadGap {
				sequence++
				sim.offer(classify(newDatagram(Bulk, random.IntN(uploads), 1, sequence, fullPacket), lentilflow.Acknowledge))
			}
			for ; nextRequest <= at; nextRequest += time.Duration(random.ExpFloat64() * float64(25*time.Millisecond)) {
				requester++
				caller := requester
				request(newDatagram(Opening, caller, 1, 1, 60), lentilflow.Open)
				steps = append(steps, step{at + 10*time.Millisecond, func() {
					request(newDatagram(Short, caller, 1, 2, 60), lentilflow.Acknowledge)
					request(newDatagram(Short, caller, 1, 2, 960), lentilflow.Acknowledge)
				}})
			}
			for len(steps) > 0 && steps[0].at <= at {
				steps[0].do()
				steps = steps[1:]
			}
		})
		slices.Sort(waits)
		p99, longest := waits[len(waits)*99/100], waits[len(waits)-1]
		if p99 > 10*time.Millisecond || longest > 20*time.Millisecond {
			t.Errorf("seed %d: short datagrams wait %s at the 99th percentile and %s at most", seed, p99, longest)
		}
		if len(offeredAt) > 3 {
			t.Errorf("seed %d: %d of %d short datagrams weren't sent", seed, len(offeredAt), len(waits))
		}
		total := 0
		for _, n := range uploaded {
			total += n
		}
		for caller, n := range uploaded {
			if share := float64(n) * uploads / float64(total); share < .9 || share > 1.1 {
				t.Errorf("seed %d: the upload of %v gets %.2f of its share", seed, caller, share)
			}
		}
	}
}

// TestShares guards against callers that get more than their share by many flows, or by many packets.
func TestShares(t *testing.T) {
	const others = 10
	for _, c := range []struct {
		name           string
		flows, packets int
	}{{"100 flows", 100, 1}, {"one flow with ten times the packets", 1, 10}, {"30 flows with five times the packets", 30, 5}} {
		for _, class := range []Class{Short, Bulk} {
			s, clock := newScheduler(testRate)
			sent, total := make(map[[4]byte]int), 0
			sim := &simulation{T: t, Scheduler: s, clock: clock, sent: func(d Datagram) {
				sent[d.Caller] += d.cost()
				total += d.cost()
			}}
			sequence := uint32(0)
			var next time.Duration
			sim.run(2*time.Second, func(at time.Duration) {
				for ; next <= at; next += 5 * time.Millisecond {
					for caller := range others + 1 {
						flows, packets := 1, 1
						if caller == 0 {
							flows, packets = c.flows, c.packets
						}
						for flow := range flows {
							for range packets {
								sequence++
								sim.offer(newDatagram(class, caller, flow, sequence, fullPacket))
							}
						}
					}
				}
			})
			greedy := flowOf(0, 0).Client().Address()
			if share := float64(sent[greedy]) / float64(total) * (others + 1); share > 1.1 {
				t.Errorf("%s, %s: the caller gets %.2f of its share", c.name, class, share)
			}
			for caller, n := range sent {
				if share := float64(n) / float64(total) * (others + 1); caller != greedy && share < .9 {
					t.Errorf("%s, %s: caller %v gets %.2f of its share", c.name, class, caller, share)
				}
			}
		}
	}
}

// TestFlowsOfCaller guards against a flow that keeps the other flows of its caller from sending.
func TestFlowsOfCaller(t *testing.T) {
	s, clock := newScheduler(testRate)
	exhaust(t, s)
	for n := range 50 {
		s.Offer(newDatagram(Bulk, 1, 1, uint32(n), fullPacket))
	}
	s.Offer(newDatagram(Bulk, 1, 2, 1, fullPacket))
	sent, _ := drain(t, s, clock)
	sent = slices.DeleteFunc(sent, func(d Datagram) bool { return d.Class == Control })
	if at := slices.IndexFunc(sent, func(d Datagram) bool { return d.Flow == flowOf(1, 2) }); at < 0 || at > 2 {
		t.Errorf("the only datagram of the second flow is sent at place %d", at)
	}
}

// TestBulkIsNotStarved guards the tenth of the link that bulk gets beside short packets at 1.5 times the rate.
func TestBulkIsNotStarved(t *testing.T) {
	for _, class := range []Class{Control, Opening, Short} {
		s, clock := newScheduler(testRate)
		sent, total := [ClassCount]int{}, 0
		sim := &simulation{T: t, Scheduler: s, clock: clock, sent: func(d Datagram) {
			sent[d.Class] += d.cost()
			total += d.cost()
		}}
		sequence := uint32(0)
		var next time.Duration
		sim.run(4*time.Second, func(at time.Duration) {
			for ; next <= at; next += 200 * time.Second / (testRate * 3 / 2) {
				sequence++
				sim.offer(newDatagram(class, int(sequence%50), 1, sequence, 200-headerBytes))
				if sequence%10 == 0 {
					sim.offer(newDatagram(Bulk, 1000+int(sequence%70), 1, sequence, fullPacket))
				}
			}
		})
		if share := float64(sent[Bulk]) / float64(total); share < .095 || share > .11 {
			t.Errorf("bulk gets %.3f of the link beside %s, want a tenth", share, class)
		}
	}
}

// TestDuplicates guards against two copies of a packet in the queue, and against the loss of packets that only look
// alike.
func TestDuplicates(t *testing.T) {
	first := newDatagram(Bulk, 1, 1, 5, 500)
	ack := newDatagram(Short, 1, 1, 5, 60)
	opening := newDatagram(Opening, 1, 1, 5, 60)
	change := func(d Datagram, edit func(d *Datagram)) Datagram {
		d.Bytes = slices.Clone(d.Bytes)
		edit(&d)
		return d
	}
	edited := func(d *Datagram) { d.Bytes[0]++ }
	for _, c := range []struct {
		name          string
		first, second Datagram
		dropped       bool
	}{
		{"the same packet", first, first, true},
		{"retransmitted with another acknowledgement", first, change(first, edited), true},
		{"of a flow that has become bulk meanwhile", change(first, func(d *Datagram) { d.Class = Short }), first, true},
		{"of a flow that has become short meanwhile", first, change(first, func(d *Datagram) { d.Class = Short }), true},
		{"the same packet for another agent", first, change(first, func(d *Datagram) { d.To = netip.MustParseAddrPort("10.0.0.2:7720") }), false},
		{"another sequence number", first, change(first, func(d *Datagram) { d.Sequence++ }), false},
		{"another length", first, newDatagram(Bulk, 1, 1, 5, 501), false},
		{"another flow", first, newDatagram(Bulk, 1, 2, 5, 500), false},
		{"the same acknowledgement", ack, ack, true},
		{"a later acknowledgement", ack, change(ack, edited), false},
		{"a first packet that is retransmitted with its age", opening, change(opening, edited), true},
		{"control datagrams", newDatagram(Control, 0, 0, 0, 60), newDatagram(Control, 0, 0, 0, 60), false},
	} {
		s, clock := newScheduler(testRate)
		exhaust(t, s)
		s.Offer(c.first)
		s.Offer(c.second)
		duplicates := s.Stats().Dropped(c.second.Class, Duplicate)
		if (duplicates == 1) != c.dropped {
			t.Errorf("%s: %d datagrams were dropped", c.name, duplicates)
		}
		sent, _ := drain(t, s, clock)
		if len(sent) == 0 || !slices.ContainsFunc(sent, func(d Datagram) bool { return bytes.Equal(d.Bytes, c.first.Bytes) && d.Flow == c.first.Flow }) {
			t.Errorf("%s: the first one wasn't sent", c.name)
		}
		if s.Offer(c.second); s.Stats().Dropped(c.second.Class, Duplicate) != duplicates {
			t.Errorf("%s: dropped as a duplicate of one that has been sent", c.name)
		}
	}
}

// TestQueuedBytesAreCopied guards against queued datagrams that change when the caller reuses its buffer.
func TestQueuedBytesAreCopied(t *testing.T) {
	s, clock := newScheduler(testRate)
	exhaust(t, s)
	d := newDatagram(Short, 1, 1, 1, 100)
	d.Bytes[0] = 1
	s.Offer(d)
	d.Bytes[0] = 2
	sent, _ := drain(t, s, clock)
	if got := sent[len(sent)-1].Bytes[0]; got != 1 {
		t.Errorf("got %d, want 1", got)
	}
}

// TestFullBuffer guards the limit of the queue and what is dropped: the newest datagram of the longest flow in the
// lowest class.
func TestFullBuffer(t *testing.T) {
	s, clock := newScheduler(testRate)
	exhaust(t, s)
	offer := func(d Datagram) {
		s.Offer(d)
		if queued := s.Stats().QueuedBytes(); queued > maxQueuedBytes {
			t.Fatalf("%d bytes are queued", queued)
		}
	}
	const fits = maxQueuedBytes / packetBytes
	offer(newDatagram(Bulk, 2, 1, 1, fullPacket))
	for n := range uint32(2 * fits) {
		offer(newDatagram(Bulk, 1, 1, n, fullPacket))
	}
	for n := range uint32(fits / 2) {
		offer(newDatagram(Short, 3, 1, n, fullPacket))
		offer(newDatagram(Control, 0, 0, n, 100))
	}
	stats := s.Stats()
	if stats.Dropped(Bulk, Overflow) == 0 || stats.Dropped(Short, Overflow) != 0 || stats.Dropped(Control, Overflow) != 0 {
		t.Errorf("dropped %d bulk, %d short, %d control, want only bulk", stats.Dropped(Bulk, Overflow), stats.Dropped(Short, Overflow), stats.Dropped(Control, Overflow))
	}
	sent, _ := drain(t, s, clock)
	next, lowest := uint32(0), 0
	for _, d := range sent {
		switch d.Flow {
		case flowOf(1, 1):
			if d.Sequence != next {
				t.Fatalf("the long flow sends %d, want %d: its newest datagrams are to be dropped", d.Sequence, next)
			}
			next++
		case flowOf(2, 1):
			lowest++
		}
	}
	if lowest != 1 {
		t.Error("the datagram of the short flow in the lowest class was dropped")
	}
}

// TestFullOfControl guards against a queue without limit if it holds nothing but control datagrams.
func TestFullOfControl(t *testing.T) {
	s, _ := newScheduler(testRate)
	for n := range uint32(1000) {
		s.Offer(newDatagram(Control, 0, 0, n, fullPacket))
	}
	if stats := s.Stats(); stats.QueuedBytes() > maxQueuedBytes || stats.Dropped(Control, Overflow) == 0 {
		t.Errorf("%d bytes are queued, %d dropped", stats.QueuedBytes(), stats.Dropped(Control, Overflow))
	}
}

// TestPause guards against a flood after the process was paused: tokens are capped by the burst, and datagrams that
// clients have retransmitted meanwhile are dropped.
func TestPause(t *testing.T) {
	s, clock := newScheduler(testRate)
	exhaust(t, s)
	for n := range uint32(50) {
		s.Offer(newDatagram(Bulk, 1, 1, n, fullPacket))
	}
	before := s.Stats()
	clock.Advance(5 * time.Second)
	if d, wait, ok := s.Next(clock.Now()); ok || wait != 0 {
		t.Errorf("a datagram of class %s that waited 5 s is sent, wait %s", d.Class, wait)
	}
	if late := s.Stats().Dropped(Bulk, Late) - before.Dropped(Bulk, Late); late != 50 {
		t.Errorf("%d datagrams were dropped as late, want 50", late)
	}
	immediately := 0
	for n := range uint32(100) {
		if s.Offer(newDatagram(Bulk, 1, 1, 100+n, fullPacket)) {
			immediately++
		}
	}
	if immediately != burstPackets {
		t.Errorf("%d datagrams are sent immediately after the pause, want %d", immediately, burstPackets)
	}
}

// TestClockStepsBack guards against a scheduler that stops, or sends without limit, when the clock steps back.
func TestClockStepsBack(t *testing.T) {
	s, clock := newScheduler(testRate)
	exhaust(t, s)
	s.Offer(newDatagram(Bulk, 1, 1, 1, fullPacket))
	clock.Advance(-time.Second)
	if _, wait, ok := s.Next(clock.Now()); ok || wait <= 0 || wait > time.Second {
		t.Errorf("got %t, wait %s", ok, wait)
	}
	clock.Advance(1100 * time.Millisecond)
	if sent, _ := drain(t, s, clock); len(sent) == 0 {
		t.Error("nothing is sent after the clock has caught up")
	}
}

// TestFull guards the reports of a full link: one when its queue exceeds 50 ms, one when it has been shorter for 2 s.
func TestFull(t *testing.T) {
	s, clock := newScheduler(testRate)
	exhaust(t, s)
	start := clock.Now()
	want := func(want Change) (episode Episode) {
		t.Helper()
		got, episode := s.Tick(clock.Now())
		if got != want {
			t.Fatalf("after %s: %s, want %s", clock.Now().Sub(start), got, want)
		}
		return episode
	}
	want(Unchanged)
	fill := func(from uint32) {
		for n := range uint32(100) {
			s.Offer(newDatagram(Bulk, 7, 1, from+n, fullPacket))
		}
	}
	fill(0)
	if got := s.FullSince(); !got.Equal(start) {
		t.Errorf("full since %s, want %s", got, start)
	}
	if episode := want(BecameFull); episode.LongestCaller() != flowOf(7, 1).Client().Address() || episode.QueuedBytes() < testRate*95/100/20 {
		t.Errorf("%d bytes queued, the longest from %v", episode.QueuedBytes(), episode.LongestCaller())
	}
	drain(t, s, clock)
	want(Unchanged)
	clock.Advance(time.Second)
	fill(1000)
	fill(1000)
	// 220 datagrams fit.
	fill(2000)
	fill(3000)
	want(Unchanged)
	drain(t, s, clock)
	clock.Advance(1500 * time.Millisecond)
	want(Unchanged)
	clock.Advance(time.Second)
	episode := want(BecameFree)
	if d := episode.Duration(); d < time.Second || d > 1500*time.Millisecond {
		t.Errorf("the link was full for %s", d)
	}
	if episode.Dropped(Bulk) < 50 || episode.Dropped(Bulk) > 100 || episode.Dropped(Short) != 0 {
		t.Errorf("%d bulk and %d short datagrams were lost", episode.Dropped(Bulk), episode.Dropped(Short))
	}
	if episode.SentBytes() < 200*packetBytes || episode.SentBytes() > 400*packetBytes {
		t.Errorf("%d bytes were sent", episode.SentBytes())
	}
	want(Unchanged)
	if !s.FullSince().IsZero() {
		t.Errorf("full since %s after the end", s.FullSince())
	}
	fill(5000)
	want(BecameFull)
}

// TestDataStaysInOrder guards against data that overtakes earlier data of a flow that is bulk no longer.
func TestDataStaysInOrder(t *testing.T) {
	s, clock := newScheduler(testRate)
	exhaust(t, s)
	s.Offer(newDatagram(Bulk, 1, 1, 1, fullPacket))
	s.Offer(newDatagram(Short, 1, 1, 2, 500))
	s.Offer(newDatagram(Short, 1, 1, 1, 60))
	sent, _ := drain(t, s, clock)
	var got []uint32
	for _, d := range sent {
		if d.Length > 0 && d.Class != Control {
			got = append(got, d.Sequence)
		}
	}
	if !slices.Equal(got, []uint32{1, 2}) {
		t.Errorf("data is sent in the order %d", got)
	}
}

// TestConservation offers random datagrams and checks that each is sent once or counted as dropped, that data of a
// class and flow stays in order, and that the length of the queue is right.
func TestConservation(t *testing.T) {
	for seed := range uint64(50) {
		s, clock := newScheduler(testRate)
		random := rand.New(rand.NewPCG(seed, 2))
		offered, sent := 0, 0
		type stream struct {
			flow  lentilflow.Key
			class Class
		}
		last := make(map[stream]uint32)
		seen := make(map[uint32]bool)
		receive := func(d Datagram) {
			sent++
			n := binary.BigEndian.Uint32(d.Bytes)
			if seen[n] {
				t.Fatalf("seed %d: datagram %d is sent twice", seed, n)
			}
			seen[n] = true
			if d.Class < Short || d.Length == 0 {
				return
			}
			of := stream{d.Flow, d.Class}
			if last[of] > n {
				t.Fatalf("seed %d: data %d of a flow is sent after %d", seed, n, last[of])
			}
			last[of] = n
		}
		for range 5000 {
			if random.IntN(4) == 0 {
				clock.Advance(time.Duration(random.ExpFloat64() * float64(6*time.Millisecond)))
			}
			if random.IntN(500) == 0 {
				clock.Advance(600 * time.Millisecond)
			}
			offered++
			d := newDatagram(Class(random.IntN(ClassCount)), random.IntN(5), random.IntN(5), uint32(offered), 60+random.IntN(1900))
			if random.IntN(5) == 0 {
				d.Sequence = uint32(random.IntN(3))
			}
			binary.BigEndian.PutUint32(d.Bytes, uint32(offered))
			if s.Offer(d) {
				receive(d)
			} else if random.IntN(2) == 0 {
				for d, _, ok := s.Next(clock.Now()); ok; d, _, ok = s.Next(clock.Now()) {
					receive(d)
				}
			}
		}
		rest, _ := drain(t, s, clock)
		for _, d := range rest {
			receive(d)
		}
		dropped := 0
		for class := range Class(ClassCount) {
			for reason := range DropReason(ReasonCount) {
				dropped += int(s.Stats().Dropped(class, reason))
			}
			if q := s.classes[class]; !q.empty() || len(q.byAddress) != 0 || !q.callers.empty() || q.bytes != 0 {
				t.Errorf("seed %d: the empty queue of class %s holds %d bytes of %d callers", seed, class, q.bytes, len(q.byAddress))
			}
		}
		if sent+dropped != offered || s.Stats().QueuedBytes() != 0 {
			t.Errorf("seed %d: %d sent and %d dropped of %d, %d bytes queued", seed, sent, dropped, offered, s.Stats().QueuedBytes())
		}
	}
}

// TestClassifier guards the classes of packets, and that a long flow with small requests stays short.
func TestClassifier(t *testing.T) {
	now := time.Unix(0, 0)
	var c Classifier
	packet := func(flags lentilflow.Flags, length int) lentilflow.Packet {
		return lentilflow.Packet{Key: flowOf(1, 1), Flags: flags, Length: length}
	}
	check := func(name string, p lentilflow.Packet, want Class) {
		t.Helper()
		if got := c.Classify(now, p); got != want {
			t.Errorf("%s: %s, want %s", name, got, want)
		}
	}
	check("a first packet", packet(lentilflow.Open, 0), Opening)
	check("an acknowledgement", packet(lentilflow.Acknowledge, 0), Short)
	for range 4 {
		check("up to 4 KB", packet(lentilflow.Acknowledge, 1200), Short)
	}
	check("above 4 KB", packet(lentilflow.Acknowledge, 1200), Bulk)
	check("an acknowledgement of a bulk flow", packet(lentilflow.Acknowledge, 0), Short)
	check("another flow", lentilflow.Packet{Key: flowOf(1, 2), Length: 1200}, Short)
	now = now.Add(10 * time.Second)
	for range 100 {
		check("a read of 500 B every second", packet(lentilflow.Acknowledge, 500), Short)
		now = now.Add(time.Second)
	}
	now = now.Add(1000 * time.Hour)
	check("after a long time", packet(lentilflow.Acknowledge, 500), Short)
}

func BenchmarkOfferUnlimited(b *testing.B) {
	var s Scheduler
	d := newDatagram(Short, 1, 1, 1, 500)
	for b.Loop() {
		s.Offer(d)
	}
}

// BenchmarkOfferIdle measures a datagram on a limited link that isn't full, with its classification.
func BenchmarkOfferIdle(b *testing.B) {
	s := Scheduler{BytesPerSecond: 1 << 50}
	var c Classifier
	d := newDatagram(Short, 1, 1, 1, 500)
	for b.Loop() {
		now := s.now()
		d.Class = c.Classify(now, lentilflow.Packet{Key: d.Flow, Length: d.Length})
		if !s.Offer(d) {
			b.Fatal("queued")
		}
	}
}

// BenchmarkQueued measures a datagram that is queued and sent.
func BenchmarkQueued(b *testing.B) {
	s, clock := newScheduler(testRate)
	sequence := uint32(0)
	d := newDatagram(Bulk, 1, 1, 1, fullPacket)
	for b.Loop() {
		sequence++
		d.Sequence, d.Flow = sequence, flowOf(int(sequence%20), 1)
		d.Caller = d.Flow.Client().Address()
		s.Offer(d)
		clock.Advance(1100 * time.Microsecond)
		for _, _, ok := s.Next(clock.Now()); ok; _, _, ok = s.Next(clock.Now()) {
		}
	}
}

// BenchmarkOverflow measures small datagrams of ever new flows at a full queue, the most costly case.
func BenchmarkOverflow(b *testing.B) {
	s, _ := newScheduler(testRate)
	sequence := uint32(0)
	d := newDatagram(Short, 1, 1, 1, 61)
	for b.Loop() {
		sequence++
		d.Sequence, d.Flow = sequence, flowOf(int(sequence%65536), int(sequence>>16))
		d.Caller = d.Flow.Client().Address()
		s.Offer(d)
	}
}

// uploader is a client that sends windows of packets and retransmits those that aren't acknowledged.
type uploader struct {
	next    uint32
	flights []*flight
}

type flight struct {
	sequence uint32
	sendAt   time.Duration
	timeout  time.Duration
}

// TestUploadsRetransmit guards against a link that carries copies of packets instead of new ones: 20 clients keep 16
// packets each in flight, more than the queue holds, and retransmit after 200 ms, which is about the time in the queue. Without
// the rule of duplicates .675 of the bytes sent are new, with it .934.
func TestUploadsRetransmit(t *testing.T) {
	s, clock := newScheduler(testRate)
	const (
		uploads, window                = 20, 16
		roundTrip                      = 20 * time.Millisecond
		firstTimeout, longestTimeout   = 200 * time.Millisecond, 1600 * time.Millisecond
		duration                       = 8 * time.Second
		leastGoodput, leastShareOfRate = .9, .98
	)
	type acknowledgement struct {
		at       time.Duration
		caller   [4]byte
		sequence uint32
	}
	var acknowledgements []acknowledgement
	clients := make(map[[4]byte]*uploader)
	var now time.Duration
	sentBytes, delivered := 0, 0
	sim := &simulation{T: t, Scheduler: s, clock: clock, sent: func(d Datagram) {
		sentBytes += d.cost()
		acknowledgements = append(acknowledgements, acknowledgement{now + roundTrip, d.Caller, d.Sequence})
	}}
	for caller := range uploads {
		clients[flowOf(caller, 1).Client().Address()] = &uploader{}
	}
	sim.run(duration, func(at time.Duration) {
		now = at
		for len(acknowledgements) > 0 && acknowledgements[0].at <= at {
			a := acknowledgements[0]
			acknowledgements = acknowledgements[1:]
			c := clients[a.caller]
			if i := slices.IndexFunc(c.flights, func(f *flight) bool { return f.sequence == a.sequence }); i >= 0 {
				c.flights = slices.Delete(c.flights, i, i+1)
				delivered += packetBytes
			}
		}
		for caller := range uploads {
			c := clients[flowOf(caller, 1).Client().Address()]
			for len(c.flights) < window {
				c.next++
				c.flights = append(c.flights, &flight{sequence: c.next, sendAt: at, timeout: firstTimeout})
			}
			for _, f := range c.flights {
				if f.sendAt > at {
					continue
				}
				f.sendAt, f.timeout = at+f.timeout, min(2*f.timeout, longestTimeout)
				sim.offer(newDatagram(Bulk, caller, 1, f.sequence, fullPacket))
			}
		}
	})
	if goodput := float64(delivered) / float64(sentBytes); goodput < leastGoodput {
		t.Errorf("%.3f of the bytes sent are new, want %.2f; %d duplicates, %d overflows, %d late", goodput, leastGoodput,
			s.Stats().Dropped(Bulk, Duplicate), s.Stats().Dropped(Bulk, Overflow), s.Stats().Dropped(Bulk, Late))
	}
	if share := float64(sentBytes) / (s.rate() * duration.Seconds()); share < leastShareOfRate {
		t.Errorf("%.3f of the rate is used, want %.2f", share, leastShareOfRate)
	}
}
