package lentilledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// minWriteInterval is the shortest time between two writes of a group. With many balancers it is
	// writeIntervalPerBalancer for each of them, so that all groups of a fleet of 3,400 balancers, 200 in each of 15
	// failure domains, take a tenth of the 1,200 writes a second of the users' store.
	minWriteInterval         = time.Second
	writeIntervalPerBalancer = 8 * time.Millisecond
	// maxGroupBytes bounds the flows in the object of a group, which may have 1 MB and takes a third more as text. Agents
	// that it has no room for get no acknowledgement, and write their own ledgers.
	maxGroupBytes = 512 << 10
	// entryBytes is the size of an entry without its flows.
	entryBytes = 256
	// idleGroupTimeout is how long a group without reports is kept.
	idleGroupTimeout = time.Minute
)

// Entry is an agent's ledger in the object of a group.
type Entry struct {
	Agent  string
	Ledger Ledger
}

// Writer keeps the ledgers of the agents that report to a balancer, and decides when a group is written. The zero Writer
// is ready to use. It is not safe for concurrent use.
type Writer struct {
	// Clock is the source of time; nil is the system clock.
	Clock lentilclock.Clock
	// Balancers is the number of balancers of the site, as far as known.
	Balancers int

	groups map[string]*group
}

// group is a group that the balancer writes.
type group struct {
	entries map[string]*entry
	// loaded is set while the object in the store is known, at the given revision; 0 means that there is none.
	loaded   bool
	revision uint64
	dirty    bool
	// writing is set while the store is called.
	writing           bool
	triedAt, reportAt time.Time
	pendingAcks       []AckTo
}

// entry is the ledger of an agent.
type entry struct {
	run, sequence uint64
	// identity is the ledger without its flows.
	identity Ledger
	flows    map[lentilflow.Key]uint32
	// reporter is the agent's address while it reports to this balancer; zero for a ledger that was read from the store.
	reporter lentilflow.Endpoint
}

// AckTo is an Ack and the address of the agent that gets it.
type AckTo struct {
	To  lentilflow.Endpoint
	Ack Ack
}

func (w *Writer) now() time.Time { return lentilclock.OrSystem(w.Clock).Now() }

// HandleReport processes a report. It returns an Ack with Resend if the reports before are missing.
func (w *Writer) HandleReport(from lentilflow.Endpoint, m Report) (ack Ack, reply bool) {
	g := w.groups[m.Group]
	if g == nil {
		g = &group{entries: make(map[string]*entry)}
		if w.groups == nil {
			w.groups = make(map[string]*group)
		}
		w.groups[m.Group] = g
	}
	g.reportAt = w.now()
	e := g.entries[m.Agent]
	run, sequence := m.Ledger.Run, m.Ledger.Sequence
	switch {
	case e != nil && (run < e.run || run == e.run && sequence <= e.sequence):
		return ack, false // It is late, or was sent twice.
	case m.Full:
		e = &entry{flows: make(map[lentilflow.Key]uint32)}
		g.entries[m.Agent] = e
	case e == nil || e.reporter != from || e.run != run || e.sequence+1 != sequence:
		return Ack{Run: run, Resend: true}, true
	}
	for _, f := range m.Ledger.Flows {
		e.flows[f.Key] = f.Acknowledged
	}
	for _, key := range m.Removed {
		delete(e.flows, key)
	}
	e.run, e.sequence, e.identity, e.reporter = run, sequence, m.Ledger, from
	e.identity.Flows = nil
	g.dirty = true
	return ack, false
}

// writeInterval returns the shortest time between two writes of a group.
func (w *Writer) writeInterval() time.Duration {
	return max(minWriteInterval, time.Duration(w.Balancers)*writeIntervalPerBalancer)
}

// Next returns a group that is due to be written, and marks it as being written. load is set if its object must be read
// before.
func (w *Writer) Next() (name string, load, ok bool) {
	now := w.now()
	for name, g := range w.groups {
		switch {
		case g.writing:
		case now.Sub(g.reportAt) >= idleGroupTimeout:
			delete(w.groups, name)
		case g.dirty && now.Sub(g.triedAt) >= w.writeInterval():
			g.writing, g.triedAt = true, now
			return name, !g.loaded, true
		}
	}
	return "", false, false
}

// Loaded takes the object of a group, as read from the store at a revision, which is 0 if there is none. Of each agent, the
// newer ledger counts.
func (w *Writer) Loaded(name string, revision uint64, entries []Entry) {
	g := w.groups[name]
	g.loaded, g.revision = true, revision
	for agent, e := range g.entries {
		if e.reporter == (lentilflow.Endpoint{}) {
			delete(g.entries, agent)
		}
	}
	for _, stored := range entries {
		if held := g.entries[stored.Agent]; held != nil && !stored.Ledger.NewerThan(&Ledger{Run: held.run, Sequence: held.sequence}) {
			continue
		}
		e := &entry{run: stored.Ledger.Run, sequence: stored.Ledger.Sequence, identity: stored.Ledger, flows: make(map[lentilflow.Key]uint32, len(stored.Ledger.Flows))}
		e.identity.Flows = nil
		for _, f := range stored.Ledger.Flows {
			e.flows[f.Key] = f.Acknowledged
		}
		g.entries[stored.Agent] = e
	}
}

// Compose returns the content of a group's object and its revision. known tells whether an agent still exists; the ledgers
// of others are left out, unless they report.
func (w *Writer) Compose(name string, known func(agent string) bool) (entries []Entry, revision uint64) {
	g := w.groups[name]
	g.dirty, g.pendingAcks = false, nil
	size := 0
	for _, agent := range slices.Sorted(maps.Keys(g.entries)) {
		e := g.entries[agent]
		reports := e.reporter != lentilflow.Endpoint{}
		if !reports && !known(agent) {
			delete(g.entries, agent)
			continue
		}
		if size += entryBytes + flowRecordSize*len(e.flows); size > maxGroupBytes {
			break
		}
		entries = append(entries, Entry{Agent: agent, Ledger: e.ledger()})
		if reports {
			g.pendingAcks = append(g.pendingAcks, AckTo{To: e.reporter, Ack: Ack{Run: e.run, Sequence: e.sequence}})
		}
	}
	return entries, g.revision
}

// ledger returns the ledger with its flows in a fixed order.
func (e *entry) ledger() (l Ledger) {
	l = e.identity
	l.Run, l.Sequence = e.run, e.sequence
	for key, acknowledged := range e.flows {
		l.Flows = append(l.Flows, Flow{Key: key, Acknowledged: acknowledged})
	}
	slices.SortFunc(l.Flows, func(a, b Flow) int { return cmp.Compare(a.Key.Hash(), b.Key.Hash()) })
	return l
}

// Saved records that a group was written, at a revision, and returns the acknowledgements that are due.
func (w *Writer) Saved(name string, revision uint64) (acks []AckTo) {
	g := w.groups[name]
	g.writing, g.revision = false, revision
	g.loaded = revision != 0
	acks, g.pendingAcks = g.pendingAcks, nil
	return acks
}

// Failed records that a group could not be read or written. Its object is read before the next try: another writer may have
// changed it, or the store may have written it although the answer was lost.
func (w *Writer) Failed(name string) {
	g := w.groups[name]
	g.writing, g.loaded, g.dirty, g.pendingAcks = false, false, true, nil
}

// Renew makes all groups due, since the store has returned from an older copy.
func (w *Writer) Renew() {
	for _, g := range w.groups {
		g.loaded, g.dirty = false, true
	}
}
