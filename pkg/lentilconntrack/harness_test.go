package lentilconntrack

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
	serviceAddress = lentilflow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)
	peer1          = lentilflow.NewEndpoint([4]byte{10, 0, 0, 1}, 7720)
	peer2          = lentilflow.NewEndpoint([4]byte{10, 0, 0, 2}, 7720)
)

func flowKey(n int) lentilflow.Key {
	return lentilflow.NewKey(lentilflow.NewEndpoint([4]byte{100, 64, byte(n >> 8), byte(n)}, 1025), serviceAddress)
}

// packetTable makes a codec for packets that are encoded as two-byte indexes into the table.
type packetTable struct{ packets []lentilflow.Packet }

func (p *packetTable) encode(packet lentilflow.Packet) []byte {
	p.packets = append(p.packets, packet)
	n := len(p.packets) - 1
	return []byte{byte(n >> 8), byte(n)}
}

func (p *packetTable) codec() lentilflow.Codec {
	parse := func(data []byte) (lentilflow.Packet, error) {
		if len(data) != 2 {
			return lentilflow.Packet{}, errors.New("not a packet")
		}
		return p.packets[int(data[0])<<8|int(data[1])], nil
	}
	return lentilflow.Codec{
		ParseClientPacket: parse, ParseUpstreamPacket: parse, ClearReturned: func([]byte) {},
		AppendReset: func(dst []byte, _ lentilflow.Key, _ uint32) []byte { return dst },
	}
}

// harness is a Tracker with a fake clock and the packets that it handles.
type harness struct {
	t     testing.TB
	clock *lentilclock.Fake
	*packetTable
	*Tracker
	// lastSequence is the sequence of the last registration.
	lastSequence int64
	// createdAt is the time of newHarness. Incarnations are counted from it in milliseconds.
	createdAt time.Time
}

func newHarness(t testing.TB) *harness {
	h := &harness{t: t, clock: &lentilclock.Fake{}, packetTable: &packetTable{}}
	h.clock.Advance(time.Hour)
	h.createdAt = h.clock.Now()
	h.Tracker = &Tracker{Clock: h.clock, Codec: h.codec(), Service: "a", RenewInterval: 1200 * time.Millisecond, ColdFactor: 1.5, ColdSlack: 5}
	return h
}

func (h *harness) register(id string, change ...func(*Registration)) string {
	h.lastSequence++
	r := Registration{ID: id, Incarnation: 1, Sequence: h.lastSequence, Service: "a", Slots: 2}
	for _, apply := range change {
		apply(&r)
	}
	r.Incarnation += h.createdAt.UnixMilli()
	return formatActions(h.Register(r, nil))
}

func setDraining(r *Registration) { r.Draining = true }

func (h *harness) fromBalancer(balancer lentilflow.Endpoint, purpose lentilflow.Purpose, p lentilflow.Packet) string {
	h.t.Helper()
	actions, err := h.HandleCarry(balancer, lentilflow.Carry{Purpose: purpose, Service: "a", Version: 1, Packet: h.encode(p)}, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	return formatActions(actions)
}

func (h *harness) fromUpstream(p lentilflow.Packet) string {
	h.t.Helper()
	actions, err := h.HandleUpstreamPacket(h.encode(p), nil)
	if err != nil {
		h.t.Fatal(err)
	}
	return formatActions(actions)
}

// formatActions returns the kinds of the actions and their main fields, separated by commas.
func formatActions(actions []Action) string {
	var texts []string
	for _, a := range actions {
		text := a.Kind.String()
		switch a.Kind {
		case SendTaken:
			text += fmt.Sprintf(" open=%t", a.Open)
		case SendRefused:
			text += " " + a.Refusal.String()
		case SendDenied:
			text += fmt.Sprintf(" unsure=%t", a.Unsure)
		case ResetClient:
			text += fmt.Sprintf(" %s %d", a.Cause, a.Sequence)
		case ReportStateChange:
			text += " " + a.Cause.String()
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ", ")
}

func firstPacket(key lentilflow.Key) lentilflow.Packet {
	return lentilflow.Packet{Key: key, Flags: lentilflow.Open, Sequence: 100}
}

// firstPacketAgain is the first packet of another flow from the same port.
func firstPacketAgain(key lentilflow.Key) lentilflow.Packet {
	return lentilflow.Packet{Key: key, Flags: lentilflow.Open, Sequence: 70000}
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

// openFlow opens a flow at the upstream.
func (h *harness) openFlow(key lentilflow.Key) {
	h.fromBalancer(peer1, lentilflow.Place, firstPacket(key))
	h.fromUpstream(acceptPacket(key, 500))
	h.fromBalancer(peer1, lentilflow.Owned, dataPacket(key, 501))
}

// offer offers a new flow whose route has terms.
func (h *harness) offer(n int, mayWait bool) string {
	h.t.Helper()
	actions, err := h.HandleCarry(peer1, lentilflow.Carry{
		Service: "a", Version: 1, MayWait: mayWait, Terms: lentilflow.Terms{Target: 250 * time.Millisecond, Repeatable: true}, Packet: h.encode(firstPacket(flowKey(n))),
	}, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	return formatActions(actions)
}

// failFlows opens flows whose requests the upstream answers with a reset, and returns the actions of the last one.
func (h *harness) failFlows(count int) (last string) {
	for n := range count {
		key := flowKey(100 + n)
		h.openFlow(key)
		last = h.fromUpstream(lentilflow.Packet{Key: key, Flags: lentilflow.Reset})
	}
	return last
}

func (h *harness) helloWith(asOf uint64, out bool) string {
	return formatActions(h.HandleHello(peer1, lentilflow.Hello{DomainState: lentilflow.DomainState{AsOf: asOf, Out: out}}, nil))
}
