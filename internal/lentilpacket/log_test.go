package lentilpacket

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilsetting"
	"lentilstair.example/lentilstair/pkg/lentilconntrack"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// firstPacketCodec takes every packet of a client for the first one of testFlow.
var firstPacketCodec = lentilflow.Codec{
	ParseClientPacket: func([]byte) (p lentilflow.Packet, err error) {
		return lentilflow.Packet{Key: testFlow, Flags: lentilflow.Open, Sequence: 1}, nil
	},
}

// checkLine fails the test unless the log has one line of the event, with all fields.
func checkLine(t *testing.T, log *bytes.Buffer, event lentilevent.Event, fields ...string) {
	t.Helper()
	found := 0
	for line := range strings.Lines(log.String()) {
		if !strings.Contains(line, event.Code()) {
			continue
		}
		found++
		for _, field := range fields {
			if !strings.Contains(line, field) {
				t.Errorf("%s is missing in %s", field, line)
			}
		}
	}
	if found != 1 {
		t.Errorf("%d lines of %s, want one: %s", found, event.Code(), log)
	}
	log.Reset()
}

// TestPlacementIsTraceable guards against lines of a balancer that don't tell a remembered agent from a chosen one, or the service of
// an offer from that of the agent, and against an address that changes hands without a line.
func TestPlacementIsTraceable(t *testing.T) {
	var log bytes.Buffer
	b := &Balancer{Codec: firstPacketCodec, Counts: &Counts{}, Logger: lentilevent.New(&log, lentilevent.Info), peerConn: listenLoopback(t)}
	registry, poller := lentilmetric.New("balancer"), lentilmetric.Poller{}
	b.Counts.Export(registry, &poller)
	b.placer.Codec = firstPacketCodec
	backends := map[lentilflow.Endpoint][]lentilflow.Backend{testFlow.Service(): {{Service: "a", Weight: 1}}}
	b.placer.Configure(lentilflow.NewConfiguration(1, backends, nil, time.Minute))
	agent := lentilflow.EndpointOf(newReceiver(t).address())
	status := func(name, service string, run uint64) {
		load := lentilflow.Load{Flows: 3, Slots: 4}
		m := lentilflow.Status{Name: name, Service: service, RunID: run, Sequence: 1, Phase: lentilflow.Ready, Load: load}
		b.perform(b.placer.HandleStatus(agent, m, nil))
	}
	status("side-1", "a", 11)
	checkLine(t, &log, lentilevent.AgentNoted, `"cause":"AgentHeard"`, `"agentName":"side-1"`, `"agentService":"a"`, `"agentRun":11`)
	for _, cause := range []string{`"cause":"Chosen"`, `"cause":"Remembered"`} {
		actions, err := b.placer.HandlePacket([]byte("first"), nil)
		if err != nil {
			t.Fatal(err)
		}
		b.perform(actions)
		checkLine(t, &log, lentilevent.FlowPlaced, cause, `"agentFlows":3`, `"service":"a"`, `"agentService":"a"`, `"agentName":"side-1"`, `"agentRun":11`,
			`"agentPhase":"Ready"`)
	}
	status("side-2", "b", 12)
	checkLine(t, &log, lentilevent.AgentNoted, `"cause":"AgentReplaced"`, `"agentName":"side-2"`, `"agentService":"b"`, `"agentRun":12`,
		`"previousName":"side-1"`, `"previousService":"a"`)
	if remembered, replaced := b.Counts.Remembered.Load(), b.Counts.AgentsReplaced.Load(); remembered != 1 || replaced != 1 {
		t.Errorf("%d remembered agents and %d replaced ones are counted, want one of each", remembered, replaced)
	}
}

// newLoggingAgent returns an agent of service a whose upstream's address is that of a receiver, with its log.
func newLoggingAgent(t *testing.T) (a *Agent, log *bytes.Buffer) {
	t.Helper()
	free := func() netip.AddrPort {
		conn := listenLoopback(t)
		defer func() { _ = conn.Close() }()
		return conn.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
	}
	doc := fmt.Sprintf(`{"name": "side-1", "domain": "palermo", "service": "a", "peerAddress": %q, "outboundAddress": %q, "upstreamAddress": %q, `+
		`"registrationAddress": %q, "adminAddress": %q, "storeAddress": %q, "clientPort": "7644"}`, free(), free(), newReceiver(t).address(), free(), free(), free())
	settings, err := lentilsetting.Loader{ReadFile: func(string) ([]byte, error) { return []byte(doc), nil }}.PacketAgent("settings")
	if err != nil {
		t.Fatal(err)
	}
	log = &bytes.Buffer{}
	a = &Agent{Settings: settings, Codec: firstPacketCodec, Counts: &Counts{}, Logger: lentilevent.New(log, lentilevent.Info)}
	if err = a.open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.close)
	registry, poller := lentilmetric.New("agent"), lentilmetric.Poller{}
	a.Counts.Export(registry, &poller)
	return a, log
}

// TestAcceptedOfferIsTraceable guards against lines of an agent that don't tell the service of an offer from its own, and don't name
// the upstream that it believes to have.
func TestAcceptedOfferIsTraceable(t *testing.T) {
	a, log := newLoggingAgent(t)
	a.Register(lentilconntrack.Registration{ID: "copy-1", Incarnation: 1, Sequence: 9, Service: "a", Slots: 4})
	checkLine(t, log, lentilevent.UpstreamNoted, `"cause":"UpstreamRegistered"`, `"id":"copy-1"`, `"service":"a"`)
	offer := func(service string) {
		a.handleEvent(func(actions []lentilconntrack.Action) []lentilconntrack.Action {
			m := lentilflow.Carry{Service: service, Version: 1, Packet: []byte("first")}
			actions, err := a.tracker.HandleCarry(lentilflow.EndpointOf(newReceiver(t).address()), m, actions)
			if err != nil {
				t.Error(err)
			}
			return actions
		})
	}
	upstream := []string{`"service":"a"`, `"phase":"Ready"`, `"id":"copy-1"`, `"registeredAgoMillis":`, `"seenAgoMillis":`}
	offer("b")
	checkLine(t, log, lentilevent.FlowRefused, append(upstream, `"refusal":"OtherService"`, `"offered":"b"`)...)
	offer("a")
	checkLine(t, log, lentilevent.FlowTaken, append(upstream, `"offered":"a"`)...)
	if refused := a.Counts.RefusedOtherService.Load(); refused != 1 {
		t.Errorf("%d offers for another service are counted, want 1", refused)
	}
}

// TestRejectedRegistrationIsTraceable guards against a rejected registration whose line doesn't name both services, and against lines
// without bound while an upstream repeats its registration.
func TestRejectedRegistrationIsTraceable(t *testing.T) {
	a, log := newLoggingAgent(t)
	a.RefuseRegistration("copy-7", "b", errors.New("service b is not the agent's"))
	checkLine(t, log, lentilevent.RegistrationRefused, `"id":"copy-7"`, `"service":"b"`, `"agentService":"a"`, `"phase":"Unheard"`, `"agentUpstream":""`, `"seenAgoMillis":0`)
	const repetitions = 100
	for range repetitions {
		a.RefuseRegistration("copy-7", "b", errors.New("service b is not the agent's"))
	}
	if lines := strings.Count(log.String(), "\n"); lines == 0 || lines > repetitions/10 {
		t.Errorf("%d lines about %d registrations", lines, repetitions)
	}
	a.RefuseRegistration("copy-8", "", errors.New("not JSON"))
	if other, malformed := a.Counts.RegistrationsOtherService.Load(), a.Counts.RegistrationsMalformed.Load(); other != 1+repetitions || malformed != 1 {
		t.Errorf("%d registrations for another service and %d malformed ones are counted, want %d and 1", other, malformed, 1+repetitions)
	}
}

// TestRegistrationBeforeOpen guards against a registration of the agent's own upstream that is acknowledged without effect, or taken for one
// of another service, since it comes before the agent has opened its sockets.
func TestRegistrationBeforeOpen(t *testing.T) {
	opened, log := newLoggingAgent(t)
	opened.close()
	a := &Agent{Settings: opened.Settings, Codec: firstPacketCodec, Counts: &Counts{}, Logger: opened.Logger}
	a.Register(lentilconntrack.Registration{ID: "copy-1", Incarnation: 1, Sequence: 9, Service: "a", Slots: 4})
	if state := a.Ready(); !state.Ready {
		t.Errorf("after the registration: not ready, since %s: %s", state.Reason, log)
	}
	if err := a.open(); err != nil {
		t.Fatal(err)
	}
	defer a.close()
	if state := a.Ready(); !state.Ready {
		t.Errorf("after the start: not ready, since %s", state.Reason)
	}
}

// TestDeregistrationBeforeOpen guards against an agent that ends by itself, since its upstream registers and deregisters before the agent
// has opened its sockets.
func TestDeregistrationBeforeOpen(t *testing.T) {
	opened, _ := newLoggingAgent(t)
	opened.close()
	a := &Agent{Settings: opened.Settings, Codec: firstPacketCodec, Counts: &Counts{}, Logger: opened.Logger}
	a.Register(lentilconntrack.Registration{ID: "copy-1", Incarnation: 1, Sequence: 9, Service: "a", Slots: 4})
	a.Deregister("copy-1")
	a.workers.Wait()
}
