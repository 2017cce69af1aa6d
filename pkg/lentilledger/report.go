package lentilledger

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// MaxReportFlows is the maximum number of flows in one Report: as many as fit into a datagram of 1,200 bytes beside
	// long names.
	MaxReportFlows = 48
	// ackTimeout is how long a change may be reported without an acknowledgement before the agent writes its own ledger.
	// The writer's interval is a second, and the store may take as long.
	ackTimeout = 3 * time.Second
	// refreshBytes is by how much the client's acknowledgement of a listed flow advances before it is reported again. A reset
	// counts only within 76,800 bytes of the client's last acknowledgement.
	refreshBytes = 32 << 10
	// avoidWriterFor is how long a writer that hasn't acknowledged is avoided: a restart takes less.
	avoidWriterFor = 10 * time.Second
)

// Report tells the writer of a group what has changed in an agent's ledger.
type Report struct {
	// Group and Agent name the group and the agent.
	Group, Agent string
	// Ledger has the identity of the agent and its upstream, and in Flows those that were added since the last report.
	Ledger Ledger
	// Removed has the flows that the ledger no longer lists.
	Removed []lentilflow.Key
	// Full is set if the ledger is empty but for the added flows.
	Full bool
}

// Ack answers a Report.
type Ack struct {
	Run uint64
	// Sequence is that of the last report whose changes are in the store.
	Sequence uint64
	// Resend asks for a full report, since the writer doesn't know the ones before.
	Resend bool
}

// Reporter decides what an agent reports, and whether it must write its own ledger. The zero Reporter has no writer. It is
// not safe for concurrent use.
type Reporter struct {
	// Clock is the source of time; nil is the system clock.
	Clock lentilclock.Clock
	// Group and Agent are those of the reports.
	Group, Agent string
	// Run is the number of the agent's run, one more than that of the ledgers that it found at its start.
	Run uint64

	writer          lentilflow.Endpoint
	sequence, acked uint64
	unackedSince    time.Time
	// fullAt is when the last full report was made.
	fullAt time.Time
	// reported has the flows that the writer knows once it has got all reports, with the acknowledgement numbers. It is nil
	// if the next report is full.
	reported map[lentilflow.Key]uint32
	// identity is the reported ledger without its flows.
	identity Ledger
	avoided  map[lentilflow.Endpoint]time.Time
}

func (r *Reporter) now() time.Time { return lentilclock.OrSystem(r.Clock).Now() }

// Sequence returns the number of the last report.
func (r *Reporter) Sequence() uint64 { return r.sequence }

// Avoids reports whether a balancer has lately failed to acknowledge reports.
func (r *Reporter) Avoids(writer lentilflow.Endpoint) bool {
	at, ok := r.avoided[writer]
	return ok && r.now().Sub(at) < avoidWriterFor
}

// Report returns the reports that bring the writer up to date with a ledger. A zero writer means that there is none.
func (r *Reporter) Report(writer lentilflow.Endpoint, ledger Ledger) (reports []Report) {
	if writer != r.writer {
		r.writer, r.reported = writer, nil
	}
	flows := ledger.Flows
	ledger.Flows, ledger.Run, ledger.Sequence = nil, r.Run, 0
	if !sameIdentity(ledger, r.identity) {
		r.identity, r.reported = ledger, nil
	}
	if writer == (lentilflow.Endpoint{}) {
		return nil
	}
	if now := r.now(); r.overdue(now) && now.Sub(r.fullAt) >= ackTimeout {
		r.reported = nil // The writer may have lost the reports.
	}
	full := r.reported == nil
	if full {
		r.fullAt = r.now()
	}
	listed := make(map[lentilflow.Key]uint32, len(flows))
	var added []Flow
	for _, f := range flows {
		reported, ok := r.reported[f.Key]
		if !ok || f.Acknowledged-reported >= refreshBytes {
			added, reported = append(added, f), f.Acknowledged
		}
		listed[f.Key] = reported
	}
	var removed []lentilflow.Key
	for key := range r.reported {
		if _, ok := listed[key]; !ok {
			removed = append(removed, key)
		}
	}
	r.reported = listed
	for full || len(added) > 0 || len(removed) > 0 {
		m := Report{Group: r.Group, Agent: r.Agent, Ledger: ledger, Full: full}
		m.Ledger.Flows, added = split(added, MaxReportFlows)
		m.Removed, removed = split(removed, MaxReportFlows-len(m.Ledger.Flows))
		reports, full = append(reports, r.numbered(m)), false
	}
	return reports
}

// numbered gives a report the next number.
func (r *Reporter) numbered(m Report) Report {
	if r.acked == r.sequence {
		r.unackedSince = r.now()
	}
	r.sequence++
	m.Ledger.Sequence = r.sequence
	return m
}

func split[T any](all []T, n int) (first, rest []T) {
	n = min(n, len(all))
	return all[:n], all[n:]
}

// sameIdentity reports whether two ledgers are of the same run of an upstream, and of the same era.
func sameIdentity(a, b Ledger) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Era == b.Era && a.Run == b.Run &&
		a.UpstreamID == b.UpstreamID && a.UpstreamIncarnation == b.UpstreamIncarnation
}

// HandleAck processes an Ack. One of another balancer than the writer counts too, since it tells what is in the store.
func (r *Reporter) HandleAck(from lentilflow.Endpoint, m Ack) {
	if m.Run != r.Run || m.Sequence > r.sequence {
		return
	}
	if m.Resend {
		if from == r.writer {
			r.reported = nil
		}
		return
	}
	if m.Sequence > r.acked {
		r.acked, r.unackedSince = m.Sequence, r.now()
	}
	delete(r.avoided, from)
}

// overdue reports whether the acknowledgement of a report is overdue.
func (r *Reporter) overdue(now time.Time) bool {
	return r.acked != r.sequence && now.Sub(r.unackedSince) >= ackTimeout
}

// Covered reports whether the store holds what was reported, or may hold it soon.
func (r *Reporter) Covered() bool {
	return r.writer != lentilflow.Endpoint{} && r.sequence > 0 && !r.overdue(r.now())
}

// AvoidOverdueWriter avoids the writer for a while if it has left reports without an acknowledgement for too long.
func (r *Reporter) AvoidOverdueWriter() {
	now := r.now()
	if r.writer == (lentilflow.Endpoint{}) || !r.overdue(now) || r.Avoids(r.writer) {
		return
	}
	if r.avoided == nil {
		r.avoided = make(map[lentilflow.Endpoint]time.Time)
	}
	r.avoided[r.writer] = now
}
