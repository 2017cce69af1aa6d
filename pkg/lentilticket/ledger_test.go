package lentilticket

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

const (
	testMaxEntries     = 4
	testMaxStoredBytes = 18
)

// ledgerModel is what must hold of a ledger, kept without bounds.
type ledgerModel struct {
	ledger       Ledger
	issuer       Issuer
	issued       []Ticket
	mayHaveRun   map[uint64]bool // ran, or may have run, and wasn't taken back
	fingerprints map[uint64]Fingerprint
	running      map[uint64]bool
	answers      map[uint64]string
	delegated    map[uint64]Ticket
	waiters      map[uint64]map[uint64]bool
	lastWaiter   uint64
}

func fingerprintOf(t Ticket) Fingerprint {
	return NewFingerprint("POST", "/bookings", fmt.Append(nil, t.sequence))
}

func (m *ledgerModel) presentTicket(t *rapid.T, ticket Ticket, fingerprint Fingerprint) {
	m.lastWaiter++
	key := ticket.sequence
	d := m.ledger.Present(ticket, fingerprint, m.lastWaiter)
	if ticket.incarnation != m.ledger.Incarnation {
		if d.Verdict() != VerdictElsewhere || d.Ticket() != ticket {
			t.Fatalf("ticket of another incarnation: %s", d.Verdict())
		}
		return
	}
	first, known := m.fingerprints[key]
	if known && first != fingerprint && d.Verdict() != VerdictRefuse && d.Verdict() != VerdictUnknown {
		t.Fatalf("another request under ticket %d: %s", key, d.Verdict())
	}
	switch d.Verdict() {
	case VerdictRun:
		if m.mayHaveRun[key] {
			t.Fatalf("ticket %d would run twice", key)
		}
		m.mayHaveRun[key], m.running[key], m.fingerprints[key] = true, true, fingerprint
	case VerdictWait:
		if !m.running[key] {
			t.Fatalf("ticket %d waits for a run that is over", key)
		}
		m.waiters[key][m.lastWaiter] = true
	case VerdictReplay:
		if want := m.answers[key]; want == "" || string(d.Answer().Body) != want {
			t.Fatalf("ticket %d got answer %q, want %q", key, d.Answer().Body, want)
		}
	case VerdictElsewhere:
		if d.Ticket() != m.delegated[key] {
			t.Fatalf("ticket %d sent to %v", key, d.Ticket())
		}
	}
}

// endRun closes a run and checks that exactly those who wait are told.
func (m *ledgerModel) endRun(t *rapid.T, ticket Ticket, waiters []uint64) {
	key := ticket.sequence
	got := make(map[uint64]bool)
	for _, w := range waiters {
		got[w] = true
	}
	if diff := cmp.Diff(m.waiters[key], got); m.running[key] && diff != "" {
		t.Fatalf("waiters of %d (-want +got):\n%s", key, diff)
	}
	m.waiters[key] = make(map[uint64]bool)
	m.running[key] = false
}

func TestLedgerRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerModel{
			ledger: Ledger{Incarnation: 7, MaxEntries: testMaxEntries, MaxStoredBytes: testMaxStoredBytes, MaxAnswerSize: 20},
			issuer: Issuer{Incarnation: 7}, mayHaveRun: make(map[uint64]bool), fingerprints: make(map[uint64]Fingerprint),
			running: make(map[uint64]bool), answers: make(map[uint64]string), delegated: make(map[uint64]Ticket),
			waiters: make(map[uint64]map[uint64]bool),
		}
		pick := func(t *rapid.T) Ticket {
			if len(m.issued) == 0 {
				t.Skip("nothing issued")
			}
			return rapid.SampledFrom(m.issued).Draw(t, "ticket")
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(*rapid.T) {
				k := m.issuer.Issue()
				m.issued = append(m.issued, k)
				m.waiters[k.sequence] = make(map[uint64]bool)
			},
			"present": func(t *rapid.T) { k := pick(t); m.presentTicket(t, k, fingerprintOf(k)) },
			"other": func(t *rapid.T) {
				k := pick(t)
				m.presentTicket(t, k, fingerprintOf(Ticket{sequence: k.sequence + 1000}))
			},
			"stranger": func(t *rapid.T) {
				k := pick(t)
				k.incarnation = 8
				m.presentTicket(t, k, fingerprintOf(k))
			},
			"complete": func(t *rapid.T) {
				k := pick(t)
				body := fmt.Sprintf("answer %0*d", rapid.IntRange(1, 16).Draw(t, "width"), k.sequence)
				if m.running[k.sequence] && len(body) <= m.ledger.MaxAnswerSize {
					m.answers[k.sequence] = body
				}
				if !m.mayHaveRun[k.sequence] || (!m.running[k.sequence] && m.answers[k.sequence] != "") {
					t.Skip("no run of which an answer may come")
				}
				m.answers[k.sequence] = body
				m.endRun(t, k, m.ledger.Complete(k, Answer{Body: []byte(body)}))
			},
			"not begun": func(t *rapid.T) {
				k := pick(t)
				if m.running[k.sequence] {
					m.mayHaveRun[k.sequence] = false
				}
				m.endRun(t, k, m.ledger.NotRun(k))
			},
			"lost": func(t *rapid.T) { k := pick(t); m.endRun(t, k, m.ledger.AnswerLost(k)) },
			"delegate": func(t *rapid.T) {
				k := pick(t)
				peer := Ticket{incarnation: 9, sequence: k.sequence}
				if m.running[k.sequence] {
					m.delegated[k.sequence] = peer
				}
				m.endRun(t, k, m.ledger.Delegate(k, peer))
			},
			"leave": func(t *rapid.T) {
				k := pick(t)
				for w := range m.waiters[k.sequence] {
					m.ledger.RemoveWaiter(k, w)
				}
				m.waiters[k.sequence] = make(map[uint64]bool)
			},
			"": func(t *rapid.T) {
				running := 0
				for _, r := range m.running {
					if r {
						running++
					}
				}
				if m.ledger.Len() > max(testMaxEntries, running) || m.ledger.storedBytes > testMaxStoredBytes {
					t.Fatalf("%d entries with %d running, %d bytes", m.ledger.Len(), running, m.ledger.storedBytes)
				}
			},
		})
	})
}

func TestEvictedTicketHasUnknownOutcome(t *testing.T) {
	l := Ledger{Incarnation: 1, MaxEntries: 2}
	i := Issuer{Incarnation: 1}
	tickets := []Ticket{i.Issue(), i.Issue(), i.Issue(), i.Issue()}
	for _, k := range tickets[:1] {
		l.Present(k, fingerprintOf(k), 0)
		l.Complete(k, Answer{Body: []byte("x")})
	}
	for _, k := range tickets[2:] {
		l.Present(k, fingerprintOf(k), 0)
		l.AnswerLost(k)
	}
	got := []Verdict{}
	for _, k := range tickets {
		got = append(got, l.Present(k, fingerprintOf(k), 0).Verdict())
	}
	// The second was never presented and is not below what was evicted.
	want := []Verdict{VerdictUnknown, VerdictRun, VerdictUnknown, VerdictUnknown}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

func TestTicketOfOtherIncarnationIsForwarded(t *testing.T) {
	before := Issuer{Incarnation: 0xdeadbeef00000001}
	l := Ledger{Incarnation: lentilid.Incarnation(0xdeadbeef00000002)}
	k := before.Issue()
	if got := l.Present(k, fingerprintOf(k), 0).Verdict(); got != VerdictElsewhere {
		t.Errorf("ticket of the incarnation before: %s", got)
	}
}
