package lentilagent

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilstand/caller"
	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilhedge"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// hedgeSetup is a coordinator with a warm copy, one warm peer and known durations.
type hedgeSetup struct {
	*coordinator
	clock  lentilclock.Fake
	lastID uint64
}

const testRoute = 5

func newHedgeSetup(percent int) (s *hedgeSetup) {
	s = &hedgeSetup{lastID: 1000}
	var published atomic.Pointer[snapshot]
	s.coordinator = newCoordinator(&Options{
		Copy: "copy-1", Incarnation: 1, Service: testService, Clock: &s.clock, Random: func() float64 { return 0.5 },
		HedgePercent: percent, DisableHandOff: true,
	}, &published)
	s.updatePeers([]lentilrecord.Record{lentilrecord.New(lentilrecord.Doc{
		Owner: lentilrecord.Owner{Copy: "copy-2", Incarnation: 2}, Version: 1, Service: testService, Domain: 1,
		Tunnel: netip.MustParseAddrPort("127.0.0.1:1"), Control: netip.MustParseAddrPort("127.0.0.1:2"),
		Phase: lentilrecord.Ready, Weight: 200,
	})})
	// The copy begins warm, and is cold after a reset.
	s.admitter.Limiter.StartPercent = 100
	for range 100 {
		s.finish(s.arrive(lentilconfig.KindRepeatable, nil), time.Millisecond, lentillimit.OutcomeDone)
	}
	s.admitter.Limiter.StartPercent = 0
	return s
}

// arrive passes a new request to the coordinator. adapt may change it; it may be nil.
func (s *hedgeSetup) arrive(kind lentilconfig.RequestKind, adapt func(*exchange)) (x *exchange) {
	s.lastID++
	x = &exchange{id: s.lastID, kind: kind, route: testRoute, replies: make(chan reply, replyQueueSize), hedgeGrants: make(chan hedgeGrant, 1)}
	if adapt != nil {
		adapt(x)
	}
	s.handle(requestArrived{x})
	return x
}

// finish ends the call of a request after d.
func (s *hedgeSetup) finish(x *exchange, d time.Duration, outcome lentillimit.Outcome) {
	s.clock.Advance(d)
	s.handle(callFinished{x, outcome})
}

// expectRun returns the delay of an extra attempt that the order to run a request carries.
func expectRun(t *testing.T, x *exchange) (hedgeAfter time.Duration) {
	t.Helper()
	select {
	case r := <-x.replies:
		if r.order == orderRun {
			return r.hedgeAfter
		}
		t.Fatalf("order %s", r.order)
	default:
		t.Fatal("no order")
	}
	return 0
}

// grantFor asks for an extra attempt.
func (s *hedgeSetup) grantFor(x *exchange) hedgeGrant {
	s.clock.Advance(lentilhedge.MinDelay)
	s.handle(hedgeDue{x})
	return <-x.hedgeGrants
}

// TestWhoIsHedged guards against extra attempts at requests that may not be repeated, that came
// from a peer or whose body can't be sent twice, and against any without the setting.
func TestWhoIsHedged(t *testing.T) {
	for _, c := range []struct {
		name    string
		percent int
		kind    lentilconfig.RequestKind
		adapt   func(*exchange)
		want    bool
	}{
		{"repeatable", 2, lentilconfig.KindRepeatable, nil, true},
		{"off", 0, lentilconfig.KindRepeatable, nil, false},
		{"once", 20, lentilconfig.KindOnce, nil, false},
		{"stream", 20, lentilconfig.KindStream, nil, false},
		{"relayed", 20, lentilconfig.KindRepeatable, func(x *exchange) { x.relayed = true }, false},
		{"streamed body", 20, lentilconfig.KindRepeatable, func(x *exchange) { x.localOnly = true }, false},
		{"route without known durations", 20, lentilconfig.KindRepeatable, func(x *exchange) { x.route = 6 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHedgeSetup(c.percent)
			x := s.arrive(c.kind, c.adapt)
			if got := expectRun(t, x) > 0; got != c.want {
				t.Errorf("extra attempt planned: %t", got)
			}
			if !c.want && c.name != "route without known durations" {
				if grant := s.grantFor(x); grant.verdict == lentilhedge.VerdictAllowed {
					t.Error("extra attempt granted")
				}
			}
		})
	}
}

// TestHedgeVerdicts guards against extra work in an overload and above the percentage, and
// against a second extra attempt at the same request.
func TestHedgeVerdicts(t *testing.T) {
	for _, c := range []struct {
		name  string
		state func(s *hedgeSetup)
		want  lentilhedge.Verdict
	}{
		{"idle", func(*hedgeSetup) {}, lentilhedge.VerdictAllowed},
		{"budget spent", func(s *hedgeSetup) {
			for range 2 {
				s.hedge.RecordExtra()
			}
		}, lentilhedge.VerdictOverBudget},
		{"request waits", func(s *hedgeSetup) {
			s.arrive(lentilconfig.KindRepeatable, nil)
			s.arrive(lentilconfig.KindRepeatable, nil)
		}, lentilhedge.VerdictOverloaded},
		{"limiter below the slots", func(s *hedgeSetup) {
			s.finish(s.arrive(lentilconfig.KindRepeatable, nil), time.Millisecond, lentillimit.OutcomeShed)
		}, lentilhedge.VerdictOverloaded},
		{"refused", func(s *hedgeSetup) {
			s.arrive(lentilconfig.KindRepeatable, func(x *exchange) { x.deadline = s.clock.Now() })
		}, lentilhedge.VerdictOverloaded},
		{"no peer", func(s *hedgeSetup) {
			s.chooser.RecordRefusal(lentilrecord.Owner{Copy: "copy-2", Incarnation: 2})
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHedgeSetup(2)
			x := s.arrive(lentilconfig.KindRepeatable, nil)
			expectRun(t, x)
			c.state(s)
			if got := s.grantFor(x).verdict; got != c.want {
				t.Errorf("verdict %s, want %s", got, c.want)
			}
			if got := s.grantFor(x).verdict; c.want == lentilhedge.VerdictAllowed && got == c.want {
				t.Error("a second extra attempt is granted")
			}
		})
	}
}

// TestHedgeResults checks the slot and the order to the handler after each pair of results. It
// guards against slots that stay occupied and failures that an extra attempt hides.
func TestHedgeResults(t *testing.T) {
	const none order = 0
	for _, c := range []struct {
		name    string
		results func(s *hedgeSetup, x *exchange)
		want    order
		cold    bool // the copy's failure resets the limiter
	}{
		{"first wins", func(s *hedgeSetup, x *exchange) { s.handle(callFinished{x, lentillimit.OutcomeDone}) }, none, false},
		{"extra wins", func(s *hedgeSetup, x *exchange) {
			s.handle(hedgeEnded{exchange: x, result: lentiladmit.RelayAnswered})
			s.handle(callFinished{x, lentillimit.OutcomeOvertaken})
		}, none, false},
		{"first fails, extra wins", func(s *hedgeSetup, x *exchange) {
			s.handle(firstFailed{x, lentillimit.OutcomeFailed, true})
			if s.admitter.InFlight() != 0 {
				t.Error("the slot isn't free while the extra attempt goes on")
			}
			s.handle(hedgeEnded{exchange: x, result: lentiladmit.RelayAnswered})
		}, none, true},
		{"neither ran", func(s *hedgeSetup, x *exchange) {
			s.handle(firstFailed{x, lentillimit.OutcomeCancelled, false})
			s.handle(hedgeEnded{exchange: x, result: lentiladmit.RelayNotRun})
		}, orderRun, false},
		{"extra refused, first lost", func(s *hedgeSetup, x *exchange) {
			s.handle(hedgeEnded{exchange: x, result: lentiladmit.RelayNotRun})
			s.handle(callAnswerLost{x, lentillimit.OutcomeCancelled})
		}, orderRun, false},
		{"extra allowed but not sent, first lost", func(s *hedgeSetup, x *exchange) {
			s.handle(callAnswerLost{x, lentillimit.OutcomeCancelled})
		}, orderRun, false},
		{"both lost", func(s *hedgeSetup, x *exchange) {
			s.handle(firstFailed{x, lentillimit.OutcomeCancelled, true})
			s.handle(hedgeEnded{exchange: x, result: lentiladmit.RelayAnswerLost})
		}, orderReportUnknown, false},
		{"caller goes, both cancelled", func(s *hedgeSetup, x *exchange) {
			s.handle(requestCancelled{x})
			s.handle(firstFailed{x, lentillimit.OutcomeCancelled, true})
			s.handle(hedgeEnded{exchange: x, result: lentiladmit.RelayAnswerLost})
		}, none, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHedgeSetup(2)
			x := s.arrive(lentilconfig.KindRepeatable, nil)
			expectRun(t, x)
			if got := s.grantFor(x); got.verdict != lentilhedge.VerdictAllowed || got.peer.Owner().Copy != "copy-2" {
				t.Fatalf("grant %+v", got)
			}
			c.results(s, x)
			var got reply
			select {
			case got = <-x.replies:
			default:
			}
			if got.order != c.want {
				t.Errorf("order %s, want %s", got.order, c.want)
			}
			if got.order == orderRun {
				s.handle(callFinished{x, lentillimit.OutcomeDone})
			}
			if s.admitter.InFlight() != 0 || !s.admitter.Idle() || len(s.exchanges) != 0 {
				t.Errorf("%d in flight, %d exchanges", s.admitter.InFlight(), len(s.exchanges))
			}
			if s.admitter.Limiter.Cold() != c.cold {
				t.Errorf("cold: %t", s.admitter.Limiter.Cold())
			}
		})
	}
}

// TestOvertakenRequestsShowSlowCopy guards against extra attempts that hide a slow copy: the
// limiter resets a copy to cold although every slow request is overtaken.
func TestOvertakenRequestsShowSlowCopy(t *testing.T) {
	s := newHedgeSetup(2)
	for range 30 {
		s.finish(s.arrive(lentilconfig.KindRepeatable, nil), 10*time.Millisecond, lentillimit.OutcomeOvertaken)
	}
	if s.admitter.Limiter.ColdResets() == 0 {
		t.Error("the slow copy is not reset to cold")
	}
}

// TestHedgedDataPath sends requests through the whole data path to copies that delay some of them.
// Extra attempts must win some of them, and no request that may not be repeated may run twice. On a
// busy machine the copies are cold for most of the time, so that it takes several rounds.
func TestHedgedDataPath(t *testing.T) {
	h := newHedgingHarness(t, 2, 3, 20, nil)
	const maxRounds = 8
	var sent, won, cancelled uint64
	for round := range maxRounds {
		report := h.runCallers(2*time.Second, func(o *caller.Options) {
			o.RepeatableRate, o.IDPrefix = 100, fmt.Sprintf("round-%d", round)
		})
		h.checkInvariants(report)
		sent, won, cancelled = 0, 0, 0
		for _, a := range h.agents {
			sent += a.Count(HedgesSent)
			won += a.Count(HedgesWon)
			cancelled += a.Count(HedgesCancelled)
		}
		t.Logf("%d extra attempts, %d won, %d cancelled in time; %+v", sent, won, cancelled, report.Repeatable)
		if won > 0 || t.Failed() {
			break
		}
	}
	if won == 0 || sent < won+cancelled {
		t.Errorf("%d extra attempts, %d won, %d cancelled", sent, won, cancelled)
	}
}
