package lentilmatrix

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// replyKind is the kind of reply that a caller receives.
type replyKind uint8

const (
	replyAnswer replyKind = iota + 1
	replyTicket
	replyNotRun
	replyUnknown
)

// reply is the reply of an agent to a caller or to a relaying peer.
type reply struct {
	kind       replyKind
	text       string // the ticket or the answer
	retryAfter time.Duration
}

// maxAttempts is the highest number of attempts that a caller makes for a call.
const maxAttempts = 5

// call is one operation that a caller wants done, in one or more attempts.
type call struct {
	id           int
	kind         lentilconfig.RequestKind
	body         string
	ticket       string
	attempts     int
	answerCount  int
	lastReply    replyKind
	replayTicket bool // the caller presents its ticket again after the answer
}

// attempt is one request of a call.
type attempt struct {
	call       *call
	number     int
	ticket     string
	deadline   time.Time
	entryAgent *requestAgent
	replied    bool
	cancelled  bool
	timedOut   bool
	runCount   int // how often a copy ran the attempt
}

// answerFor returns the complete answer to a call.
func answerFor(c *call) string { return fmt.Sprintf("answer to %s of call %d", c.body, c.id) }

// ended reports whether the caller no longer waits for a reply to the attempt.
func (t *attempt) ended() bool { return t.replied || t.cancelled || t.timedOut }

// scheduleCall creates a call whose first attempt is sent at a time.
func (s *requestSimulation) scheduleCall(at time.Time, kind lentilconfig.RequestKind) {
	c := &call{id: len(s.calls) + 1, kind: kind, replayTicket: s.random.IntN(3) == 0}
	c.body = fmt.Sprintf("body %x", s.random.Uint64())
	s.calls = append(s.calls, c)
	s.schedule.At(at, func() { s.sendAttempt(c) })
}

// sendAttempt sends the next attempt of a call to a random agent, unless the caller has used up its
// attempts or its time.
func (s *requestSimulation) sendAttempt(c *call) {
	if c.attempts >= maxAttempts || s.schedule.Now().After(s.retriesUntil) {
		return
	}
	c.attempts++
	t := &attempt{call: c, number: c.attempts, ticket: c.ticket, deadline: s.schedule.Now().Add(callTimeout)}
	t.entryAgent = s.agents[s.random.IntN(len(s.agents))]
	s.send(message{kind: messageRequest, call: c}, func() {
		t.entryAgent.deliver(func() {
			t.entryAgent.receive(t, nil, func(r reply) { s.sendReply(t, r) })
		})
	})
	if c.kind == kindStream {
		s.schedule.After(streamTimeout, func() { s.closeStream(t) })
		return
	}
	s.schedule.At(t.deadline, func() { s.expireAttempt(t) })
}

// closeStream closes a stream that has not ended in time.
func (s *requestSimulation) closeStream(t *attempt) {
	if !t.ended() {
		s.cancelAttempt(t)
	}
}

// expireAttempt ends an attempt that got no reply by its deadline, and retries the call.
func (s *requestSimulation) expireAttempt(t *attempt) {
	if t.replied || t.cancelled {
		return
	}
	t.timedOut = true
	t.call.lastReply = 0
	s.sendAttempt(t.call)
}

// sendReply checks a reply and sends it to the caller.
func (s *requestSimulation) sendReply(t *attempt, r reply) {
	s.checkReply(t, r)
	s.send(message{kind: messageAnswer, call: t.call}, func() {
		if t.ended() {
			return
		}
		t.replied = true
		s.handleReply(t, r)
	})
}

// checkReply records a violation if a reply contradicts what the copies ran, or if the answer belongs
// to another call.
func (s *requestSimulation) checkReply(t *attempt, r reply) {
	c := t.call
	switch r.kind {
	case replyNotRun:
		if t.runCount > 0 || (t.ticket != "" && s.runsByTicket[t.ticket] > 0) {
			s.violatef("call %d got the reply \"not run\", but a copy had run it", c.id)
		}
	case replyAnswer:
		if r.text != answerFor(c) {
			s.violatef("call %d got the wrong answer %q", c.id, r.text)
		}
	}
}

// handleReply makes the caller react to a reply: present its ticket, finish or retry.
func (s *requestSimulation) handleReply(t *attempt, r reply) {
	c := t.call
	c.lastReply = r.kind
	s.tracef("call %d gets a reply of kind %d to attempt %d", c.id, r.kind, t.number)
	switch r.kind {
	case replyTicket:
		c.ticket = r.text
		s.sendAttempt(c)
	case replyAnswer:
		c.answerCount++
		if c.replayTicket && c.kind == kindOnce && c.ticket != "" {
			c.replayTicket = false
			s.sendAttempt(c)
		}
	case replyNotRun:
		s.schedule.After(r.retryAfter, func() { s.sendAttempt(c) })
	case replyUnknown:
		s.schedule.After(time.Second, func() { s.sendAttempt(c) })
	}
}

// cancelAttempt closes an attempt at the caller, and then at the agent that received it.
func (s *requestSimulation) cancelAttempt(t *attempt) {
	t.cancelled = true
	t.entryAgent.deliver(func() { t.entryAgent.handleClosed(t, nil) })
}

// handleClosed cancels the requests of an attempt that was closed by the caller, or by the peer that
// relayed it.
func (a *requestAgent) handleClosed(t *attempt, relayedBy *requestAgent) {
	for _, id := range slices.Sorted(maps.Keys(a.requests)) {
		if req := a.requests[id]; req != nil && req.attempt == t && req.relayedBy == relayedBy {
			a.cancelRequest(req)
		}
	}
}

// cancelRequest cancels a request whose caller is gone. If the admitter removes it from the queue, no
// copy has run it, and other waiters for its ticket are answered "not run".
func (a *requestAgent) cancelRequest(req *pendingRequest) {
	held := a.admitter.Holds(req.id)
	a.ledger.RemoveWaiter(req.ticket, req.id)
	a.perform(a.admitter.Cancelled(req.id))
	if a.admitter.Holds(req.id) {
		return
	}
	delete(a.requests, req.id)
	if held && !req.ticket.IsZero() {
		a.answerWaiters(a.ledger.NotRun(req.ticket), reply{kind: replyNotRun, retryAfter: time.Second})
	}
}

// recordRun counts a run of an attempt at a copy. It records a violation if the ticket ran before.
func (s *requestSimulation) recordRun(t *attempt) {
	s.tracef("copy runs attempt %d of call %d", t.number, t.call.id)
	t.runCount++
	if t.call.kind != kindOnce {
		return
	}
	s.runsByTicket[t.ticket]++
	if n := s.runsByTicket[t.ticket]; n > 1 {
		s.violatef("call %d ran %d times under one ticket", t.call.id, n)
	}
}
