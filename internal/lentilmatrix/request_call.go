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
	kind  replyKind
	text  string // the ticket or the answer
	after time.Duration
}

// maxAttempts is how often a caller tries.
const maxAttempts = 5

// call is what a caller wants done.
type call struct {
	id       int
	kind     lentilconfig.RequestKind
	body     string
	ticket   string
	attempts int
	answers  int
	lastWord replyKind
	again    bool // presents its ticket once more after the answer
}

// attempt is one request of a call.
type attempt struct {
	call      *call
	number    int
	ticket    string
	deadline  time.Time
	entry     *requestAgent
	replied   bool
	cancelled bool
	passed    bool
	runs      int // of attempts without a ticket
}

// answerOf returns the whole answer to a call.
func answerOf(c *call) string { return fmt.Sprintf("answer to %s of call %d", c.body, c.id) }

// ended reports whether nobody waits for the attempt any more.
func (t *attempt) ended() bool { return t.replied || t.cancelled || t.passed }

// call plans a new call.
func (w *requestWorld) call(at time.Time, kind lentilconfig.RequestKind) {
	c := &call{id: len(w.calls) + 1, kind: kind, again: w.random.IntN(3) == 0}
	c.body = fmt.Sprintf("body %x", w.random.Uint64())
	w.calls = append(w.calls, c)
	w.schedule.At(at, func() { w.try(c) })
}

// try sends an attempt of a call to any agent.
func (w *requestWorld) try(c *call) {
	if c.attempts >= maxAttempts || w.schedule.Now().After(w.stopAt) {
		return
	}
	c.attempts++
	t := &attempt{call: c, number: c.attempts, ticket: c.ticket, deadline: w.schedule.Now().Add(callTimeout)}
	t.entry = w.agents[w.random.IntN(len(w.agents))]
	w.send(message{kind: messageRequest, call: c}, func() {
		t.entry.deliver(func() {
			t.entry.receive(t, nil, func(r reply) { w.reply(t, r) })
		})
	})
	if c.kind == kindStream {
		w.schedule.After(streamPatience, func() { w.leave(t) })
		return
	}
	w.schedule.At(t.deadline, func() { w.lapse(t) })
}

// leave closes a stream that shows nothing.
func (w *requestWorld) leave(t *attempt) {
	if !t.ended() {
		w.cancel(t)
	}
}

// lapse ends an attempt that got no reply.
func (w *requestWorld) lapse(t *attempt) {
	if t.replied || t.cancelled {
		return
	}
	t.passed = true
	t.call.lastWord = 0
	w.try(t.call)
}

// reply brings a reply to the caller.
func (w *requestWorld) reply(t *attempt, r reply) {
	w.check(t, r)
	w.send(message{kind: messageAnswer, call: t.call}, func() {
		if t.ended() {
			return
		}
		t.replied = true
		w.hear(t, r)
	})
}

// check holds a reply against what was run.
func (w *requestWorld) check(t *attempt, r reply) {
	c := t.call
	switch r.kind {
	case replyNotRun:
		if t.runs > 0 || (t.ticket != "" && w.runs[t.ticket] > 0) {
			w.fail("call %d was told \"not run\" but a copy had run it", c.id)
		}
	case replyAnswer:
		if r.text != answerOf(c) {
			w.fail("call %d got %q", c.id, r.text)
		}
	}
}

// hear lets the caller go on.
func (w *requestWorld) hear(t *attempt, r reply) {
	c := t.call
	c.lastWord = r.kind
	w.note("call %d hears %d on attempt %d", c.id, r.kind, t.number)
	switch r.kind {
	case replyTicket:
		c.ticket = r.text
		w.try(c)
	case replyAnswer:
		c.answers++
		if c.again && c.kind == kindOnce && c.ticket != "" {
			c.again = false
			w.try(c)
		}
	case replyNotRun:
		w.schedule.After(r.after, func() { w.try(c) })
	case replyUnknown:
		w.schedule.After(time.Second, func() { w.try(c) })
	}
}

// cancel takes back an attempt.
func (w *requestWorld) cancel(t *attempt) {
	t.cancelled = true
	t.entry.deliver(func() { t.entry.closed(t, nil) })
}

// closed takes in that the call of an attempt was closed, by the caller or by a peer.
func (a *requestAgent) closed(t *attempt, from *requestAgent) {
	for _, id := range slices.Sorted(maps.Keys(a.works)) {
		if x := a.works[id]; x != nil && x.attempt == t && x.from == from {
			a.withdraw(x)
		}
	}
}

// withdraw takes work back whose caller is gone. What was queued is surely not run.
func (a *requestAgent) withdraw(x *work) {
	held := a.admitter.Holds(x.id)
	a.ledger.RemoveWaiter(x.ticket, x.id)
	a.perform(a.admitter.Cancelled(x.id))
	if a.admitter.Holds(x.id) {
		return
	}
	delete(a.works, x.id)
	if held && !x.ticket.IsZero() {
		a.wake(a.ledger.NotRun(x.ticket), reply{kind: replyNotRun, after: time.Second})
	}
}

// ran counts a run.
func (w *requestWorld) ran(t *attempt) {
	w.note("copy runs attempt %d of call %d", t.number, t.call.id)
	t.runs++
	if t.call.kind != kindOnce {
		return
	}
	w.runs[t.ticket]++
	if n := w.runs[t.ticket]; n > 1 {
		w.fail("call %d ran %d times under one ticket", t.call.id, n)
	}
}
