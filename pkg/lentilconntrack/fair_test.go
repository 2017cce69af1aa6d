package lentilconntrack

import (
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// TestFairQueueOfTracker lets one client IP address offer flows until one is refused. A flow of another one must still
// wait, and the refusal must be reported with the address that holds the queue, at most once a second.
func TestFairQueueOfTracker(t *testing.T) {
	h := newHarness(t)
	h.FairQueue = true
	h.register("u")
	for n := range 4 {
		h.offer(n, true)
		h.fromUpstream(acceptPacket(flowKey(n), 700))
		h.fromBalancer(peer1, lentilflow.Owned, dataPacket(flowKey(n), 701))
	}
	offer := func(address byte, port uint16) []Action {
		key := lentilflow.NewKey(lentilflow.NewEndpoint([4]byte{100, 64, 9, address}, port), serviceAddress)
		actions, err := h.HandleCarry(peer1, lentilflow.Carry{
			Service: "a", Version: 1, MayWait: true, Terms: lentilflow.Terms{Target: 250 * time.Millisecond}, Packet: h.encode(firstPacket(key)),
		}, nil)
		if err != nil {
			t.Fatal(err)
		}
		return actions
	}
	reports, port := 0, uint16(0)
	for ; reports == 0; port++ {
		if port > 1000 {
			t.Fatal("no flow was refused")
		}
		actions := offer(1, port)
		if actions[0].Kind != ReportQueueShare {
			continue
		}
		reports++
		if share := actions[0].Share; share.Caller != [4]byte{100, 64, 9, 1} || share.Flows != int(port) || share.Waiting != share.Flows {
			t.Errorf("reported %+v after %d flows", share, port)
		}
		if got := formatActions(actions); !strings.HasSuffix(got, "SendRefused UpstreamFull") {
			t.Errorf("got %s", got)
		}
	}
	if got := formatActions(offer(1, port)); got != "SendRefused UpstreamFull" {
		t.Errorf("another flow of the same address: %s", got)
	}
	if got := formatActions(offer(2, 1)); got != "SendTaken open=false" || h.CallersWaiting() != 2 {
		t.Errorf("a flow of another address: %s, %d callers waiting", got, h.CallersWaiting())
	}
}
