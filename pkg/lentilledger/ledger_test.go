package lentilledger

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

func testKey(n int) lentilflow.Key {
	return lentilflow.NewKey(lentilflow.NewEndpoint([4]byte{100, 64, byte(n >> 8), byte(n)}, 1025), lentilflow.NewEndpoint([4]byte{198, 18, 0, 1}, 443))
}

func testAddress(kind byte, n int) lentilflow.Endpoint {
	return lentilflow.NewEndpoint([4]byte{10, kind, 0, byte(n)}, 7720)
}

func TestNewerThan(t *testing.T) {
	for _, c := range []struct {
		a, b Ledger
		want bool
	}{
		{Ledger{Run: 1, Sequence: 2}, Ledger{Run: 1, Sequence: 1}, true},
		{Ledger{Run: 1, Sequence: 1}, Ledger{Run: 1, Sequence: 1}, false},
		{Ledger{Run: 2}, Ledger{Run: 1, Sequence: 9}, true},
		{Ledger{}, Ledger{Run: 1}, false},
	} {
		if got := c.a.NewerThan(&c.b); got != c.want {
			t.Errorf("%+v newer than %+v: %t", c.a, c.b, got)
		}
	}
}

// TestLatest checks which ledger a starting agent restores, also after a run of an earlier release, whose own ledger has no
// run and is newer than what its group still holds.
func TestLatest(t *testing.T) {
	own := Ledger{Service: "a", Run: 2, Sequence: 5}
	entry := func(run, sequence uint64) []Entry {
		return []Entry{{Agent: "other", Ledger: Ledger{Run: 90}}, {Agent: "a", Ledger: Ledger{Service: "a", Run: run, Sequence: sequence}}}
	}
	for _, c := range []struct {
		name      string
		own       Ledger
		group     []Entry
		fromGroup bool
		run       uint64
	}{
		{"none", Ledger{}, nil, false, 1},
		{"only the own", own, nil, false, 3},
		{"only the group's", Ledger{}, entry(4, 1), true, 5},
		{"the group's is newer", own, entry(2, 6), true, 3},
		{"the same", own, entry(2, 5), false, 3},
		{"the group's is of an earlier run", own, entry(1, 9), false, 3},
		{"the own is of an earlier release", Ledger{Service: "a"}, entry(4, 1), false, 5},
	} {
		latest, fromGroup, run := Latest(c.own, c.group, "a")
		if fromGroup != c.fromGroup || run != c.run || !fromGroup && latest.Sequence != c.own.Sequence {
			t.Errorf("%s: %+v, from the group %t, run %d", c.name, latest, fromGroup, run)
		}
	}
}

// testAgent is an agent of the play below.
type testAgent struct {
	name     string
	address  lentilflow.Endpoint
	reporter Reporter
	flows    map[lentilflow.Key]bool
	// history has the flows that the agent has reported, by run and sequence.
	history map[[2]uint64]map[lentilflow.Key]bool
}

// play connects agents, writers and a store. Datagrams may be lost, and writes may be answered late or never.
type play struct {
	t       *rapid.T
	clock   *lentilclock.Fake
	agents  []*testAgent
	writers []*Writer
	// object, revision and era are what the store holds; revision 0 means that there is no object.
	object   []Entry
	revision uint64
	// pending are writes that the store has got and not yet carried out.
	pending []func()
	// sent has all reports that a writer has got, which the network may deliver again.
	sent []func()
	// view is the writer that each agent chooses.
	view []int
}

const testGroup = "palermo-0"

func newPlay(t *rapid.T) *play {
	p := &play{t: t, clock: &lentilclock.Fake{}}
	p.clock.Advance(time.Hour)
	for i := range 3 {
		a := &testAgent{name: fmt.Sprint("agent-", i), address: testAddress(1, i), flows: make(map[lentilflow.Key]bool), history: make(map[[2]uint64]map[lentilflow.Key]bool)}
		a.reporter = Reporter{Clock: p.clock, Group: testGroup, Agent: a.name, Run: 1}
		p.agents, p.view = append(p.agents, a), append(p.view, 0)
	}
	for range 2 {
		p.writers = append(p.writers, &Writer{Clock: p.clock})
	}
	return p
}

// report lets an agent report to the writer of its view. keep tells for each datagram whether it arrives.
func (p *play) report(i int, keep func() bool) {
	a := p.agents[i]
	ledger := Ledger{Service: "a", Address: a.address, UpstreamID: "u"}
	for key := range a.flows {
		ledger.Flows = append(ledger.Flows, Flow{Key: key})
	}
	to := testAddress(2, p.view[i])
	reports := a.reporter.Report(to, ledger)
	if len(reports) > 0 {
		a.history[[2]uint64{a.reporter.Run, a.reporter.Sequence()}] = maps.Clone(a.flows)
	}
	for _, m := range reports {
		if !keep() {
			continue
		}
		number := p.view[i]
		p.sent = append(p.sent, func() { p.writers[number].HandleReport(a.address, m) })
		if ack, reply := p.writers[p.view[i]].HandleReport(a.address, m); reply && keep() {
			a.reporter.HandleAck(to, ack)
		}
	}
}

// write lets a writer write its group if it is due. The store carries the write out at once, later, or without an answer.
func (p *play) write(i int, how string) {
	w := p.writers[i]
	group, load, ok := w.Next()
	if !ok {
		return
	}
	if load {
		w.Loaded(group, p.revision, p.object)
	}
	entries, revision := w.Compose(group, func(string) bool { return true })
	apply := func() (done bool) {
		if revision != p.revision {
			return false
		}
		p.revision++
		p.object = entries
		return true
	}
	switch {
	case how == "late":
		p.pending = append(p.pending, func() { apply() })
	case apply() && how == "answered":
		for _, a := range w.Saved(group, p.revision) {
			p.acknowledge(testAddress(2, i), a)
		}
		return
	}
	w.Failed(group)
}

func (p *play) acknowledge(from lentilflow.Endpoint, a AckTo) {
	for _, agent := range p.agents {
		if agent.address == a.To {
			agent.reporter.HandleAck(from, a.Ack)
		}
	}
}

// stored returns an agent's entry in the store.
func (p *play) stored(a *testAgent) (l Ledger, ok bool) {
	for _, e := range p.object {
		if e.Agent == a.name {
			return e.Ledger, true
		}
	}
	return l, false
}

// check checks the promises: what the store holds for an agent is what the agent has reported at that number, and what was
// acknowledged is there, or something newer.
func (p *play) check(t *rapid.T) {
	for _, a := range p.agents {
		l, ok := p.stored(a)
		if reported, whole := a.history[[2]uint64{l.Run, l.Sequence}]; ok && whole {
			listed := make(map[lentilflow.Key]bool)
			for _, f := range l.Flows {
				listed[f.Key] = true
			}
			if !maps.Equal(listed, reported) {
				t.Fatalf("%s, run %d, report %d: the store lists %d flows, %d were reported", a.name, l.Run, l.Sequence, len(listed), len(reported))
			}
		}
		if acked := a.reporter.acked; acked > 0 && (&Ledger{Run: a.reporter.Run, Sequence: acked}).NewerThan(&l) {
			t.Fatalf("%s, run %d: report %d is acknowledged, the store holds run %d, report %d", a.name, a.reporter.Run, acked, l.Run, l.Sequence)
		}
	}
}

// TestGroupUnderFaults explores orders of reports, lost datagrams, writers that change, die or are paused, writes that are late
// or lose their answer, and agents that restart. In the end, without faults, all ledgers must be in the store.
func TestGroupUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay(t)
		agent := func(t *rapid.T) int { return rapid.IntRange(0, len(p.agents)-1).Draw(t, "agent") }
		writer := func(t *rapid.T) int { return rapid.IntRange(0, len(p.writers)-1).Draw(t, "writer") }
		t.Repeat(map[string]func(*rapid.T){
			"flow": func(t *rapid.T) {
				a, key := p.agents[agent(t)], testKey(rapid.IntRange(0, 4).Draw(t, "flow"))
				if a.flows[key] {
					delete(a.flows, key)
				} else {
					a.flows[key] = true
				}
			},
			"many flows": func(t *rapid.T) {
				a := p.agents[agent(t)]
				for n := range 2*MaxReportFlows + 1 {
					a.flows[testKey(100+n)] = true
				}
			},
			"report": func(t *rapid.T) {
				lossy := rapid.Bool().Draw(t, "lossy")
				p.report(agent(t), func() bool { return !lossy || rapid.Bool().Draw(t, "arrives") })
			},
			"write": func(t *rapid.T) {
				p.clock.Advance(minWriteInterval)
				p.write(writer(t), rapid.SampledFrom([]string{"answered", "unanswered", "late"}).Draw(t, "how"))
			},
			"late write": func(*rapid.T) {
				if len(p.pending) > 0 {
					p.pending[0]()
					p.pending = p.pending[1:]
				}
			},
			"report again": func(t *rapid.T) {
				if len(p.sent) > 0 {
					p.sent[rapid.IntRange(0, len(p.sent)-1).Draw(t, "report")]()
				}
			},
			"other writer": func(t *rapid.T) { p.view[agent(t)] = writer(t) },
			"writer dies":  func(t *rapid.T) { p.writers[writer(t)] = &Writer{Clock: p.clock} },
			"agent restart": func(t *rapid.T) {
				a := p.agents[agent(t)]
				stored, _ := p.stored(a)
				a.reporter = Reporter{Clock: p.clock, Group: testGroup, Agent: a.name, Run: max(stored.Run, a.reporter.Run) + 1}
				clear(a.flows)
			},
			"": p.check,
		})
		for round := range 20 {
			p.clock.Advance(minWriteInterval)
			for i := range p.agents {
				p.view[i] = 1
				p.report(i, func() bool { return true })
			}
			p.write(1, "answered")
			if round < 19 {
				continue
			}
			for _, a := range p.agents {
				l, ok := p.stored(a)
				if a.reporter.Sequence() == 0 {
					continue
				}
				if !ok || len(l.Flows) != len(a.flows) || !a.reporter.Covered() {
					t.Fatalf("%s: %d of %d flows are in the store, covered %t", a.name, len(l.Flows), len(a.flows), a.reporter.Covered())
				}
			}
		}
	})
}

// TestCovered checks when an agent writes its own ledger: while it has no writer, and once a report has gone without an
// acknowledgement for too long. That writer is then avoided for a while.
func TestCovered(t *testing.T) {
	clock := &lentilclock.Fake{}
	clock.Advance(time.Hour)
	r := Reporter{Clock: clock, Group: testGroup, Agent: "a", Run: 3}
	writer := testAddress(2, 1)
	if r.Report(lentilflow.Endpoint{}, Ledger{}); r.Covered() {
		t.Error("covered without a writer")
	}
	if reports := r.Report(writer, Ledger{Flows: []Flow{{Key: testKey(1)}}}); len(reports) != 1 || !reports[0].Full || !r.Covered() {
		t.Errorf("first reports %+v, covered %t", reports, r.Covered())
	}
	clock.Advance(ackTimeout)
	r.AvoidOverdueWriter()
	if r.Covered() || !r.Avoids(writer) {
		t.Error("a report is without an acknowledgement for too long, and the ledger counts as covered")
	}
	clock.Advance(avoidWriterFor)
	if r.Avoids(writer) {
		t.Error("the writer is avoided for too long")
	}
	r.HandleAck(writer, Ack{Run: 2, Sequence: 1})
	if r.Covered() {
		t.Error("covered after an acknowledgement for another run")
	}
	r.HandleAck(writer, Ack{Run: 3, Sequence: 1})
	clock.Advance(time.Minute)
	if !r.Covered() {
		t.Error("not covered although all reports are in the store")
	}
}

// TestReportRefreshes guards against resets that clients ignore, because the listed acknowledgement number of a flow is too
// far behind.
func TestReportRefreshes(t *testing.T) {
	r := Reporter{Group: testGroup, Agent: "a", Run: 1}
	writer := testAddress(2, 1)
	for _, c := range []struct {
		acknowledged uint32
		want         int
	}{{1 << 31, 1}, {1<<31 + refreshBytes - 1, 0}, {1<<31 + refreshBytes, 1}, {1<<31 + refreshBytes + 1, 0}} {
		reports := r.Report(writer, Ledger{Flows: []Flow{{Key: testKey(1), Acknowledged: c.acknowledged}}})
		if len(reports) != c.want {
			t.Errorf("acknowledged %d: %d reports, want %d", c.acknowledged, len(reports), c.want)
		}
	}
}

// TestGroupBound checks that a group's object stays within its bound, and that agents without room get no acknowledgement.
func TestGroupBound(t *testing.T) {
	clock := &lentilclock.Fake{}
	clock.Advance(time.Hour)
	w := Writer{Clock: clock}
	const agents, flows = 20, 2000
	for n := range agents {
		r := Reporter{Clock: clock, Group: testGroup, Agent: fmt.Sprintf("agent-%02d", n), Run: 1}
		ledger := Ledger{Service: "a"}
		for k := range flows {
			ledger.Flows = append(ledger.Flows, Flow{Key: testKey(n*flows + k)})
		}
		for _, m := range r.Report(testAddress(2, 1), ledger) {
			if _, resend := w.HandleReport(testAddress(1, n), m); resend {
				t.Fatal("a report in order is asked for again")
			}
		}
	}
	group, _, ok := w.Next()
	if !ok {
		t.Fatal("no group is due")
	}
	w.Loaded(group, 0, nil)
	entries, _ := w.Compose(group, func(string) bool { return false })
	size := 0
	for _, e := range entries {
		size += entryBytes + flowRecordSize*len(e.Ledger.Flows)
	}
	if size > maxGroupBytes || len(entries) < maxGroupBytes/(entryBytes+flowRecordSize*flows)-1 {
		t.Errorf("%d ledgers of %d bytes", len(entries), size)
	}
	if acks := w.Saved(group, 1); len(acks) != len(entries) {
		t.Errorf("%d acknowledgements for %d ledgers", len(acks), len(entries))
	}
	if other := (&Writer{Clock: clock, Balancers: 3400}); other.writeInterval() < 16*time.Second {
		t.Errorf("write interval of a large fleet: %s", other.writeInterval())
	}
}

// TestGoneAgents checks that ledgers of agents which no longer exist leave the object, and that those of agents that report to
// another writer stay.
func TestGoneAgents(t *testing.T) {
	clock := &lentilclock.Fake{}
	clock.Advance(time.Hour)
	w := Writer{Clock: clock}
	r := Reporter{Clock: clock, Group: testGroup, Agent: "a", Run: 1}
	for _, m := range r.Report(testAddress(2, 1), Ledger{}) {
		w.HandleReport(testAddress(1, 1), m)
	}
	group, load, _ := w.Next()
	if !load {
		t.Error("the object isn't read before the first write")
	}
	w.Loaded(group, 4, []Entry{{Agent: "gone"}, {Agent: "other", Ledger: Ledger{Run: 2, Flows: []Flow{{Key: testKey(1)}}}}})
	entries, revision := w.Compose(group, func(agent string) bool { return agent == "other" })
	if len(entries) != 2 || entries[0].Agent != "a" || entries[1].Agent != "other" || len(entries[1].Ledger.Flows) != 1 || revision != 4 {
		t.Errorf("entries %+v at revision %d", entries, revision)
	}
	w.Saved(group, 5)
	clock.Advance(idleGroupTimeout)
	w.Next()
	if len(w.groups) != 0 {
		t.Error("a group without reports is kept")
	}
}
