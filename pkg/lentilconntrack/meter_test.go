package lentilconntrack

import (
	"math"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// serve opens a flow and lets the upstream take the given time for its only request.
func (h *harness) serve(n int, took time.Duration) {
	key := flowKey(n)
	h.openFlow(key)
	h.clock.Advance(took)
	h.answer(key, 510)
}

func (h *harness) answer(key lentilflow.Key, sequence uint32) {
	h.fromUpstream(lentilflow.Packet{Key: key, Flags: lentilflow.Acknowledge, Sequence: sequence, Length: 10})
	h.fromUpstream(lentilflow.Packet{Key: key, Flags: lentilflow.Reset})
}

// TestMeasuredLoad lets one of two slots work half of the time, and checks the utilization and the service time. Without
// them, balancers couldn't tell copies of different speed or use apart.
func TestMeasuredLoad(t *testing.T) {
	h := newHarness(t)
	h.register("u")
	for n := range 500 {
		h.serve(n, 20*time.Millisecond)
		h.clock.Advance(20 * time.Millisecond)
	}
	load := h.Load()
	if math.Abs(float64(load.Utilization)-25) > 1 || load.ServiceTime != 200 || load.Waiting != 0 {
		t.Errorf("got %+v, want a utilization of 25 hundredths, 20 ms and nothing waiting", load)
	}
}

// TestFastFailuresDoNotLookFast lets every second request of a copy that takes 20 ms end after 1 ms for five seconds, as a
// copy does that answers with errors. Agents can't read answers. If the copy looked faster and less used for that,
// balancers would send it more requests than the others.
func TestFastFailuresDoNotLookFast(t *testing.T) {
	h := newHarness(t)
	h.register("u")
	n := 0
	serveFor := func(duration time.Duration, times ...time.Duration) {
		const interval = 40 * time.Millisecond
		for range duration / interval {
			took := times[n%len(times)]
			h.serve(n, took)
			h.clock.Advance(interval - took)
			n++
		}
	}
	const took = 20 * time.Millisecond
	serveFor(30*time.Second, took)
	before := h.Load()
	serveFor(5*time.Second, took, time.Millisecond)
	const least = 0.85
	if load := h.Load(); float64(load.ServiceTime) < least*float64(before.ServiceTime) || float64(load.Utilization) < least*float64(before.Utilization) {
		t.Errorf("got %+v after %+v, want at least %g of service time and utilization", load, before, least)
	}
}

// TestUploadOccupiesNoSlot sends requests in 34 packets over 340 ms each, of which the upstream can't begin any before the
// last packet. They used to count as occupying a slot all the time.
func TestUploadOccupiesNoSlot(t *testing.T) {
	h := newHarness(t)
	h.register("u")
	for n := range 100 {
		key := flowKey(n)
		h.openFlow(key)
		packet := dataPacket(key, 501)
		for range 33 {
			h.clock.Advance(10 * time.Millisecond)
			packet.Sequence += 10
			h.fromBalancer(peer1, lentilflow.Owned, packet)
		}
		h.clock.Advance(30 * time.Millisecond)
		// A client that gets no answer retransmits. That doesn't make the request shorter.
		h.fromBalancer(peer1, lentilflow.Owned, packet)
		h.clock.Advance(10 * time.Millisecond)
		h.answer(key, 510)
	}
	load := h.Load()
	if want := 100 * 40.0 / 370 / 2; math.Abs(float64(load.Utilization)-want) > 1.5 || load.ServiceTime != 400 {
		t.Errorf("got %+v, want a utilization of %.1f hundredths and 40 ms", load, want)
	}
}

// TestServiceTimeNeedsFreeSlot keeps three requests at an upstream with two slots. The answers come late because requests
// wait, which mustn't make the upstream look slow.
func TestServiceTimeNeedsFreeSlot(t *testing.T) {
	h := newHarness(t)
	h.register("u")
	for n := range 2 * minMeasurements {
		h.serve(n, 20*time.Millisecond)
	}
	for n := range 2 {
		h.openFlow(flowKey(1000 + n))
	}
	for n := range 200 {
		h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(2000+n)))
		h.fromUpstream(acceptPacket(flowKey(2000+n), 500))
		h.fromBalancer(peer1, lentilflow.Owned, dataPacket(flowKey(2000+n), 501))
		h.clock.Advance(80 * time.Millisecond)
		h.answer(flowKey(2000+n), 510)
	}
	if load := h.Load(); load.ServiceTime != 200 || load.Utilization < 100 {
		t.Errorf("got %+v, want 20 ms and a utilization over 100 hundredths", load)
	}
}

// TestFlowsCountAtOnce opens long flows at an idle upstream, whose flows have brought ten requests a second. Their requests
// must count before they show in the smoothed utilization, or balancers go on placing flows there meanwhile.
func TestFlowsCountAtOnce(t *testing.T) {
	h := newHarness(t)
	h.register("u")
	const sequenceStep = 10
	sequences := make(map[int]uint32)
	request := func(n int) {
		packet := dataPacket(flowKey(n), 501)
		sequences[n] += sequenceStep
		packet.Sequence = sequences[n]
		h.fromBalancer(peer1, lentilflow.Owned, packet)
		h.clock.Advance(20 * time.Millisecond)
		h.fromUpstream(lentilflow.Packet{Key: flowKey(n), Flags: lentilflow.Acknowledge, Sequence: 510, Length: 10})
		h.clock.Advance(80 * time.Millisecond)
	}
	h.openFlow(flowKey(1))
	for range 200 {
		request(1)
	}
	before := h.Load().Utilization
	for n := 2; n <= 5; n++ {
		h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(n)))
		h.fromUpstream(acceptPacket(flowKey(n), 500))
	}
	// Each of the five flows uses a tenth of the two slots: ten requests a second of 20 ms.
	if got := h.Load().Utilization; before < 9 || before > 12 || got < 40 || got > 52 {
		t.Errorf("the utilization was %d hundredths and is %d with four more flows, want about 10 and 50", before, got)
	}
}

// TestLoadForBalancer checks that only balancers that announce that they understand it get the utilization, since those of
// earlier releases reject the frames.
func TestLoadForBalancer(t *testing.T) {
	h := newHarness(t)
	h.register("u")
	for n := range 2 * minMeasurements {
		h.serve(n, 20*time.Millisecond)
	}
	h.HandleHello(peer1, lentilflow.Hello{UnderstandsWait: true}, nil)
	h.HandleHello(peer2, lentilflow.Hello{}, nil)
	if load := h.LoadFor(peer1); !load.ReportsWait() || load.Utilization == 0 {
		t.Errorf("a balancer that understands it gets %+v", load)
	}
	for _, balancer := range []lentilflow.Endpoint{peer2, {}} {
		if load := h.LoadFor(balancer); load != h.Load().WithoutWait() || load.Slots == 0 {
			t.Errorf("a balancer that doesn't understand it gets %+v", load)
		}
	}
}
