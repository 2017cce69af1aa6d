package lentilagent

import (
	"net/netip"
	"sync/atomic"
	"testing"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

// TestPeerTicketAnswers presents a ticket to an agent that has no room while a peer has.
func TestPeerTicketAnswers(t *testing.T) {
	peer := lentilrecord.New(lentilrecord.Doc{
		Owner: lentilrecord.Owner{Copy: "copy-2", Incarnation: 2}, Version: 1, Service: testService, Domain: 1,
		Tunnel: netip.MustParseAddrPort("127.0.0.1:1"), Control: netip.MustParseAddrPort("127.0.0.1:2"),
		Phase: lentilrecord.Ready, Weight: 200,
	})
	peers := lentilticket.Issuer{Control: peer.Control(), Incarnation: 2, Service: testService}
	given := peers.Issue()
	const none order = 0
	tests := []struct {
		name string
		// answer is what the peer's answer was.
		answer peerTicketAnswer
		// gone is true if the caller leaves while the peer is asked.
		gone bool
		// first is the order to the attempt itself, waiting that to an attempt which came
		// meanwhile, and later that to one which comes afterwards.
		first, waiting, later order
	}{
		{name: "peer gives a ticket", answer: peerTicketAnswer{ticket: given}, first: orderForward, waiting: orderForward, later: orderForward},
		// What the agent has taken it runs itself if it has to; the others wait for that run.
		{name: "peer gives none", answer: peerTicketAnswer{}, first: orderRun, waiting: none, later: none},
		{name: "caller has gone", answer: peerTicketAnswer{callerGone: true}, gone: true, first: orderRefuse, waiting: orderRefuse, later: orderRequestTicket},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var shown atomic.Pointer[snapshot]
			d := newCoordinator(&Options{
				Copy: "copy-1", Incarnation: 1, Service: testService, Clock: &lentilclock.Fake{}, Random: func() float64 { return 0.5 },
			}, &shown)
			d.updatePeers([]lentilrecord.Record{peer})
			d.setDraining(true)
			ticket := d.issuer.Issue()
			attempt := func(id uint64) (x *exchange) {
				x = &exchange{id: id, kind: lentilconfig.KindOnce, replies: make(chan reply, replyQueueSize)}
				d.presentTicket(ticketPresented{exchange: x, ticket: ticket})
				return x
			}
			expect := func(x *exchange, wanted order) {
				t.Helper()
				var r reply
				select {
				case r = <-x.replies:
				default:
				}
				if r.order != wanted {
					t.Errorf("attempt %d: %s, want %s", x.id, r.order, wanted)
				}
				if r.order == orderForward && r.ticket != given {
					t.Errorf("attempt %d is sent to another ticket's agent", x.id)
				}
			}
			first := attempt(1)
			expect(first, orderRequestTicket)
			waiting := attempt(2)
			tt.answer.exchange, tt.answer.peer = first, peer.Owner()
			d.handlePeerTicket(tt.answer)
			if tt.gone {
				d.cancel(first)
			}
			expect(first, tt.first)
			expect(waiting, tt.waiting)
			expect(attempt(3), tt.later)
		})
	}
}

// TestCancelBeforeOrderIsRead lets callers go while the order to run their request
// or to pass it on waits for the handler: the slot must be free again.
func TestCancelBeforeOrderIsRead(t *testing.T) {
	for _, kind := range []lentilconfig.RequestKind{lentilconfig.KindStream, lentilconfig.KindRepeatable, lentilconfig.KindOnce} {
		t.Run(kind.String(), func(t *testing.T) {
			var shown atomic.Pointer[snapshot]
			d := newCoordinator(&Options{Incarnation: 1, Service: testService, Clock: &lentilclock.Fake{}, Random: func() float64 { return 0.5 }}, &shown)
			x := &exchange{id: 1, kind: kind, replies: make(chan reply, replyQueueSize)}
			if kind == lentilconfig.KindOnce {
				d.presentTicket(ticketPresented{exchange: x, ticket: d.issuer.Issue()})
			} else {
				d.admit(x)
			}
			d.cancel(x)
			if !d.admitter.Idle() || d.admitter.InFlight() != 0 || d.admitter.Streams() != 0 || len(d.exchanges) != 0 {
				t.Errorf("%d in flight, %d streams, %d exchanges", d.admitter.InFlight(), d.admitter.Streams(), len(d.exchanges))
			}
		})
	}
}

// TestDefaults checks that an agent whose options name no source of chance has one: without
// it all agents choose the same peers, and callers come back together.
func TestDefaults(t *testing.T) {
	o := Options{}.withDefaults()
	if o.Random == nil || o.Clock == nil {
		t.Fatal("no random source or clock")
	}
	for range 100 {
		if o.Random() != o.Random() {
			return
		}
	}
	t.Error("the random source always gives the same")
}
