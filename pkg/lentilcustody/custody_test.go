package lentilcustody

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

var (
	serviceAddr = lentilflow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)
	peer1       = lentilflow.NewEndpoint([4]byte{10, 0, 0, 1}, 7720)
	peer2       = lentilflow.NewEndpoint([4]byte{10, 0, 0, 2}, 7720)
)

func flowKey(n int) lentilflow.Key {
	return lentilflow.NewKey(lentilflow.NewEndpoint([4]byte{100, 64, byte(n >> 8), byte(n)}, 1025), serviceAddr)
}

// packetTable is a codec whose packetTable are an index into what was made with it.
type packetTable struct{ packets []lentilflow.Packet }

func (p *packetTable) encode(packet lentilflow.Packet) []byte {
	p.packets = append(p.packets, packet)
	n := len(p.packets) - 1
	return []byte{byte(n >> 8), byte(n)}
}

func (p *packetTable) codec() lentilflow.Codec {
	read := func(data []byte) (lentilflow.Packet, error) {
		if len(data) != 2 {
			return lentilflow.Packet{}, errors.New("not a packet")
		}
		return p.packets[int(data[0])<<8|int(data[1])], nil
	}
	return lentilflow.Codec{
		ParseClientPacket: read, ParseUpstreamPacket: read, ClearReturned: func([]byte) {},
		AppendReset: func(dst []byte, _ lentilflow.Key, _ uint32) []byte { return dst },
	}
}

// harness is a custodian with a clock, and what it was told.
type harness struct {
	t     testing.TB
	clock *lentilclock.Fake
	*packetTable
	*Tracker
	lastSequence int64
}

func newHarness(t testing.TB) *harness {
	b := &harness{t: t, clock: &lentilclock.Fake{}, packetTable: &packetTable{}}
	b.clock.Advance(time.Hour)
	b.Tracker = &Tracker{Clock: b.clock, Codec: b.codec(), Service: "a", RenewInterval: 1200 * time.Millisecond, ColdFactor: 1.5, ColdSlack: 5}
	return b
}

func (b *harness) register(id string, change ...func(*Registration)) string {
	b.lastSequence++
	r := Registration{ID: id, Incarnation: 1, Sequence: b.lastSequence, Service: "a", Slots: 2}
	for _, c := range change {
		c(&r)
	}
	return formatActions(b.Register(r, nil))
}

func setDraining(r *Registration) { r.Draining = true }

func (b *harness) fromBalancer(end lentilflow.Endpoint, purpose lentilflow.Purpose, p lentilflow.Packet) string {
	b.t.Helper()
	actions, err := b.HandleCarry(end, lentilflow.Carry{Purpose: purpose, Service: "a", Version: 1, Packet: b.encode(p)}, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	return formatActions(actions)
}

func (b *harness) fromUpstream(p lentilflow.Packet) string {
	b.t.Helper()
	actions, err := b.HandleUpstreamPacket(b.encode(p), nil)
	if err != nil {
		b.t.Fatal(err)
	}
	return formatActions(actions)
}

// formatActions writes actions in short: a line for each.
func formatActions(actions []Action) string {
	var out []string
	for _, a := range actions {
		line := a.Kind.String()
		switch a.Kind {
		case SendTaken:
			line += fmt.Sprintf(" open=%t", a.Open)
		case SendRefused:
			line += " " + a.Refusal.String()
		case SendDenied:
			line += fmt.Sprintf(" unsure=%t", a.Unsure)
		case ResetClient:
			line += fmt.Sprintf(" %s %d", a.Cause, a.Sequence)
		case ReportStateChange:
			line += " " + a.Cause.String()
		}
		out = append(out, line)
	}
	return strings.Join(out, ", ")
}

func firstPacket(key lentilflow.Key) lentilflow.Packet {
	return lentilflow.Packet{Key: key, Flags: lentilflow.Open, Sequence: 100}
}

func acceptPacket(key lentilflow.Key, sequence uint32) lentilflow.Packet {
	return lentilflow.Packet{Key: key, Flags: lentilflow.Open | lentilflow.Acknowledge, Sequence: sequence}
}

func dataPacket(key lentilflow.Key, acknowledged uint32) lentilflow.Packet {
	return lentilflow.Packet{Key: key, Flags: lentilflow.Acknowledge, Acknowledged: acknowledged, Length: 10}
}

func markReturned(p lentilflow.Packet) lentilflow.Packet {
	p.Flags |= lentilflow.Returned
	return p
}

// openFlow lets a flow open at the upstream.
func (b *harness) openFlow(key lentilflow.Key) {
	b.fromBalancer(peer1, lentilflow.Place, firstPacket(key))
	b.fromUpstream(acceptPacket(key, 500))
	b.fromBalancer(peer1, lentilflow.Owned, dataPacket(key, 501))
}

// TestDecisions plays short stories: each step says what happens and what the agent is to do.
func TestDecisions(t *testing.T) {
	k := flowKey(1)
	type step struct {
		do   func(b *harness) string
		want string
	}
	tick := func(d time.Duration) func(b *harness) string {
		return func(b *harness) string { b.clock.Advance(d); return formatActions(b.Tick(nil)) }
	}
	carry := func(purpose lentilflow.Purpose, p lentilflow.Packet) func(b *harness) string {
		return func(b *harness) string { return b.fromBalancer(peer1, purpose, p) }
	}
	up := func(p lentilflow.Packet) func(b *harness) string {
		return func(b *harness) string { return b.fromUpstream(p) }
	}
	register := func(id string, change ...func(*Registration)) func(b *harness) string {
		return func(b *harness) string { return b.register(id, change...) }
	}
	for _, c := range []struct {
		name  string
		whole bool
		steps []step
	}{
		{"a flow opens, works and ends", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{carry(lentilflow.Place, firstPacket(k)), "ToUpstream, SendTaken open=false"},
			{up(acceptPacket(k, 500)), "ToClient"},
			{carry(lentilflow.Owned, dataPacket(k, 501)), "SendTaken open=true, ToUpstream"},
			{up(dataPacket(k, 110)), "ToClient"},
			{carry(lentilflow.Owned, lentilflow.Packet{Key: k, Flags: lentilflow.Close}), "ToUpstream"},
			{up(lentilflow.Packet{Key: k, Flags: lentilflow.Close}), "ToClient"},
			{func(b *harness) string { return fmt.Sprint(b.OpenFlows()) }, "0"},
		}},
		{"a copy of a first packet goes to the same upstream", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{carry(lentilflow.Place, firstPacket(k)), "ToUpstream, SendTaken open=false"},
			{carry(lentilflow.Place, firstPacket(k)), "ToUpstream, SendTaken open=false"},
		}},
		{"the client took another upstream's offer", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{carry(lentilflow.Place, firstPacket(k)), "ToUpstream, SendTaken open=false"},
			{up(acceptPacket(k, 500)), "ToClient"},
			{carry(lentilflow.Lookup, dataPacket(k, 99999999)), "SendDenied unsure=false"},
			{carry(lentilflow.Lookup, dataPacket(k, 501)), "SendTaken open=true, ToUpstream"},
		}},
		{"a draining upstream gets no new flow and keeps its own", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string { b.openFlow(k); return "" }, ""},
			{register("u", setDraining), "ReportStateChange UpstreamLeaving"},
			{carry(lentilflow.Place, firstPacket(flowKey(2))), "SendRefused UpstreamDraining"},
			{carry(lentilflow.Owned, dataPacket(k, 510)), "ToUpstream"},
		}},
		{"a failure domain that is out gets no new flow and keeps its own", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string { b.openFlow(k); return "" }, ""},
			{func(b *harness) string { return formatActions(b.SetOut(true, nil)) }, "ReportStateChange DomainChanged"},
			{carry(lentilflow.Place, firstPacket(flowKey(2))), "SendRefused DomainOut"},
			{carry(lentilflow.Owned, dataPacket(k, 510)), "ToUpstream"},
			{func(b *harness) string { return formatActions(b.SetOut(true, nil)) }, ""},
		}},
		{"an agent that knows every flow denies others", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{carry(lentilflow.Lookup, dataPacket(k, 501)), "SendDenied unsure=false"},
			{func(b *harness) string {
				return formatActions(b.HandleAsk(peer1, lentilflow.Ask{Keys: []lentilflow.Key{k}}, nil))
			}, "SendDenied unsure=false"},
		}},
		{"after a restart the upstream tells which flows it holds", false, []step{
			{register("u", func(r *Registration) { r.Sequence = 9 }), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string {
				return formatActions(b.HandleAsk(peer1, lentilflow.Ask{Keys: []lentilflow.Key{k}}, nil))
			}, "SendDenied unsure=true"},
			{carry(lentilflow.Lookup, dataPacket(k, 501)), "ToUpstream"},
			{up(dataPacket(k, 110)), "SendTaken open=true, ToClient"},
			{carry(lentilflow.Owned, dataPacket(k, 511)), "ToUpstream"},
			{carry(lentilflow.Lookup, dataPacket(flowKey(2), 501)), "ToUpstream"},
			{up(markReturned(dataPacket(flowKey(2), 501))), "SendDenied unsure=false"},
			{carry(lentilflow.Lookup, dataPacket(flowKey(2), 501)), "SendDenied unsure=false"},
		}},
		{"a reset by an upstream that doesn't hold the flow stays here", false, []step{
			{register("u", func(r *Registration) { r.Sequence = 9 }), "ReportStateChange UpstreamRegistered"},
			{carry(lentilflow.Lookup, dataPacket(k, 501)), "ToUpstream"},
			{up(lentilflow.Packet{Key: k, Flags: lentilflow.Reset}), "SendDenied unsure=false"},
		}},
		{"a second packet of a sought flow doesn't follow the first astray", false, []step{
			{register("u", func(r *Registration) { r.Sequence = 9 }), "ReportStateChange UpstreamRegistered"},
			{carry(lentilflow.Lookup, dataPacket(k, 501)), "ToUpstream"},
			{carry(lentilflow.Lookup, dataPacket(k, 501)), "SendDenied unsure=true"},
			{carry(lentilflow.Owned, dataPacket(k, 501)), "ToUpstream"},
		}},
		{"the first registration of a run shows that every flow is known", false, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{carry(lentilflow.Lookup, dataPacket(k, 501)), "SendDenied unsure=false"},
		}},
		{"an upstream that can't accept gives the packet back", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{carry(lentilflow.Place, firstPacket(k)), "ToUpstream, SendTaken open=false"},
			{up(markReturned(firstPacket(k))), "SendRefused UpstreamFull"},
		}},
		{"an upstream that lost a flow says so", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string { b.openFlow(k); return "" }, ""},
			{carry(lentilflow.Owned, dataPacket(k, 777)), "ToUpstream"},
			{up(markReturned(dataPacket(k, 777))), "ResetClient FlowUnknown 777"},
			{carry(lentilflow.Owned, dataPacket(k, 778)), "ResetClient FlowUnknown 778"},
		}},
		{"another run of the upstream ends the flows of the former", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string { b.openFlow(k); return "" }, ""},
			{register("v", func(r *Registration) { r.Incarnation = 2 }), "ResetClient UpstreamReplaced 501, ReportStateChange UpstreamRegistered"},
			{carry(lentilflow.Place, firstPacket(flowKey(2))), "ToUpstream, SendTaken open=false"},
		}},
		{"the same name with a later start is another run", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string { b.openFlow(k); return "" }, ""},
			{register("u", func(r *Registration) { r.Incarnation, r.Sequence = 2, 1 }), "ResetClient UpstreamReplaced 501, ReportStateChange UpstreamRegistered"},
		}},
		{"a late registration changes nothing", true, []step{
			{register("u", func(r *Registration) { r.Sequence = 5 }), "ReportStateChange UpstreamRegistered"},
			{register("u", func(r *Registration) { r.Sequence = 4; r.Draining = true }), ""},
			{register("old", func(r *Registration) { r.Incarnation = 0 }), ""},
			{carry(lentilflow.Place, firstPacket(k)), "ToUpstream, SendTaken open=false"},
		}},
		{"another service's registration changes nothing", true, []step{
			{register("u", func(r *Registration) { r.Service = "b" }), ""},
			{carry(lentilflow.Place, firstPacket(k)), "ToUpstream, SendTaken open=false"},
		}},
		{"an upstream whose clock went back is believed in the end", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{register("v", func(r *Registration) { r.Incarnation, r.Sequence = 0, 1 }), ""},
			{tick(3100 * time.Millisecond), ""},
			{tick(100 * time.Millisecond), ""},
			{func(b *harness) string {
				for range 40 {
					b.clock.Advance(100 * time.Millisecond)
					b.Tick(nil)
				}
				return ""
			}, ""},
			{register("v", func(r *Registration) { r.Incarnation, r.Sequence = 0, 2 }), "ReportStateChange UpstreamRegistered"},
		}},
		{"a machine that refuses packets ends the flows", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string { b.openFlow(k); return "" }, ""},
			{func(b *harness) string { return formatActions(b.HandlePacketRefused(nil)) }, "ProbeUpstream"},
			{func(b *harness) string { return formatActions(b.HandlePacketRefused(nil)) }, ""},
			{func(b *harness) string { return formatActions(b.HandleProbeResult(ProbeRefused, nil)) }, "ReportStateChange UpstreamRefused, ResetClient UpstreamRefused 501"},
			{carry(lentilflow.Place, firstPacket(flowKey(2))), "SendRefused NoUpstream"},
			{register("u"), "ReportStateChange UpstreamRegistered"},
		}},
		{"a silent upstream is checked, and lives", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string { b.openFlow(k); return "" }, ""},
			{carry(lentilflow.Owned, dataPacket(k, 501)), "ToUpstream"},
			{tick(100 * time.Millisecond), ""},
			{tick(150 * time.Millisecond), "ProbeUpstream"},
			{func(b *harness) string { return formatActions(b.HandleProbeResult(ProbeAccepted, nil)) }, ""},
			{tick(100 * time.Millisecond), ""},
		}},
		{"a flow that is half open is never denied", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{carry(lentilflow.Place, firstPacket(k)), "ToUpstream, SendTaken open=false"},
			{func(b *harness) string {
				return formatActions(b.HandleAsk(peer1, lentilflow.Ask{Keys: []lentilflow.Key{k, flowKey(2)}}, nil))
			},
				"SendDenied unsure=false, SendDenied unsure=true"},
		}},
		{"an upstream that went on leaving without its agent is gone when that stops", false, []step{
			{func(b *harness) string { return formatActions(b.Stop(nil)) }, "ReportStateChange StopAsked"},
			{func(b *harness) string { return formatActions(b.HandleProbeResult(ProbeRefused, nil)) }, "ReportStateChange UpstreamRefused"},
			{func(b *harness) string { return fmt.Sprint(b.Phase(), b.Status().UpstreamEnded) }, "Gone true"},
		}},
		{"a silent upstream is checked, and is gone", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string { b.openFlow(k); return "" }, ""},
			{carry(lentilflow.Owned, dataPacket(k, 501)), "ToUpstream"},
			{tick(100 * time.Millisecond), ""},
			{tick(150 * time.Millisecond), "ProbeUpstream"},
			{func(b *harness) string { return formatActions(b.HandleProbeResult(ProbeTimedOut, nil)) }, "ReportStateChange UpstreamSilent, ResetClient UpstreamSilent 501"},
		}},
		{"an agent that stood still doesn't take the upstream for silent", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string { b.openFlow(k); b.Tick(nil); return "" }, ""},
			{carry(lentilflow.Owned, dataPacket(k, 501)), "ToUpstream"},
			{tick(5 * time.Second), ""},
		}},
		{"an upstream that signs off has its flows reset once nothing listens", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string { b.openFlow(k); return "" }, ""},
			{func(b *harness) string { return formatActions(b.Deregister("u", nil)) }, "ReportStateChange UpstreamLeft, ProbeUpstream"},
			{func(b *harness) string { return formatActions(b.HandleProbeResult(ProbeAccepted, nil)) }, "ProbeUpstream"},
			{func(b *harness) string { return formatActions(b.HandleProbeResult(ProbeRefused, nil)) }, "ResetClient UpstreamRefused 501"},
			{func(b *harness) string { return formatActions(b.Deregister("u", nil)) }, ""},
		}},
		{"the sign-off of another upstream changes nothing", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string { return formatActions(b.Deregister("old", nil)) }, ""},
			{carry(lentilflow.Place, firstPacket(k)), "ToUpstream, SendTaken open=false"},
		}},
		{"a stopping agent refuses new flows and keeps the others", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string { b.openFlow(k); return "" }, ""},
			{func(b *harness) string { return formatActions(b.Stop(nil)) }, "ReportStateChange StopAsked"},
			{carry(lentilflow.Place, firstPacket(flowKey(2))), "SendRefused Stopping"},
			{carry(lentilflow.Owned, dataPacket(k, 501)), "ToUpstream"},
		}},
		{"a balancer that means another service is refused", true, []step{
			{register("u"), "ReportStateChange UpstreamRegistered"},
			{func(b *harness) string {
				actions, _ := b.HandleCarry(peer1, lentilflow.Carry{Service: "b", Packet: b.encode(firstPacket(k))}, nil)
				return formatActions(actions)
			}, "SendRefused OtherService"},
		}},
		{"balancers are told of changes, and one that leaves isn't", true, []step{
			{func(b *harness) string { return formatActions(b.HandleHello(peer1, lentilflow.Hello{}, nil)) }, "SendStatus"},
			{func(b *harness) string { return formatActions(b.AddPeer(lentilflow.Node{Address: peer2}, nil)) }, "SendStatus"},
			{func(b *harness) string { return formatActions(b.AddPeer(lentilflow.Node{Address: peer2}, nil)) }, ""},
			{register("u"), "ReportStateChange UpstreamRegistered, SendStatus, SendStatus"},
			{func(b *harness) string {
				return formatActions(b.HandleHello(peer2, lentilflow.Hello{Stopping: true}, nil))
			}, ""},
			{register("u", setDraining), "ReportStateChange UpstreamLeaving, SendStatus"},
		}},
		{"an agent that no balancer greeted for long joins again", true, []step{
			{func(b *harness) string { return formatActions(b.HandleHello(peer1, lentilflow.Hello{}, nil)) }, "SendStatus"},
			{func(b *harness) string { b.clock.Advance(13 * time.Second); return "" }, ""},
			{func(b *harness) string { return formatActions(b.HandleHello(peer1, lentilflow.Hello{}, nil)) }, "Rediscover, SendStatus"},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t)
			b.FlowsComplete = c.whole
			// The first tick tells that a fresh upstream may be cold; later ones only what is new.
			b.Tick(nil)
			for i, s := range c.steps {
				got := s.do(b)
				got = strings.TrimSuffix(strings.ReplaceAll(", "+got+",", ", ReportStateChange ColdChanged,", ","), ",")
				got = strings.TrimPrefix(got, ", ")
				if c.name == "an upstream whose clock went back is believed in the end" && i < 5 {
					continue
				}
				if got != s.want {
					t.Errorf("step %d: got %q, want %q", i, got, s.want)
				}
			}
		})
	}
}
