package lentilticket

import (
	"cmp"
	"container/heap"
	"slices"
)

// phase is where the request of an entry stands.
type phase uint8

const (
	// runnable: presented, surely not begun; may run.
	runnable phase = iota + 1
	// running: begun, or about to be.
	running
	// done: the answer is stored.
	done
	// delegated: run by a peer under the entry's peer ticket.
	delegated
	// outcomeUnknown: begun once, and no whole answer is stored. Final, but for a late answer.
	outcomeUnknown
)

// entry is what is remembered of a ticket.
type entry struct {
	phase       phase
	fingerprint Fingerprint
	answer      Answer
	answerSize  int
	peerTicket  Ticket
	waiters     []uint64
}

// state is the state of a Ledger. Invariant: every ticket that was ever presented has an
// entry or a sequence below watermark, so that a ticket without an entry at or above watermark
// was surely never run.
type state struct {
	entries      map[uint64]*entry
	watermark    uint64
	evictionHeap sequenceHeap
	answerOrder  []uint64
	storedBytes  int
}

// sequenceHeap is a heap of the sequenceHeap that may be evicted, lowest first.
type sequenceHeap []uint64

func (s sequenceHeap) Len() int           { return len(s) }
func (s sequenceHeap) Less(i, j int) bool { return s[i] < s[j] }
func (s sequenceHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push appends a sequence; it is called by container/heap.
func (s *sequenceHeap) Push(x any) { *s = append(*s, x.(uint64)) }

// Pop removes the last sequence; it is called by container/heap.
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

// present decides about one more attempt of the entry's own request.
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

// evict forgets the earliest issued tickets that aren't running until the rest fits.
func (l *Ledger) evict() {
	var kept []uint64
	for len(l.entries) > l.maxEntries() && len(l.evictionHeap) > 0 {
		sequence := heap.Pop(&l.evictionHeap).(uint64)
		if l.entries[sequence].phase == running {
			kept = append(kept, sequence)
			continue
		}
		l.watermark = max(l.watermark, sequence+1)
		l.dropAnswer(sequence)
		delete(l.entries, sequence)
	}
	for _, sequence := range kept {
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

// findEntry returns the entry of a ticket of this incarnation, or nil.
func (l *Ledger) findEntry(ticket Ticket) *entry {
	if ticket.incarnation != l.Incarnation {
		return nil
	}
	return l.entries[ticket.sequence]
}

// endRun ends a run. An entry that was kept beyond the bound because it ran goes now.
func (l *Ledger) endRun(e *entry, next phase) (waiters []uint64) {
	waiters, e.waiters = e.waiters, nil
	e.phase = next
	l.evict()
	return waiters
}

// trimAnswers drops the oldest answers until the rest fits. The entries stay and answer
// that the outcome is unknown.
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

// size returns about how many bytes the answer takes.
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
