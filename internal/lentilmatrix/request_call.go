package lentilmatrix

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// replyKind is what a caller hears.
type replyKind uint8

const (
	replyAnswer replyKind = iota + 1
	replyTicket
	replyNotRun
	replyUnknown
)

// reply is what an agent gives to a caller or to a peer.
type reply struct {
	kind       replyKind
	text       string // the ticket or the answer
	retryAfter time.Duration
}

// maxAttempts is how often a caller tries.
const maxAttempts = 5

// call is what a caller wants done.
type call struct {
	id           int
	kind         lentilconfig.RequestKind
	body         string
	ticket       string
	attempts     int
	answerCount  int
	lastReply    replyKind
	replayTicket bool // presents its ticket once more after the answer
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
	runCount   int // of attempts without a ticket
}

// answerFor returns the whole answer to a call.
func answerFor(c *call) string { return fmt.Sprintf("answer to %s of call %d", c.body, c.id) }

// ended reports whether nobody waits for the attempt any more.
func (t *attempt) ended() bool { return t.replied || t.cancelled || t.timedOut }

// scheduleCall plans a new scheduleCall.
func (w *requestSimulation) scheduleCall(at time.Time, kind lentilconfig.RequestKind) {
	c := &call{id: len(w.calls) + 1, kind: kind, replayTicket: w.random.IntN(3) == 0}
	c.body = fmt.Sprintf("body %x", w.random.Uint64())
	w.calls = append(w.calls, c)
	w.schedule.At(at, func() { w.sendAttempt(c) })
}

// sendAttempt sends an attempt of a call to any agent.
func (w *requestSimulation) sendAttempt(c *call) {
	if c.attempts >= maxAttempts || w.schedule.Now().After(w.retriesUntil) {
		return
	}
	c.attempts++
	t := &attempt{call: c, number: c.attempts, ticket: c.ticket, deadline: w.schedule.Now().Add(callTimeout)}
	t.entryAgent = w.agents[w.random.IntN(len(w.agents))]
	w.send(message{kind: messageRequest, call: c}, func() {
		t.entryAgent.deliver(func() {
			t.entryAgent.receive(t, nil, func(r reply) { w.sendReply(t, r) })
		})
	})
	if c.kind == kindStream {
		w.schedule.After(streamTimeout, func() { w.closeStream(t) })
		return
	}
	w.schedule.At(t.deadline, func() { w.expireAttempt(t) })
}

// closeStream closes a stream that shows nothing.
func (w *requestSimulation) closeStream(t *attempt) {
	if !t.ended() {
		w.cancelAttempt(t)
	}
}

// expireAttempt ends an attempt that got no reply.
func (w *requestSimulation) expireAttempt(t *attempt) {
	if t.replied || t.cancelled {
		return
	}
	t.timedOut = true
	t.call.lastReply = 0
	w.sendAttempt(t.call)
}

// sendReply brings a sendReply to the caller.
func (w *requestSimulation) sendReply(t *attempt, r reply) {
	w.checkReply(t, r)
	w.send(message{kind: messageAnswer, call: t.call}, func() {
		if t.ended() {
			return
		}
		t.replied = true
		w.handleReply(t, r)
	})
}

// checkReply holds a reply against what was run.
func (w *requestSimulation) checkReply(t *attempt, r reply) {
	c := t.call
	switch r.kind {
	case replyNotRun:
		if t.runCount > 0 || (t.ticket != "" && w.runsByTicket[t.ticket] > 0) {
			w.violatef("call %d was told \"not run\" but a copy had run it", c.id)
		}
	case replyAnswer:
		if r.text != answerFor(c) {
			w.violatef("call %d got %q", c.id, r.text)
		}
	}
}

// handleReply lets the caller go on.
func (w *requestSimulation) handleReply(t *attempt, r reply) {
	c := t.call
	c.lastReply = r.kind
	w.tracef("call %d hears %d on attempt %d", c.id, r.kind, t.number)
	switch r.kind {
	case replyTicket:
		c.ticket = r.text
		w.sendAttempt(c)
	case replyAnswer:
		c.answerCount++
		if c.replayTicket && c.kind == kindOnce && c.ticket != "" {
			c.replayTicket = false
			w.sendAttempt(c)
		}
	case replyNotRun:
		w.schedule.After(r.retryAfter, func() { w.sendAttempt(c) })
	case replyUnknown:
		w.schedule.After(time.Second, func() { w.sendAttempt(c) })
	}
}

// cancelAttempt takes back an attempt.
func (w *requestSimulation) cancelAttempt(t *attempt) {
	t.cancelled = true
	t.entryAgent.deliver(func() { t.entryAgent.handleClosed(t, nil) })
}

// handleClosed takes in that the call of an attempt was handleClosed, by the caller or by a peer.
func (a *requestAgent) handleClosed(t *attempt, from *requestAgent) {
	for _, id := range slices.Sorted(maps.Keys(a.requests)) {
		if x := a.requests[id]; x != nil && x.attempt == t && x.relayedBy == from {
			a.cancelRequest(x)
		}
	}
}

// cancelRequest takes work back whose caller is gone. What was queued is surely not run.
func (a *requestAgent) cancelRequest(x *pendingRequest) {
	held := a.admitter.Holds(x.id)
	a.ledger.RemoveWaiter(x.ticket, x.id)
	a.perform(a.admitter.Cancelled(x.id))
	if a.admitter.Holds(x.id) {
		return
	}
	delete(a.requests, x.id)
	if held && !x.ticket.IsZero() {
		a.answerWaiters(a.ledger.NotRun(x.ticket), reply{kind: replyNotRun, retryAfter: time.Second})
	}
}

// recordRun counts a run.
func (w *requestSimulation) recordRun(t *attempt) {
	w.tracef("copy runs attempt %d of call %d", t.number, t.call.id)
	t.runCount++
	if t.call.kind != kindOnce {
		return
	}
	w.runsByTicket[t.ticket]++
	if n := w.runsByTicket[t.ticket]; n > 1 {
		w.violatef("call %d ran %d times under one ticket", t.call.id, n)
	}
}
