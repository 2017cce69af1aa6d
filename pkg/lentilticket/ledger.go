package lentilticket

import (
	"net/http"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

//go:generate stringer -type=Verdict -trimprefix=Verdict

// Verdict says how to handle a request that carries a ticket.
type Verdict uint8

// The verdicts.
const (
	// VerdictRun means that the request is run now. The run must be ended by Complete, NotRun,
	// AnswerLost or Delegate.
	VerdictRun Verdict = iota + 1
	// VerdictWait means that the request is already running. The attempt waits for the result
	// of that run.
	VerdictWait
	// VerdictReplay means that the stored answer is sent.
	VerdictReplay
	// VerdictElsewhere means that the request is forwarded to the agent named by
	// Decision.Ticket.
	VerdictElsewhere
	// VerdictUnknown means that the outcome is unknown. The request must not be run.
	VerdictUnknown
	// VerdictRefuse means that the ticket belongs to a different request. This request was
	// not run.
	VerdictRefuse
)

// Answer is a complete HTTP response of the copy.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision is a verdict with the answer or ticket that belongs to it.
type Decision struct {
	verdict Verdict
	answer  Answer
	ticket  Ticket
}

// Verdict returns how to handle the request.
func (d Decision) Verdict() Verdict { return d.verdict }

// Answer returns the stored answer if the verdict is VerdictReplay. Its header and body must
// not be modified.
func (d Decision) Answer() Answer { return d.answer }

// Ticket returns the ticket under which the request is forwarded if the verdict is
// VerdictElsewhere. The request goes to the Control address of that ticket.
func (d Decision) Ticket() Ticket { return d.ticket }

// Ledger stores the state and the answers of the tickets of one incarnation. It is ready to
// use once Incarnation is set. It is not safe for concurrent use.
type Ledger struct {
	// Incarnation is the full incarnation of the agent.
	Incarnation lentilid.Incarnation
	// MaxEntries is the maximum number of stored tickets. It is exceeded while more than that
	// are running. Zero means DefaultMaxEntries.
	MaxEntries int
	// MaxStoredBytes is the maximum total size of the stored answers in bytes. Zero means
	// DefaultMaxStoredBytes.
	MaxStoredBytes int
	// MaxAnswerSize is the maximum size in bytes of an answer that is stored. Zero means
	// DefaultMaxAnswerSize.
	MaxAnswerSize int
	state
}

const (
	// DefaultMaxEntries is the default of Ledger.MaxEntries.
	DefaultMaxEntries = 65536
	// DefaultMaxStoredBytes is the default of Ledger.MaxStoredBytes, in bytes.
	DefaultMaxStoredBytes = 32 << 20
	// DefaultMaxAnswerSize is the default of Ledger.MaxAnswerSize, in bytes.
	DefaultMaxAnswerSize = 256 << 10
)

// Present decides how to handle one attempt of a request with a ticket. Waiter identifies the
// attempt. After VerdictWait it is returned by the call that ends the run, unless
// RemoveWaiter removes it before.
func (l *Ledger) Present(ticket Ticket, fingerprint Fingerprint, waiter uint64) Decision {
	return l.present(ticket, fingerprint, waiter)
}

// Delegate records that a request whose verdict was VerdictRun was not run here and is run
// under a peer's ticket instead. Later attempts are forwarded to that peer. It returns the
// waiters.
func (l *Ledger) Delegate(ticket, peer Ticket) (waiters []uint64) { return l.delegate(ticket, peer) }

// Complete stores the answer of a run and returns the waiters. It also takes an answer that
// arrives after AnswerLost. An answer larger than MaxAnswerSize isn't stored, and later
// attempts get VerdictUnknown.
func (l *Ledger) Complete(ticket Ticket, answer Answer) (waiters []uint64) {
	return l.complete(ticket, answer)
}

// NotRun records that the request was certainly not run. A later attempt may run it. It
// returns the waiters, each of which is answered "not run".
func (l *Ledger) NotRun(ticket Ticket) (waiters []uint64) { return l.notRun(ticket) }

// AnswerLost records that the request may have run and gave no complete answer. It returns
// the waiters, each of which is answered "outcome unknown".
func (l *Ledger) AnswerLost(ticket Ticket) (waiters []uint64) { return l.answerLost(ticket) }

// RemoveWaiter removes a waiter of a running request.
func (l *Ledger) RemoveWaiter(ticket Ticket, waiter uint64) { l.removeWaiter(ticket, waiter) }

// Len returns the number of stored tickets.
func (l *Ledger) Len() int { return len(l.entries) }
