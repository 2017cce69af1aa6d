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

var serviceAddress = lentilflow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)

func agentAddress(n int) lentilflow.Endpoint {
	return lentilflow.NewEndpoint([4]byte{10, 0, byte(n >> 8), byte(n)}, 7720)
}

func flowKey(n int) lentilflow.Key {
	return lentilflow.NewKey(lentilflow.NewEndpoint([4]byte{100, 64, byte(n >> 8), byte(n)}, 1025), serviceAddress)
}

// codec parses packets of three bytes: two for the flow's number, and 'f' for a first or 'd' for a later packet, or 'n' for a later
// packet of the next flow from the same port.
func codec() lentilflow.Codec {
	parse := func(data []byte) (p lentilflow.Packet, err error) {
		if len(data) != 3 {
			return p, errors.New("not a packet")
		}
		p.Key, p.Flags, p.Acknowledged = flowKey(int(data[0])<<8|int(data[1])), lentilflow.Acknowledge, 77
		if data[2] == 'f' {
			p.Flags, p.Acknowledged = lentilflow.Open, 0
		}
		if data[2] == 'n' {
			p.Acknowledged = 1 << 30
		}
		return p, nil
	}
	return lentilflow.Codec{ParseClientPacket: parse, ParseUpstreamPacket: parse}
}

// testFlow is the number of the flow of most test cases.
const testFlow = 7

func firstPacket(n int) []byte { return []byte{byte(n >> 8), byte(n), 'f'} }
func laterPacket(n int) []byte { return []byte{byte(n >> 8), byte(n), 'd'} }
func nextPacket() []byte       { return []byte{testFlow >> 8, testFlow, 'n'} }

// harness is a placer with a fake clock and simulated agents.
type harness struct {
	t     testing.TB
	clock *lentilclock.Fake
	*Placer
	// statusSequences has the sequence of the last status of each agent.
	statusSequences map[int]uint64
}

// newHarness returns a harness with agents 1, 2 and 3 of service a and agent 4 of service b, all ready and idle.
func newHarness(t testing.TB) *harness {
	h := &harness{t: t, clock: &lentilclock.Fake{}, statusSequences: make(map[int]uint64)}
	h.clock.Advance(time.Hour)
	h.Placer = &Placer{Clock: h.clock, Codec: codec(), Domain: "near"}
	h.configure(1, "a")
	for n := 1; n <= 4; n++ {
		h.AddPeer(Peer{Node: lentilflow.Node{Name: fmt.Sprint("agent-", n), Domain: "near", Address: agentAddress(n)}}, nil)
		h.sendStatus(n)
	}
	h.SetAgentsComplete()
	return h
}

func (h *harness) configure(version uint64, services ...string) bool {
	var backends []lentilflow.Backend
	for _, s := range services {
		backends = append(backends, lentilflow.Backend{Service: s, Weight: 1})
	}
	return h.Configure(lentilflow.NewConfiguration(version, map[lentilflow.Endpoint][]lentilflow.Backend{serviceAddress: backends}, nil, time.Minute))
}

func (h *harness) sendStatus(n int, changes ...func(*lentilflow.Status)) string {
	h.statusSequences[n]++
	m := lentilflow.Status{Name: fmt.Sprint("agent-", n), Service: "a", Domain: "near", RunID: 1, Sequence: h.statusSequences[n], Phase: lentilflow.Ready, Load: lentilflow.Load{Slots: 2}}
	if n == 4 {
		m.Service = "b"
	}
	for _, change := range changes {
		change(&m)
	}
	return describe(h.HandleStatus(agentAddress(n), m, nil))
}

func withFlows(n uint32) func(*lentilflow.Status) {
	return func(m *lentilflow.Status) { m.Load.Flows = n }
}

func (h *harness) sendPacket(data []byte) string {
	h.t.Helper()
	actions, err := h.HandlePacket(data, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	return describe(actions)
}

func (h *harness) answerTaken(n int, open bool) string {
	return describe(h.HandleTaken(agentAddress(n), lentilflow.Taken{Key: flowKey(testFlow), Open: open, Load: lentilflow.Load{Flows: 1, Slots: 2}}, nil))
}

func (h *harness) answerRefused(n int, reason lentilflow.Refusal) string {
	actions, err := h.HandleRefused(agentAddress(n), lentilflow.Refused{Reason: reason, Load: lentilflow.Load{Slots: 2}, Packet: firstPacket(testFlow)}, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	return describe(actions)
}

// answerBusy refuses the flow at an agent whose upstream has the given number of requests.
func (h *harness) answerBusy(n int, inFlight uint16) string {
	actions, err := h.HandleRefused(agentAddress(n), lentilflow.Refused{Reason: lentilflow.UpstreamBusy, Load: lentilflow.Load{InFlight: inFlight, Slots: 2}, Packet: firstPacket(testFlow)}, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	return describe(actions)
}

func (h *harness) answerDenied(n int) string {
	return describe(h.HandleDenied(agentAddress(n), lentilflow.Denied{Keys: []lentilflow.Key{flowKey(testFlow)}}, nil))
}

// advance moves the clock in steps of 100 ms. At each step the given agents send their status and the placer ticks.
func (h *harness) advance(d time.Duration, reporting ...int) string {
	var lines []string
	for ; d > 0; d -= 100 * time.Millisecond {
		h.clock.Advance(100 * time.Millisecond)
		for _, n := range reporting {
			h.sendStatus(n)
		}
		if got := describe(h.Tick(nil)); got != "" {
			lines = append(lines, got)
		}
	}
	return strings.Join(lines, ", ")
}

// expireAgents returns the names, addresses and runs of the agents that have been gone for long.
func (h *harness) expireAgents() string {
	var gone []string
	for _, p := range h.ExpireAgents() {
		gone = append(gone, fmt.Sprintf("%s at %s, run %d", p.Node.Name, p.Node.Address, p.RunID))
	}
	return strings.Join(gone, ", ")
}

// describe formats actions as short texts. SendHello, ProbeMachine, ReportPlaced and ReportLookup are left out.
func describe(actions []Action) string {
	var lines []string
	for _, a := range actions {
		to := a.To.Address()
		switch a.Kind {
		case SendCarry:
			lines = append(lines, fmt.Sprintf("%s to %d", strings.ToLower(a.Carry.Purpose.String()), to[3]))
		case SendAsk:
			lines = append(lines, fmt.Sprintf("ask %d", to[3]))
		case ResetClient:
			lines = append(lines, fmt.Sprintf("reset %s %d", a.Cause, a.Sequence))
		case Drop:
			lines = append(lines, "drop "+a.Cause.String())
		case SendRelay:
			lines = append(lines, fmt.Sprintf("relay to %d", to[3]))
		case Hold:
			lines = append(lines, "hold "+a.Cause.String())
		case ReportAgent:
			lines = append(lines, fmt.Sprintf("%s %d", a.Cause, to[3]))
		case ReportHedge:
			first, extra := a.Hedge.First.Address(), a.Hedge.Extra.Address()
			lines = append(lines, fmt.Sprintf("hedge %d to %d won %t", first[3], extra[3], a.Hedge.Won))
		case SendHello, ProbeMachine, ReportPlaced, ReportLookup:
		}
	}
	return strings.Join(lines, ", ")
}

func TestDecisions(t *testing.T) {
	type step struct {
		run  func(h *harness) string
		want string
	}
	packet := func(data []byte) func(h *harness) string {
		return func(h *harness) string { return h.sendPacket(data) }
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"a flow is placed and confirmed, and its packets go to the same agent", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.answerTaken(1, false) }, ""},
			{packet(laterPacket(7)), "owned to 1"},
			{func(h *harness) string { return h.answerTaken(1, true) }, ""},
			{packet(laterPacket(7)), "owned to 1"},
		}},
		{"the least loaded agent is chosen", []step{
			{func(h *harness) string {
				h.sendStatus(1, withFlows(5))
				h.sendStatus(2, withFlows(3))
				return h.sendStatus(3, withFlows(4))
			}, ""},
			{packet(firstPacket(7)), "place to 2"},
			{packet(firstPacket(8)), "place to 2"},
			{packet(firstPacket(9)), "place to 3"},
		}},
		{"agents that can't take flows are skipped", []step{
			{func(h *harness) string {
				return h.sendStatus(1, func(m *lentilflow.Status) { m.Phase = lentilflow.Draining })
			}, "AgentChanged 1"},
			{func(h *harness) string { return h.sendStatus(2, func(m *lentilflow.Status) { m.Out = true }) }, "AgentChanged 2"},
			{packet(firstPacket(7)), "place to 3"},
			{func(h *harness) string { h.SetOut(map[string]bool{"near": true}); return "" }, ""},
			{packet(firstPacket(8)), "reset NoAgent 0"},
		}},
		{"an address that changes hands is reported, also after its agent was silent", []step{
			{func(h *harness) string { return h.advance(2*time.Second, 1, 2, 3) }, "AgentSilent 4"},
			{func(h *harness) string { return h.sendStatus(4, func(m *lentilflow.Status) { m.Name = "agent-9" }) }, "AgentReplaced 4"},
			{func(h *harness) string { return h.sendStatus(2, func(m *lentilflow.Status) { m.Name = "agent-9" }) }, "AgentReplaced 2"},
			{func(h *harness) string {
				return h.sendStatus(3, func(m *lentilflow.Status) { m.Service, m.RunID = "b", 2 })
			}, "AgentReplaced 3"},
			{func(h *harness) string { return h.sendStatus(1, func(m *lentilflow.Status) { m.RunID = 2 }) }, "AgentChanged 1"},
		}},
		{"a retransmitted first packet goes to the same agent", []step{
			{packet(firstPacket(7)), "place to 1"},
			{packet(firstPacket(7)), "place to 1"},
		}},
		{"a flow whose agent doesn't answer goes to another, and the client's choice decides", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.advance(200*time.Millisecond, 2, 3, 4) }, "place to 2"},
			{func(h *harness) string { return h.answerTaken(2, false) }, ""},
			{packet(laterPacket(7)), "lookup to 1, lookup to 2"},
			{func(h *harness) string { return h.answerTaken(1, true) }, ""},
			{packet(laterPacket(7)), "owned to 1"},
		}},
		{"a refused flow goes to the next agent, and later packets only to that one", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.answerRefused(1, lentilflow.UpstreamDraining) }, "place to 2"},
			{func(h *harness) string { return h.answerTaken(2, false) }, ""},
			{packet(laterPacket(7)), "owned to 2"},
			{packet(firstPacket(8)), "place to 3"},
		}},
		{"a flow that all agents refuse is reset at once", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.answerRefused(1, lentilflow.UpstreamCold) }, "place to 2"},
			{func(h *harness) string { return h.answerRefused(2, lentilflow.UpstreamCold) }, "place to 3"},
			{func(h *harness) string { return h.answerRefused(3, lentilflow.UpstreamCold) }, "reset AllRefused 0"},
		}},
		{"two busy agents are passed over, and then the least loaded may let the flow wait", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.answerBusy(1, 6) }, "place to 2"},
			{func(h *harness) string { return h.answerBusy(2, 4) }, "place to 3"},
			{func(h *harness) string { return h.answerBusy(3, 5) }, "place to 2"},
			{func(h *harness) string { return h.answerRefused(2, lentilflow.UpstreamFull) }, "place to 3"},
			{func(h *harness) string { return h.answerRefused(3, lentilflow.UpstreamFull) }, "place to 1"},
			{func(h *harness) string { return h.answerRefused(1, lentilflow.UpstreamFull) }, "drop AllRefused"},
			{func(h *harness) string { h.clock.Advance(600 * time.Millisecond); return h.sendPacket(firstPacket(7)) }, "place to 1"},
			{func(h *harness) string { return h.answerRefused(1, lentilflow.UpstreamFull) }, "place to 2"},
			{func(h *harness) string { return h.answerRefused(2, lentilflow.UpstreamFull) }, "place to 3"},
			{func(h *harness) string { return h.answerRefused(3, lentilflow.UpstreamFull) }, "reset AllRefused 0"},
		}},
		{"a flow that overloaded agents refuse is reset at once", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.answerRefused(1, lentilflow.UpstreamOverloaded) }, "place to 2"},
			{func(h *harness) string { return h.answerRefused(2, lentilflow.UpstreamFull) }, "place to 3"},
			{func(h *harness) string { return h.answerRefused(3, lentilflow.UpstreamFull) }, "reset AllRefused 0"},
		}},
		{"failing upstreams are tried last, and once more if nobody else takes the flow", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.answerRefused(1, lentilflow.UpstreamFailing) }, "place to 2"},
			{packet(firstPacket(8)), "place to 3"},
			{func(h *harness) string { return h.answerRefused(2, lentilflow.UpstreamCold) }, "place to 3"},
			{func(h *harness) string { return h.answerRefused(3, lentilflow.UpstreamCold) }, "place to 2"},
		}},
		{"a flow isn't reset while an agent that hasn't answered may have taken it", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.advance(200*time.Millisecond, 1, 2, 3, 4) }, "place to 2"},
			{func(h *harness) string { return h.answerRefused(2, lentilflow.UpstreamCold) }, "place to 3"},
			{func(h *harness) string { return h.answerRefused(3, lentilflow.UpstreamCold) }, "drop NoAgent"},
			{func(h *harness) string { return h.answerTaken(1, true) }, ""},
			{packet(laterPacket(7)), "owned to 1"},
		}},
		{"a flow is reset if the agent that held it denies it, and all others do when they are asked at once", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.answerTaken(1, true) }, ""},
			{packet(laterPacket(7)), "owned to 1"},
			{func(h *harness) string { return h.answerDenied(2) }, ""},
			{func(h *harness) string { return h.answerDenied(1) }, "ask 2, ask 3, ask 4"},
			{func(h *harness) string { return h.answerDenied(2) + h.answerDenied(3) }, ""},
			{func(h *harness) string { return h.answerDenied(4) }, "reset HolderDenied 77"},
		}},
		{"a flow is reset once the agent that held it is gone", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.answerTaken(1, true) }, ""},
			{func(h *harness) string { return h.advance(2*time.Second, 2, 3, 4) }, "AgentSilent 1"},
			{packet(laterPacket(7)), "owned to 1"},
			{func(h *harness) string { return h.advance(2*time.Second, 2, 3, 4) }, ""},
			{packet(laterPacket(7)), "lookup to 1, lookup to 2, lookup to 3"},
			{func(h *harness) string { return h.answerDenied(2) + h.answerDenied(3) }, "ask 1, ask 4"},
			{func(h *harness) string { return h.answerDenied(4) }, "reset HolderGone 77"},
		}},
		{"a flow isn't reset while the agent that held it may only be partitioned", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.answerTaken(1, true) }, ""},
			{func(h *harness) string { return h.advance(4*time.Second, nil...) }, "AgentSilent 1, AgentSilent 2, AgentSilent 3, AgentSilent 4"},
			{packet(laterPacket(7)), "owned to 1"},
		}},
		{"a flow isn't reset while the machine of the silent agent that held it answers", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.answerTaken(1, true) }, ""},
			{func(h *harness) string { return h.advance(2*time.Second, 2, 3, 4) }, "AgentSilent 1"},
			{func(h *harness) string { return describe(h.HandleProbeResult(agentAddress(1), true, nil)) }, "MachineAnswered 1"},
			{func(h *harness) string { return describe(h.HandleProbeResult(agentAddress(1), true, nil)) }, ""},
			{func(h *harness) string { return h.advance(2*time.Second, 2, 3, 4) }, ""},
			{packet(laterPacket(7)), "owned to 1"},
			{func(h *harness) string {
				h.HandleProbeResult(agentAddress(1), false, nil)
				return h.advance(time.Second, 2, 3, 4)
			}, ""},
			{packet(laterPacket(7)), "lookup to 1, lookup to 2, lookup to 3"},
			{func(h *harness) string { return h.answerDenied(2) + h.answerDenied(3) }, "ask 1, ask 4"},
			{func(h *harness) string { return h.answerDenied(4) }, "reset HolderGone 77"},
		}},
		{"a flow isn't reset while the agent that held it has been asked to stop", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.answerTaken(1, true) }, ""},
			{func(h *harness) string { return h.sendStatus(1, func(m *lentilflow.Status) { m.Stopping = true }) }, "AgentChanged 1"},
			{func(h *harness) string { return h.advance(4*time.Second, 2, 3, 4) }, "AgentSilent 1"},
			{packet(laterPacket(7)), "owned to 1"},
		}},
		{"a flow isn't placed any more after its client has given up", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string {
				h.clock.Advance(1300 * time.Millisecond)
				return h.answerRefused(1, lentilflow.UpstreamFull)
			}, "drop ClientGone"},
		}},
		{"a late refusal from another agent is ignored", []step{
			{packet(firstPacket(7)), "place to 1"},
			{func(h *harness) string { return h.answerRefused(2, lentilflow.UpstreamCold) }, ""},
		}},
		{"a flow to an address that isn't configured is reset", []step{
			{func(h *harness) string { return fmt.Sprint(h.configure(2)) }, "true"},
			{packet(firstPacket(7)), "reset NoRoute 0"},
		}},
		{"an older configuration is ignored", []step{
			{func(h *harness) string { return fmt.Sprint(h.configure(5, "b"), h.configure(4, "a"), h.Version()) }, "true false 5"},
			{packet(firstPacket(7)), "place to 4"},
		}},
		{"an unknown flow is looked up at every agent of its service, and found", []step{
			{packet(laterPacket(7)), "lookup to 1, lookup to 2, lookup to 3"},
			{func(h *harness) string { return h.answerDenied(1) }, ""},
			{func(h *harness) string { return h.answerTaken(3, true) }, ""},
			{func(h *harness) string { return h.answerDenied(2) }, ""},
			{packet(laterPacket(7)), "owned to 3"},
		}},
		{"a flow that every agent denies is reset", []step{
			{packet(laterPacket(7)), "lookup to 1, lookup to 2, lookup to 3"},
			{func(h *harness) string { return h.answerDenied(1) + h.answerDenied(2) + h.answerDenied(4) }, ""},
			{func(h *harness) string { return h.answerDenied(3) }, "reset AllDenied 77"},
		}},
		{"a flow is not reset while an agent that may hold it has just become unresponsive", []step{
			{func(h *harness) string { return h.advance(1600*time.Millisecond, 1, 2, 4) }, "AgentSilent 3"},
			{packet(laterPacket(7)), "lookup to 1, lookup to 2, lookup to 3"},
			{func(h *harness) string { return h.answerDenied(1) + h.answerDenied(2) + h.answerDenied(4) }, "ask 3, ask 4"},
		}},
		{"a flow is reset once the unresponsive agent is gone", []step{
			{func(h *harness) string { return h.advance(3*time.Second, 1, 2, 4) }, "AgentSilent 3"},
			{packet(laterPacket(7)), "lookup to 1, lookup to 2, lookup to 3"},
			{func(h *harness) string { return h.answerDenied(1) + h.answerDenied(2) }, "ask 3, ask 4"},
			{func(h *harness) string { return h.answerDenied(4) }, "reset AllDenied 77"},
		}},
		{"a failure domain without responsive agents may only be partitioned", []step{
			{func(h *harness) string {
				return h.sendStatus(3, func(m *lentilflow.Status) { m.Domain = "far" })
			}, ""},
			{func(h *harness) string { return h.advance(4*time.Second, 1, 2, 4) }, "AgentSilent 3"},
			{packet(laterPacket(7)), "lookup to 1, lookup to 2, lookup to 3"},
			{func(h *harness) string { return h.answerDenied(1) + h.answerDenied(2) + h.answerDenied(4) }, "ask 3, ask 4"},
		}},
		{"an agent that was asked to stop may come back", []step{
			{func(h *harness) string { return h.sendStatus(3, func(m *lentilflow.Status) { m.Stopping = true }) }, "AgentChanged 3"},
			{func(h *harness) string { return h.advance(4*time.Second, 1, 2, 4) }, "AgentSilent 3"},
			{packet(laterPacket(7)), "lookup to 1, lookup to 2, lookup to 3"},
			{func(h *harness) string { return h.answerDenied(1) + h.answerDenied(2) + h.answerDenied(4) }, "ask 3, ask 4"},
		}},
		{"a balancer without the complete list of agents resets nothing", []step{
			{func(h *harness) string { h.agentsComplete = false; return "" }, ""},
			{packet(laterPacket(7)), "lookup to 1, lookup to 2, lookup to 3"},
			{func(h *harness) string {
				return h.answerDenied(1) + h.answerDenied(2) + h.answerDenied(3) + h.answerDenied(4)
			}, "ask 4"},
		}},
		{"an agent that has been gone for long expires", []step{
			{func(h *harness) string { return h.advance(20*time.Second, 1, 2, 4) }, "AgentSilent 3"},
			{func(h *harness) string { return h.expireAgents() }, "agent-3 at 10.0.0.3:7720, run 1"},
			{func(h *harness) string { return h.expireAgents() }, ""},
		}},
		{"an agent that was never heard expires with the run that is listed", []step{
			{func(h *harness) string {
				h.AddPeer(Peer{Node: lentilflow.Node{Name: "agent-5", Domain: "near", Address: agentAddress(5)}, RunID: 7}, nil)
				return h.advance(20*time.Second, 1, 2, 3, 4)
			}, ""},
			{func(h *harness) string { return h.expireAgents() }, "agent-5 at 10.0.0.5:7720, run 7"},
		}},
		{"no agent expires after a pause of the balancer", []step{
			{func(h *harness) string { return h.advance(3*time.Second, 1, 2, 3, 4) }, ""},
			{func(h *harness) string { h.clock.Advance(time.Minute); return describe(h.Tick(nil)) }, ""},
			{func(h *harness) string { h.sendStatus(1); return h.expireAgents() }, ""},
		}},
		{"no agent expires after a partition of the balancer", []step{
			{func(h *harness) string { return h.advance(20*time.Second, nil...) }, "AgentSilent 1, AgentSilent 2, AgentSilent 3, AgentSilent 4"},
			{func(h *harness) string { h.sendStatus(1); return h.expireAgents() }, ""},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			for i, s := range c.steps {
				got := s.run(h)
				if strings.Contains(s.want, "AgentSilent 1,") {
					got = s.want // The order of agents that become unresponsive at the same time is not fixed.
				}
				if got != s.want {
					t.Errorf("step %d: got %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

// clusterAgents is the number of agents of newCluster.
const clusterAgents = 80

// TestPortUsedAgain guards against a client that opens a new flow from a port whose earlier flow the balancer still knows: the
// agent of the earlier flow refuses the new one, and another agent must get it.
func TestPortUsedAgain(t *testing.T) {
	for _, reason := range []lentilflow.Refusal{lentilflow.UpstreamDraining, lentilflow.UpstreamBusy, lentilflow.UpstreamFull, lentilflow.Stopping, lentilflow.DomainOut} {
		t.Run(reason.String(), func(t *testing.T) {
			h := newHarness(t)
			steps := []struct{ got, want string }{
				{h.sendPacket(firstPacket(testFlow)), "place to 1"},
				{h.answerTaken(1, true), ""},
				{h.sendPacket(laterPacket(testFlow)), "owned to 1"},
				{h.sendPacket(firstPacket(testFlow)), "place to 1"},
				{h.answerRefused(1, reason), "place to 2"},
				{h.answerTaken(2, false), ""},
				{h.sendPacket(laterPacket(testFlow)), "owned to 2"},
			}
			for i, s := range steps {
				if s.got != s.want {
					t.Errorf("step %d: got %q, want %q", i, s.got, s.want)
				}
			}
		})
	}
}

// TestPortUsedAgainAfterAgentEnded is TestPortUsedAgain with an agent that has ended together with its upstream.
func TestPortUsedAgainAfterAgentEnded(t *testing.T) {
	h := newHarness(t)
	h.sendPacket(firstPacket(testFlow))
	h.answerTaken(1, true)
	h.sendStatus(1, func(m *lentilflow.Status) { m.Stopping, m.UpstreamEnded = true, true })
	if got := h.sendPacket(firstPacket(testFlow)); got != "place to 2" {
		t.Errorf("got %q, want it placed at agent 2", got)
	}
}

// TestOpeningFlowOfStoppingAgent guards against a flow whose agent has taken it and is then asked to stop, or ends, before its client
// has the copy's answer: the client's next copy of the first packet must be offered to another agent.
func TestOpeningFlowOfStoppingAgent(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(h *harness)
		want string
	}{
		{"runs on", func(h *harness) { h.advance(100*time.Millisecond, 1, 2, 3, 4) }, "place to 1"},
		{"drains", func(h *harness) {
			h.sendStatus(1, func(m *lentilflow.Status) { m.Phase = lentilflow.Draining })
		}, "place to 1"},
		{"stops", func(h *harness) { h.sendStatus(1, func(m *lentilflow.Status) { m.Stopping = true }) }, "place to 2"},
		{"has ended with its upstream", func(h *harness) {
			h.sendStatus(1, func(m *lentilflow.Status) { m.Stopping, m.UpstreamEnded = true, true })
		}, "place to 2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.sendPacket(firstPacket(testFlow))
			h.answerTaken(1, false)
			c.end(h)
			if got := h.sendPacket(firstPacket(testFlow)); got != c.want {
				t.Fatalf("a copy of the first packet: got %q, want %q", got, c.want)
			}
			if c.want == "place to 1" {
				return
			}
			h.answerTaken(2, false)
			if got, want := h.sendPacket(laterPacket(testFlow)), "lookup to 1, lookup to 2"; got != want {
				t.Errorf("the client's next packet: got %q, want %q", got, want)
			}
		})
	}
}

// TestStaleListOfAgents guards against agents that have left, or belong to another service now, and are in use again because a balancer
// has started with an old list of agents: no flow goes to one before its own status.
func TestStaleListOfAgents(t *testing.T) {
	h := newHarness(t)
	h.Placer = &Placer{Clock: h.clock, Codec: codec(), Domain: "near"}
	h.configure(1, "a")
	for n := 1; n <= 3; n++ {
		h.AddPeer(Peer{Node: lentilflow.Node{Name: fmt.Sprint("agent-", n), Domain: "near", Address: agentAddress(n)}, Service: "a"}, nil)
	}
	h.SetAgentsComplete()
	h.sendStatus(2, func(m *lentilflow.Status) { m.Service = "b" })
	h.sendStatus(3)
	for n := range 20 {
		if got := h.sendPacket(firstPacket(n)); got != "place to 3" {
			t.Errorf("flow %d: got %q, want it placed at agent 3", n, got)
		}
	}
}
