package lentiladmit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// modelRequest is the state of one request in the model.
type modelRequest struct {
	arrival      Arrival
	atCopy       bool
	atPeer       bool
	extraAtPeer  bool
	extras       int
	extraLost    bool // the extra attempt ended and may have run
	firstRun     bool // the first attempt may have run
	mayHaveRun   bool
	finalAnswers int
	done         bool
}

// admitModel drives an Admitter with random events and checks that each action is allowed in the
// state of its request.
type admitModel struct {
	clock    lentilclock.Fake
	admitter Admitter
	requests map[uint64]*modelRequest
	ids      []uint64
	lastID   uint64
}

func (m *admitModel) checkActions(t *rapid.T, actions []Action) {
	for _, a := range actions {
		r := m.requests[a.ID()]
		switch a.Kind() {
		case ActionDispatch:
			if r.atCopy || r.atPeer || r.extraAtPeer || (r.mayHaveRun && r.arrival.Kind != lentilconfig.KindRepeatable) {
				t.Fatalf("request %d is dispatched again: %+v", a.ID(), r)
			}
			r.atCopy, r.mayHaveRun = true, true
			if limit := int(m.admitter.Limiter.Capacity()+lentillimit.Slot-1) / lentillimit.Slot; r.arrival.Kind != lentilconfig.KindStream && m.admitter.InFlight() > limit {
				t.Fatalf("%d requests in flight at a copy with capacity %d", m.admitter.InFlight(), m.admitter.Limiter.Capacity())
			}
		case ActionRelay:
			if r.atCopy || r.atPeer || r.extraAtPeer || r.arrival.Relayed || r.arrival.LocalOnly || (r.mayHaveRun && r.arrival.Kind != lentilconfig.KindRepeatable) {
				t.Fatalf("request %d is relayed: %+v", a.ID(), r)
			}
			r.atPeer, r.mayHaveRun = true, true
		case ActionRefuse:
			if r.mayHaveRun {
				t.Fatalf("request %d is refused though it may have run", a.ID())
			}
			if a.RetryAfter() < MinRetryAfter || a.RetryAfter() > MaxRetryAfter*3/2 {
				t.Fatalf("refused with a retry delay of %s", a.RetryAfter())
			}
			r.finalAnswers++
			r.done = true
		case ActionReportUnknown:
			r.finalAnswers++
		case ActionAbort:
			if !r.atCopy && !r.atPeer && !r.extraAtPeer {
				t.Fatalf("request %d is aborted: %+v", a.ID(), r)
			}
		}
		if r.finalAnswers > 1 {
			t.Fatalf("request %d got %d final answers", a.ID(), r.finalAnswers)
		}
	}
}

// pick draws one of the requests for which match returns true.
func (m *admitModel) pick(t *rapid.T, match func(r *modelRequest) bool) (id uint64, r *modelRequest) {
	var ids []uint64
	for _, i := range m.ids {
		if match(m.requests[i]) {
			ids = append(ids, i)
		}
	}
	if len(ids) == 0 {
		t.Skip("no matching request")
	}
	id = rapid.SampledFrom(ids).Draw(t, "id")
	return id, m.requests[id]
}

func (m *admitModel) arrive(t *rapid.T) {
	m.lastID++
	a := Arrival{
		ID:        m.lastID,
		Kind:      rapid.SampledFrom([]lentilconfig.RequestKind{0, lentilconfig.KindStream, lentilconfig.KindRepeatable, lentilconfig.KindOnce}).Draw(t, "kind"),
		Deadline:  m.clock.Now().Add(time.Duration(rapid.IntRange(-10, 3000).Draw(t, "deadline ms")) * time.Millisecond),
		Caller:    rapid.Uint64Range(0, 3).Draw(t, "caller"),
		Relayed:   rapid.Bool().Draw(t, "relayed"),
		LocalOnly: rapid.Bool().Draw(t, "bound"),
	}
	m.requests[a.ID] = &modelRequest{arrival: a}
	m.ids = append(m.ids, a.ID)
	m.checkActions(t, m.admitter.Arrive(a))
}

func (m *admitModel) finish(t *rapid.T) {
	id, r := m.pick(t, func(r *modelRequest) bool { return r.atCopy })
	r.atCopy = false
	// An extra attempt in progress is cancelled if the first one succeeds. NotRun and AnswerLost
	// mean that it was never sent.
	r.extraAtPeer = false
	outcome := rapid.SampledFrom([]lentillimit.Outcome{lentillimit.OutcomeDone, lentillimit.OutcomeShed, lentillimit.OutcomeTimedOut, lentillimit.OutcomeCancelled}).Draw(t, "outcome")
	switch rapid.IntRange(0, 2).Draw(t, "how") {
	case 0:
		r.done = true
		m.checkActions(t, m.admitter.Finished(id, outcome))
	case 1:
		r.mayHaveRun = r.extraLost
		m.checkActions(t, m.admitter.NotRun(id, outcome))
	default:
		m.checkActions(t, m.admitter.AnswerLost(id, outcome))
	}
}

// hedge makes an extra attempt at a request for which one is allowed.
func (m *admitModel) hedge(t *rapid.T) {
	id, r := m.pick(t, func(r *modelRequest) bool { return r.atCopy && m.admitter.MayHedge(r.arrival.ID) })
	if r.arrival.Kind != lentilconfig.KindRepeatable || r.arrival.Relayed || r.arrival.LocalOnly || r.extras > 0 {
		t.Fatalf("an extra attempt at request %d is allowed: %+v", id, r)
	}
	m.admitter.Hedge(id)
	r.extraAtPeer = true
	r.extras++
	r.firstRun = true
	r.mayHaveRun = true
}

// failFirst lets the first attempt fail while the extra one is in progress.
func (m *admitModel) failFirst(t *rapid.T) {
	id, r := m.pick(t, func(r *modelRequest) bool { return r.atCopy && r.extraAtPeer })
	r.atCopy = false
	r.firstRun = rapid.Bool().Draw(t, "may have run")
	m.checkActions(t, m.admitter.FirstFailed(id, lentillimit.OutcomeFailed, r.firstRun))
}

// endHedge ends an extra attempt. If it succeeds, the first one is cancelled.
func (m *admitModel) endHedge(t *rapid.T) {
	id, r := m.pick(t, func(r *modelRequest) bool { return r.extraAtPeer })
	r.extraAtPeer = false
	result := rapid.SampledFrom([]RelayResult{RelayAnswered, RelayNotRun, RelayAnswerLost}).Draw(t, "result")
	switch result {
	case RelayNotRun:
		r.mayHaveRun = r.firstRun
	case RelayAnswerLost:
		r.extraLost = true
	}
	m.checkActions(t, m.admitter.HedgeEnded(id, result))
	if result == RelayAnswered && r.atCopy {
		r.atCopy = false
		m.checkActions(t, m.admitter.Finished(id, lentillimit.OutcomeOvertaken))
	}
}

func (m *admitModel) endRelay(t *rapid.T) {
	id, r := m.pick(t, func(r *modelRequest) bool { return r.atPeer })
	r.atPeer = false
	result := rapid.SampledFrom([]RelayResult{RelayAnswered, RelayNotRun, RelayAnswerLost}).Draw(t, "result")
	if result == RelayNotRun {
		r.mayHaveRun = false
	}
	m.checkActions(t, m.admitter.RelayEnded(id, result))
}

func TestAdmitterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &admitModel{requests: make(map[uint64]*modelRequest)}
		m.admitter = Admitter{Clock: &m.clock, MaxQueue: 5, MaxStreams: 20, Limiter: lentillimit.Limiter{StartPercent: rapid.SampledFrom([]int{10, 100}).Draw(t, "start")}}
		m.admitter.ChoosePeer = func(Arrival) (lentilrecord.Record, bool) {
			return lentilrecord.Record{}, rapid.IntRange(0, 4).Draw(t, "peer") == 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive":     m.arrive,
			"finish":     m.finish,
			"relay":      m.endRelay,
			"hedge":      m.hedge,
			"fail first": m.failFirst,
			"end hedge":  m.endHedge,
			"cancel": func(t *rapid.T) {
				id, _ := m.pick(t, func(*modelRequest) bool { return true })
				m.checkActions(t, m.admitter.Cancelled(id))
			},
			"wait": func(t *rapid.T) {
				m.clock.Advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				m.checkActions(t, m.admitter.Tick())
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "drain") == 0 {
					m.checkActions(t, m.admitter.Drain())
				}
			},
			"": func(t *rapid.T) {
				atCopy := 0
				for _, r := range m.requests {
					if r.atCopy {
						atCopy++
					}
				}
				if got := m.admitter.InFlight() + m.admitter.Streams(); got != atCopy {
					t.Fatalf("%d requests and streams in flight, want %d", got, atCopy)
				}
				if m.admitter.Queued() > 5 {
					t.Fatalf("%d requests queued", m.admitter.Queued())
				}
			},
		})
		m.finishAll(t)
	})
}

// finishAll ends all dispatched and relayed requests and checks that the Admitter holds none.
func (m *admitModel) finishAll(t *rapid.T) {
	for range 20 {
		for _, id := range m.ids {
			r := m.requests[id]
			if r.atCopy {
				r.atCopy = false
				m.checkActions(t, m.admitter.Finished(id, lentillimit.OutcomeDone))
			}
			if r.extraAtPeer {
				r.extraAtPeer = false
				m.checkActions(t, m.admitter.HedgeEnded(id, RelayAnswered))
			}
			if r.atPeer {
				r.atPeer = false
				m.checkActions(t, m.admitter.RelayEnded(id, RelayAnswered))
			}
		}
		m.clock.Advance(time.Second)
		m.checkActions(t, m.admitter.Tick())
	}
	if !m.admitter.Idle() {
		t.Fatalf("the Admitter still holds %d requests", len(m.admitter.requests))
	}
}
