package lentilticket

import (
	"cmp"
	"container/heap"
	"slices"
)

// phase is the state of the request of an entry.
type phase uint8

const (
	// runnable: presented and certainly not run. The next attempt may run it.
	runnable phase = iota + 1
	// running: started or about to start.
	running
	// done: the answer is stored.
	done
	// delegated: handed to a peer, which runs it under the entry's peer ticket.
	delegated
	// outcomeUnknown: may have run, and no complete answer is stored. Only a late answer
	// changes this phase.
	outcomeUnknown
)

// entry is the stored state of a ticket.
type entry struct {
	phase       phase
	fingerprint Fingerprint
	answer      Answer
	answerSize  int
	peerTicket  Ticket
	waiters     []uint64
}

// state is the state of a Ledger. Invariant: every ticket that was ever presented has an
// entry or a sequence below watermark. A ticket without an entry whose sequence is at or
// above watermark was therefore certainly never run.
type state struct {
	entries map[uint64]*entry
	// watermark is one more than the highest sequence that was evicted.
	watermark uint64
	// evictionHeap holds the sequences of all entries.
	evictionHeap sequenceHeap
	// answerOrder holds the sequences of the stored answers, oldest first.
	answerOrder []uint64
	storedBytes int
}

// sequenceHeap is a min-heap of ticket sequences.
type sequenceHeap []uint64

func (s sequenceHeap) Len() int           { return len(s) }
func (s sequenceHeap) Less(i, j int) bool { return s[i] < s[j] }
func (s sequenceHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *sequenceHeap) Push(x any) { *s = append(*s, x.(uint64)) }

// Pop implements heap.Interface.
func (s *sequenceHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func (l *Ledger) present(ticket Ticket, fingerprint Fingerprint, waiter uint64) Decision {
	if ticket.incarnation != l.Incarnation {
		return Decision{verdict: VerdictElsewhere, ticket: ticket}
	}
	e, ok := l.entries[ticket.sequence]
	switch {
	case !ok && ticket.sequence < l.watermark:
		return Decision{verdict: VerdictUnknown}
	case !ok:
		l.insert(ticket.sequence, &entry{phase: running, fingerprint: fingerprint})
		return Decision{verdict: VerdictRun}
	case e.fingerprint != fingerprint:
		return Decision{verdict: VerdictRefuse}
	}
	return e.present(waiter)
}

// present decides about another attempt of the request to which the entry belongs.
func (e *entry) present(waiter uint64) Decision {
	switch e.phase {
	case runnable:
		e.phase = running
		return Decision{verdict: VerdictRun}
	case running:
		e.waiters = append(e.waiters, waiter)
		return Decision{verdict: VerdictWait}
	case done:
		return Decision{verdict: VerdictReplay, answer: e.answer}
	case delegated:
		return Decision{verdict: VerdictElsewhere, ticket: e.peerTicket}
	default:
		return Decision{verdict: VerdictUnknown}
	}
}

func (l *Ledger) insert(sequence uint64, e *entry) {
	if l.entries == nil {
		l.entries = make(map[uint64]*entry)
	}
	l.entries[sequence] = e
	heap.Push(&l.evictionHeap, sequence)
	l.evict()
}

// evict removes the entries with the lowest sequences, except running ones, until at most
// maxEntries are left.
func (l *Ledger) evict() {
	var skipped []uint64
	for len(l.entries) > l.maxEntries() && len(l.evictionHeap) > 0 {
		sequence := heap.Pop(&l.evictionHeap).(uint64)
		if l.entries[sequence].phase == running {
			skipped = append(skipped, sequence)
			continue
		}
		l.watermark = max(l.watermark, sequence+1)
		l.dropAnswer(sequence)
		delete(l.entries, sequence)
	}
	for _, sequence := range skipped {
		heap.Push(&l.evictionHeap, sequence)
	}
}

func (l *Ledger) complete(ticket Ticket, answer Answer) (waiters []uint64) {
	e := l.findEntry(ticket)
	if e == nil || (e.phase != running && e.phase != outcomeUnknown) {
		return nil
	}
	size := answer.size()
	if size > l.maxAnswerSize() {
		return l.endRun(e, outcomeUnknown)
	}
	e.answer, e.answerSize = answer, size
	l.storedBytes += size
	l.answerOrder = append(l.answerOrder, ticket.sequence)
	waiters = l.endRun(e, done)
	l.trimAnswers()
	return waiters
}

func (l *Ledger) delegate(ticket, peer Ticket) (waiters []uint64) {
	e := l.findEntry(ticket)
	if e == nil || e.phase != running {
		return nil
	}
	e.peerTicket = peer
	return l.endRun(e, delegated)
}

func (l *Ledger) notRun(ticket Ticket) (waiters []uint64) {
	e := l.findEntry(ticket)
	if e == nil || e.phase != running {
		return nil
	}
	return l.endRun(e, runnable)
}

func (l *Ledger) answerLost(ticket Ticket) (waiters []uint64) {
	e := l.findEntry(ticket)
	if e == nil || e.phase != running {
		return nil
	}
	return l.endRun(e, outcomeUnknown)
}

func (l *Ledger) removeWaiter(ticket Ticket, waiter uint64) {
	if e := l.findEntry(ticket); e != nil {
		e.waiters = slices.DeleteFunc(e.waiters, func(w uint64) bool { return w == waiter })
	}
}

// findEntry returns the entry of a ticket. It returns nil if there is none or if the ticket
// belongs to another incarnation.
func (l *Ledger) findEntry(ticket Ticket) *entry {
	if ticket.incarnation != l.Incarnation {
		return nil
	}
	return l.entries[ticket.sequence]
}

// endRun moves an entry to its next phase and returns its waiters. It evicts entries again,
// because running entries are kept beyond maxEntries.
func (l *Ledger) endRun(e *entry, next phase) (waiters []uint64) {
	waiters, e.waiters = e.waiters, nil
	e.phase = next
	l.evict()
	return waiters
}

// trimAnswers drops the oldest answers until the rest takes at most maxStoredBytes. Their
// entries stay, with an unknown outcome.
func (l *Ledger) trimAnswers() {
	for l.storedBytes > l.maxStoredBytes() && len(l.answerOrder) > 0 {
		sequence := l.answerOrder[0]
		l.answerOrder = l.answerOrder[1:]
		l.dropAnswer(sequence)
	}
}

func (l *Ledger) dropAnswer(sequence uint64) {
	e := l.entries[sequence]
	if e == nil || e.phase != done {
		return
	}
	l.storedBytes -= e.answerSize
	e.phase, e.answer, e.answerSize = outcomeUnknown, Answer{}, 0
}

// size returns the approximate size of the answer in bytes.
func (a Answer) size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return size
}

func (l *Ledger) maxEntries() int { return cmp.Or(l.MaxEntries, DefaultMaxEntries) }

func (l *Ledger) maxStoredBytes() int { return cmp.Or(l.MaxStoredBytes, DefaultMaxStoredBytes) }

func (l *Ledger) maxAnswerSize() int { return cmp.Or(l.MaxAnswerSize, DefaultMaxAnswerSize) }
