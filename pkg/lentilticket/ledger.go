package lentilticket

import (
	"net/http"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

//go:generate stringer -type=Verdict -trimprefix=Verdict

// Verdict is what to do with a request that brings a ticket.
type Verdict uint8

// The verdicts.
const (
	// VerdictRun means run the request now; Complete, NotBegun or Lost is due.
	VerdictRun Verdict = iota + 1
	// VerdictWait means that it runs already; its end is told to all who wait.
	VerdictWait
	// VerdictReplay means answer with the stored answer.
	VerdictReplay
	// VerdictElsewhere means pass the request to the agent that the decision names.
	VerdictElsewhere
	// VerdictUnknown means answer that the outcome is unknown; never run it.
	VerdictUnknown
	// VerdictRefuse means that the ticket is not for this request, which was not run.
	VerdictRefuse
)

// Answer is a whole answer as the copy gave it.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision is a verdict and what it needs.
type Decision struct {
	verdict Verdict
	answer  Answer
	ticket  Ticket
}

// Verdict returns what to do.
func (d Decision) Verdict() Verdict { return d.verdict }

// Answer returns the stored answer of a VerdictReplay. Its parts must not be changed.
func (d Decision) Answer() Answer { return d.answer }

// Ticket returns, for a VerdictElsewhere, the ticket to send on, whose Control says where to.
func (d Decision) Ticket() Ticket { return d.ticket }

// Ledger is the memory of one incarnation. The zero Ledger with its Incarnation set is
// ready to use. It is not safe for concurrent use.
type Ledger struct {
	// Incarnation is the agent's own, in full.
	Incarnation lentilid.Incarnation
	// MaxEntries is how many tickets are remembered; zero is DefaultEntries.
	MaxEntries int
	// MaxStoredBytes is how much the stored answers may take together; zero is DefaultAnswerBytes.
	MaxStoredBytes int
	// MaxAnswerSize is the size of the largest answer that is stored; zero is DefaultMaxAnswer.
	MaxAnswerSize int
	state
}

const (
	// DefaultMaxEntries is how many tickets a Ledger remembers.
	DefaultMaxEntries = 65536
	// DefaultMaxStoredBytes is how many bytes of answers a Ledger stores.
	DefaultMaxStoredBytes = 32 << 20
	// DefaultMaxAnswerSize is the size in bytes of the largest answer that is stored.
	DefaultMaxAnswerSize = 256 << 10
)

// Present decides about attempt waiter of a request with a ticket. A waiter that was
// told VerdictWait is returned by Complete, NotBegun or Lost, or withdrawn by Leave.
func (l *Ledger) Present(ticket Ticket, fingerprint Fingerprint, waiter uint64) Decision {
	return l.present(ticket, fingerprint, waiter)
}

// Delegate records that a request whose verdict was VerdictRun has not begun here and is
// run under a peer's ticket instead. Later attempts are sent there. It returns the waiters.
func (l *Ledger) Delegate(ticket, peer Ticket) (waiters []uint64) { return l.delegate(ticket, peer) }

// Complete stores the answer of a run and returns those who wait for it.
func (l *Ledger) Complete(ticket Ticket, answer Answer) (waiters []uint64) {
	return l.complete(ticket, answer)
}

// NotRun records that a run surely did not begin, so that a later attempt may run it. It
// returns those who wait; each is answered "not run".
func (l *Ledger) NotRun(ticket Ticket) (waiters []uint64) { return l.notRun(ticket) }

// AnswerLost records that a run may have begun and gave no whole answer. It returns those
// who wait; each is answered "outcome unknown".
func (l *Ledger) AnswerLost(ticket Ticket) (waiters []uint64) { return l.answerLost(ticket) }

// RemoveWaiter withdraws a waiter.
func (l *Ledger) RemoveWaiter(ticket Ticket, waiter uint64) { l.removeWaiter(ticket, waiter) }

// Len returns how many tickets are remembered.
func (l *Ledger) Len() int { return len(l.entries) }
