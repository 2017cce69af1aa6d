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

// TestPeerTicketAnswers presents a ticket to a draining agent, which requests a ticket from a
// peer. It checks the orders to all attempts after each kind of answer from the peer.
func TestPeerTicketAnswers(t *testing.T) {
	peer := lentilrecord.New(lentilrecord.Doc{
		Owner: lentilrecord.Owner{Copy: "copy-2", Incarnation: 2}, Version: 1, Service: testService, Domain: 1,
		Tunnel: netip.MustParseAddrPort("127.0.0.1:1"), Control: netip.MustParseAddrPort("127.0.0.1:2"),
		Phase: lentilrecord.Ready, Weight: 200,
	})
	peerIssuer := lentilticket.Issuer{Control: peer.Control(), Incarnation: 2, Service: testService}
	peerTicket := peerIssuer.Issue()
	const none order = 0
	tests := []struct {
		name string
		// answer is the peer's answer.
		answer peerTicketAnswer
		// callerGone is true if the caller goes before the peer answers.
		callerGone bool
		// first is the order to the first attempt, waiting that to an attempt that arrived
		// before the peer's answer, and later that to an attempt that arrives after it.
		first, waiting, later order
	}{
		{name: "peer issues a ticket", answer: peerTicketAnswer{ticket: peerTicket}, first: orderForward, waiting: orderForward, later: orderForward},
		// The agent runs a request that it has accepted itself if no peer does. The other
		// attempts wait for that run.
		{name: "peer issues no ticket", answer: peerTicketAnswer{}, first: orderRun, waiting: none, later: none},
		{name: "caller has gone", answer: peerTicketAnswer{callerGone: true}, callerGone: true, first: orderRefuse, waiting: orderRefuse, later: orderRequestTicket},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var published atomic.Pointer[snapshot]
			c := newCoordinator(&Options{
				Copy: "copy-1", Incarnation: 1, Service: testService, Clock: &lentilclock.Fake{}, Random: func() float64 { return 0.5 },
			}, &published)
			c.updatePeers([]lentilrecord.Record{peer})
			c.setDraining(true)
			ticket := c.issuer.Issue()
			attempt := func(id uint64) (x *exchange) {
				x = &exchange{id: id, kind: lentilconfig.KindOnce, replies: make(chan reply, replyQueueSize)}
				c.presentTicket(ticketPresented{exchange: x, ticket: ticket})
				return x
			}
			expect := func(x *exchange, want order) {
				t.Helper()
				var r reply
				select {
				case r = <-x.replies:
				default:
				}
				if r.order != want {
					t.Errorf("attempt %d: order %s, want %s", x.id, r.order, want)
				}
				if r.order == orderForward && r.ticket != peerTicket {
					t.Errorf("attempt %d is not forwarded with the peer's ticket", x.id)
				}
			}
			first := attempt(1)
			expect(first, orderRequestTicket)
			waiting := attempt(2)
			tt.answer.exchange, tt.answer.peer = first, peer.Owner()
			c.handlePeerTicket(tt.answer)
			if tt.callerGone {
				c.cancel(first)
			}
			expect(first, tt.first)
			expect(waiting, tt.waiting)
			expect(attempt(3), tt.later)
		})
	}
}

// TestCancelBeforeOrderIsRead cancels requests whose handler has not yet read the order to run
// them. The slot must be free again.
func TestCancelBeforeOrderIsRead(t *testing.T) {
	for _, kind := range []lentilconfig.RequestKind{lentilconfig.KindStream, lentilconfig.KindRepeatable, lentilconfig.KindOnce} {
		t.Run(kind.String(), func(t *testing.T) {
			var published atomic.Pointer[snapshot]
			c := newCoordinator(&Options{Incarnation: 1, Service: testService, Clock: &lentilclock.Fake{}, Random: func() float64 { return 0.5 }}, &published)
			x := &exchange{id: 1, kind: kind, replies: make(chan reply, replyQueueSize)}
			if kind == lentilconfig.KindOnce {
				c.presentTicket(ticketPresented{exchange: x, ticket: c.issuer.Issue()})
			} else {
				c.admit(x)
			}
			c.cancel(x)
			if !c.admitter.Idle() || c.admitter.InFlight() != 0 || c.admitter.Streams() != 0 || len(c.exchanges) != 0 {
				t.Errorf("%d in flight, %d streams, %d exchanges", c.admitter.InFlight(), c.admitter.Streams(), len(c.exchanges))
			}
		})
	}
}

// TestDefaults checks that options without a random source get one. Without it, all agents
// would choose the same peers, and refused callers would come back at the same time.
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
	t.Error("the random source always returns the same number")
}
