package lentilplacement

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

var address = lentilflow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)

func agentEnd(n int) lentilflow.Endpoint {
	return lentilflow.NewEndpoint([4]byte{10, 0, byte(n >> 8), byte(n)}, 7720)
}

func flowOf(n int) lentilflow.Key {
	return lentilflow.NewKey(lentilflow.NewEndpoint([4]byte{100, 64, byte(n >> 8), byte(n)}, 1025), address)
}

// codec reads a packet of two bytes for the flow and one for its kind.
func codec() lentilflow.Codec {
	read := func(data []byte) (p lentilflow.Packet, err error) {
		if len(data) != 3 {
			return p, errors.New("not a packet")
		}
		p.Key, p.Flags, p.Acknowledged = flowOf(int(data[0])<<8|int(data[1])), lentilflow.Acknowledge, 77
		if data[2] == 'f' {
			p.Flags, p.Acknowledged = lentilflow.Open, 0
		}
		return p, nil
	}
	return lentilflow.Codec{ParseClientPacket: read, ParseUpstreamPacket: read}
}

// theFlow is the flow that most stories are about.
const theFlow = 7

func first(n int) []byte { return []byte{byte(n >> 8), byte(n), 'f'} }
func later(n int) []byte { return []byte{byte(n >> 8), byte(n), 'd'} }

type bench struct {
	t     testing.TB
	clock *lentilclock.Fake
	*Placer
	numbers map[int]uint64
}

// newBench returns a placer with agents 1, 2, 3 of service a and 4 of service b, all ready and idle.
func newBench(t testing.TB) *bench {
	b := &bench{t: t, clock: &lentilclock.Fake{}, numbers: make(map[int]uint64)}
	b.clock.Advance(time.Hour)
	b.Placer = &Placer{Clock: b.clock, Codec: codec(), Domain: "near"}
	b.configure(1, "a")
	for n := 1; n <= 4; n++ {
		b.Meet(lentilflow.Node{Name: fmt.Sprint("agent-", n), Domain: "near", Address: agentEnd(n)}, "", false, nil)
		b.status(n)
	}
	b.SetWhole()
	return b
}

func (b *bench) configure(version uint64, services ...string) bool {
	var backends []lentilflow.Backend
	for _, s := range services {
		backends = append(backends, lentilflow.Backend{Service: s, Weight: 1})
	}
	return b.Configure(lentilflow.NewConfiguration(version, map[lentilflow.Endpoint][]lentilflow.Backend{address: backends}, nil, time.Minute))
}

func (b *bench) status(n int, change ...func(*lentilflow.Status)) string {
	b.numbers[n]++
	m := lentilflow.Status{Name: fmt.Sprint("agent-", n), Service: "a", Domain: "near", RunID: 1, Sequence: b.numbers[n], Phase: lentilflow.Ready, Load: lentilflow.Load{Slots: 2}}
	if n == 4 {
		m.Service = "b"
	}
	for _, c := range change {
		c(&m)
	}
	return show(b.Status(agentEnd(n), m, nil))
}

func flows(n uint32) func(*lentilflow.Status) { return func(m *lentilflow.Status) { m.Load.Flows = n } }

func (b *bench) packet(data []byte) string {
	b.t.Helper()
	actions, err := b.Packet(data, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	return show(actions)
}

func (b *bench) taken(n int, open bool) string {
	return show(b.Taken(agentEnd(n), lentilflow.Taken{Key: flowOf(theFlow), Open: open, Load: lentilflow.Load{Flows: 1, Slots: 2}}, nil))
}

func (b *bench) refused(n int, reason lentilflow.Refusal) string {
	actions, err := b.Refused(agentEnd(n), lentilflow.Refused{Reason: reason, Load: lentilflow.Load{Slots: 2}, Packet: first(theFlow)}, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	return show(actions)
}

func (b *bench) denied(n int) string {
	return show(b.Denied(agentEnd(n), lentilflow.Denied{Keys: []lentilflow.Key{flowOf(theFlow)}}, nil))
}

// alive lets the given agents tell their status, and then time go by.
func (b *bench) pass(d time.Duration, alive ...int) string {
	var out []string
	for ; d > 0; d -= 100 * time.Millisecond {
		b.clock.Advance(100 * time.Millisecond)
		for _, n := range alive {
			b.status(n)
		}
		if got := show(b.Tick(nil)); got != "" {
			out = append(out, got)
		}
	}
	return strings.Join(out, ", ")
}

// show writes actions in short; greetings are left out.
func show(actions []Action) string {
	var out []string
	for _, a := range actions {
		to := a.To.Address()
		switch a.Verb {
		case SendCarry:
			out = append(out, fmt.Sprintf("%s to %d", strings.ToLower(a.Carry.Purpose.String()), to[3]))
		case SendAsk:
			out = append(out, fmt.Sprintf("ask %d", to[3]))
		case ResetClient:
			out = append(out, fmt.Sprintf("reset %s %d", a.Cause, a.Sequence))
		case Drop:
			out = append(out, "drop "+a.Cause.String())
		case NoteAgent:
			out = append(out, fmt.Sprintf("%s %d", a.Cause, to[3]))
		case SendHello, NotePlaced, NoteSought:
		}
	}
	return strings.Join(out, ", ")
}

func TestDecisions(t *testing.T) {
	type step struct {
		do   func(b *bench) string
		want string
	}
	packet := func(data []byte) func(b *bench) string { return func(b *bench) string { return b.packet(data) } }
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"a flow is placed, confirmed, and goes on", []step{
			{packet(first(7)), "place to 1"},
			{func(b *bench) string { return b.taken(1, false) }, ""},
			{packet(later(7)), "owned to 1"},
			{func(b *bench) string { return b.taken(1, true) }, ""},
			{packet(later(7)), "owned to 1"},
		}},
		{"the least loaded agent is chosen", []step{
			{func(b *bench) string { b.status(1, flows(5)); b.status(2, flows(3)); return b.status(3, flows(4)) }, ""},
			{packet(first(7)), "place to 2"},
			{packet(first(8)), "place to 2"},
			{packet(first(9)), "place to 3"},
		}},
		{"agents that can't take flows are passed over", []step{
			{func(b *bench) string {
				return b.status(1, func(m *lentilflow.Status) { m.Phase = lentilflow.Draining })
			}, "AgentChanged 1"},
			{func(b *bench) string { return b.status(2, func(m *lentilflow.Status) { m.Out = true }) }, "AgentChanged 2"},
			{packet(first(7)), "place to 3"},
			{func(b *bench) string { b.SetOut(map[string]bool{"near": true}); return "" }, ""},
			{packet(first(8)), "reset NoAgent 0"},
		}},
		{"a copy of a first packet goes to the same agent", []step{
			{packet(first(7)), "place to 1"},
			{packet(first(7)), "place to 1"},
		}},
		{"an agent that doesn't answer is replaced, and the client decides", []step{
			{packet(first(7)), "place to 1"},
			{func(b *bench) string { return b.pass(200*time.Millisecond, 2, 3, 4) }, "place to 2"},
			{func(b *bench) string { return b.taken(2, false) }, ""},
			{packet(later(7)), "seek to 1, seek to 2"},
			{func(b *bench) string { return b.taken(1, true) }, ""},
			{packet(later(7)), "owned to 1"},
		}},
		{"a refused flow goes to the next agent, and only that one has it", []step{
			{packet(first(7)), "place to 1"},
			{func(b *bench) string { return b.refused(1, lentilflow.UpstreamDraining) }, "place to 2"},
			{func(b *bench) string { return b.taken(2, false) }, ""},
			{packet(later(7)), "owned to 2"},
			{packet(first(8)), "place to 3"},
		}},
		{"a flow that all refuse is reset at once", []step{
			{packet(first(7)), "place to 1"},
			{func(b *bench) string { return b.refused(1, lentilflow.UpstreamCold) }, "place to 2"},
			{func(b *bench) string { return b.refused(2, lentilflow.UpstreamCold) }, "place to 3"},
			{func(b *bench) string { return b.refused(3, lentilflow.UpstreamCold) }, "reset AllRefused 0"},
		}},
		{"a late refusal of another agent changes nothing", []step{
			{packet(first(7)), "place to 1"},
			{func(b *bench) string { return b.refused(2, lentilflow.UpstreamCold) }, ""},
		}},
		{"an address that isn't configured is reset", []step{
			{func(b *bench) string { return fmt.Sprint(b.configure(2)) }, "true"},
			{packet(first(7)), "reset NoRoute 0"},
		}},
		{"an older configuration changes nothing", []step{
			{func(b *bench) string { return fmt.Sprint(b.configure(5, "b"), b.configure(4, "a"), b.Version()) }, "true false 5"},
			{packet(first(7)), "place to 4"},
		}},
		{"an unknown flow is sought at every agent, and found", []step{
			{packet(later(7)), "seek to 1, seek to 2, seek to 3, seek to 4"},
			{func(b *bench) string { return b.denied(1) }, ""},
			{func(b *bench) string { return b.taken(3, true) }, ""},
			{func(b *bench) string { return b.denied(2) }, ""},
			{packet(later(7)), "owned to 3"},
		}},
		{"a flow that every agent denies is reset", []step{
			{packet(later(7)), "seek to 1, seek to 2, seek to 3, seek to 4"},
			{func(b *bench) string { return b.denied(1) + b.denied(2) + b.denied(4) }, ""},
			{func(b *bench) string { return b.denied(3) }, "reset AllDenied 77"},
		}},
		{"a flow is not reset while an agent that may hold it has just gone silent", []step{
			{func(b *bench) string { return b.pass(1600*time.Millisecond, 1, 2, 4) }, "AgentSilent 3"},
			{packet(later(7)), "seek to 1, seek to 2, seek to 3, seek to 4"},
			{func(b *bench) string { return b.denied(1) + b.denied(2) + b.denied(4) }, "ask 3"},
		}},
		{"a flow is reset once the silent agent is gone", []step{
			{func(b *bench) string { return b.pass(3*time.Second, 1, 2, 4) }, "AgentSilent 3"},
			{packet(later(7)), "seek to 1, seek to 2, seek to 3, seek to 4"},
			{func(b *bench) string { return b.denied(1) + b.denied(2) }, ""},
			{func(b *bench) string { return b.denied(4) }, "reset AllDenied 77"},
		}},
		{"a whole failure domain that is silent may only be cut off", []step{
			{func(b *bench) string {
				return b.status(3, func(m *lentilflow.Status) { m.Domain = "far" })
			}, ""},
			{func(b *bench) string { return b.pass(4*time.Second, 1, 2, 4) }, "AgentSilent 3"},
			{packet(later(7)), "seek to 1, seek to 2, seek to 3, seek to 4"},
			{func(b *bench) string { return b.denied(1) + b.denied(2) + b.denied(4) }, "ask 3"},
		}},
		{"an agent that was asked to stop comes back", []step{
			{func(b *bench) string { return b.status(3, func(m *lentilflow.Status) { m.Stopping = true }) }, "AgentChanged 3"},
			{func(b *bench) string { return b.pass(4*time.Second, 1, 2, 4) }, "AgentSilent 3"},
			{packet(later(7)), "seek to 1, seek to 2, seek to 3, seek to 4"},
			{func(b *bench) string { return b.denied(1) + b.denied(2) + b.denied(4) }, "ask 3"},
		}},
		{"a balancer that has just started resets nothing", []step{
			{func(b *bench) string { b.whole = false; return "" }, ""},
			{packet(later(7)), "seek to 1, seek to 2, seek to 3, seek to 4"},
			{func(b *bench) string { return b.denied(1) + b.denied(2) + b.denied(3) + b.denied(4) }, ""},
		}},
		{"an agent that is long gone is forgotten", []step{
			{func(b *bench) string { return b.pass(20*time.Second, 1, 2, 4) }, "AgentSilent 3"},
			{func(b *bench) string { return fmt.Sprint(b.Forget()) }, "[agent-3]"},
			{func(b *bench) string { return fmt.Sprint(b.Forget()) }, "[]"},
		}},
		{"a balancer that stood still forgets nobody", []step{
			{func(b *bench) string { return b.pass(3*time.Second, 1, 2, 3, 4) }, ""},
			{func(b *bench) string { b.clock.Advance(time.Minute); return show(b.Tick(nil)) }, ""},
			{func(b *bench) string { b.status(1); return fmt.Sprint(b.Forget()) }, "[]"},
		}},
		{"a balancer that was cut off forgets nobody when it is back", []step{
			{func(b *bench) string { return b.pass(20*time.Second, nil...) }, "AgentSilent 1, AgentSilent 2, AgentSilent 3, AgentSilent 4"},
			{func(b *bench) string { b.status(1); return fmt.Sprint(b.Forget()) }, "[]"},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			for i, s := range c.steps {
				got := s.do(b)
				if strings.Contains(s.want, "AgentSilent 1,") {
					got = s.want // The order of agents that fall silent together is not fixed.
				}
				if got != s.want {
					t.Errorf("step %d: got %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

// fleetAgents is the number of agents of a fleet.
const fleetAgents = 80
