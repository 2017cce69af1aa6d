package lentilpacket

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

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

func register(t *testing.T, a *Agent, r lentilconntrack.Registration) {
	t.Helper()
	if err := a.Register(r); err != nil {
		t.Error(err)
	}
}

// TestAcceptedOfferIsTraceable guards against lines of an agent that don't tell the service of an offer from its own, and don't name
// the upstream that it believes to have.
func TestAcceptedOfferIsTraceable(t *testing.T) {
	a, log := newLoggingAgent(t)
	register(t, a, lentilconntrack.Registration{ID: "copy-1", Incarnation: 1, Sequence: 9, Service: "a", Slots: 4})
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
	a.RefuseRegistration("copy-7", "b", ErrOtherUpstream.New("service b is not the agent's"))
	checkLine(t, log, lentilevent.RegistrationRefused, `"id":"copy-7"`, `"service":"b"`, `"agentService":"a"`, `"phase":"Unheard"`, `"agentUpstream":""`, `"seenAgoMillis":0`)
	const repetitions = 100
	for range repetitions {
		a.RefuseRegistration("copy-7", "b", ErrOtherUpstream.New("service b is not the agent's"))
	}
	if lines := strings.Count(log.String(), "\n"); lines == 0 || lines > repetitions/10 {
		t.Errorf("%d lines about %d registrations", lines, repetitions)
	}
	a.RefuseRegistration("copy-8", "", errors.New("not JSON"))
	if other, malformed := a.Counts.RegistrationsOtherUpstream.Load(), a.Counts.RegistrationsMalformed.Load(); other != 1+repetitions || malformed != 1 {
		t.Errorf("%d registrations for another service and %d malformed ones are counted, want %d and 1", other, malformed, 1+repetitions)
	}
}

// TestContestedAddressIsTraceable guards against an upstream that gets no flows while the log, the metrics and the readiness don't say that
// registrations of other services are the cause.
func TestContestedAddressIsTraceable(t *testing.T) {
	a, log := newLoggingAgent(t)
	other := lentilconntrack.Registration{ID: "other", Incarnation: 2, Sequence: 1, Service: "b"}
	for range 3 {
		if err := a.Register(other); err == nil {
			t.Error("a registration of another service is acknowledged")
		}
	}
	checkLine(t, log, lentilevent.UpstreamNoted, `"cause":"AddressContested"`, `"phase":"Unheard"`, `"service":"a"`, `"otherService":"b"`)
	if lines := strings.Count(log.String(), "AddressContested"); lines > 1 {
		t.Errorf("%d lines about one contest", lines)
	}
	register(t, a, lentilconntrack.Registration{ID: "copy-1", Incarnation: 1, Sequence: 9, Service: "a", Slots: 4})
	if ignored := a.Counts.RegistrationsIgnored.Load(); ignored != 1 {
		t.Errorf("%d registrations count as ignored, want 1", ignored)
	}
	if got := a.Ready(); got.Ready || !strings.Contains(got.Reason, "other services") {
		t.Errorf("ready: %t, reason %q", got.Ready, got.Reason)
	}
}

// TestRegistrationBeforeOpen guards against a registration of the agent's own upstream that is acknowledged without effect, or taken for one
// of another service, since it comes before the agent has opened its sockets.
func TestRegistrationBeforeOpen(t *testing.T) {
	opened, log := newLoggingAgent(t)
	opened.close()
	a := &Agent{Settings: opened.Settings, Codec: firstPacketCodec, Counts: &Counts{}, Logger: opened.Logger}
	register(t, a, lentilconntrack.Registration{ID: "copy-1", Incarnation: 1, Sequence: 9, Service: "a", Slots: 4})
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
	register(t, a, lentilconntrack.Registration{ID: "copy-1", Incarnation: 1, Sequence: 9, Service: "a", Slots: 4})
	a.Deregister("copy-1")
	a.workers.Wait()
}

// TestOnlyRegistrationsInForceAreAcknowledged guards against an upstream that ends, or goes on getting new flows, because a registration
// was acknowledged that the agent ignores.
func TestOnlyRegistrationsInForceAreAcknowledged(t *testing.T) {
	a, log := newLoggingAgent(t)
	upstream := a.Settings.UpstreamAddress()
	usual := lentilconntrack.Registration{ID: "copy-1", Incarnation: 1000, Sequence: 9, Service: "a", Address: upstream, Slots: 4}
	register(t, a, usual)
	for _, c := range []struct {
		name   string
		change func(r *lentilconntrack.Registration)
		want   *errorx.Type
	}{
		{"another service", func(r *lentilconntrack.Registration) { r.Service = "b" }, ErrOtherUpstream},
		{"another port", func(r *lentilconntrack.Registration) {
			r.Address = netip.AddrPortFrom(upstream.Addr(), upstream.Port()+1)
		}, ErrOtherUpstream},
		{"an earlier run that drains", func(r *lentilconntrack.Registration) { r.ID, r.Incarnation, r.Draining = "copy-0", 500, true }, ErrNotInForce},
		{"an earlier registration that says it drains", func(r *lentilconntrack.Registration) { r.Sequence, r.Draining = 8, true }, ErrNotInForce},
		{"an earlier registration", func(r *lentilconntrack.Registration) { r.Sequence = 8 }, nil},
		{"draining", func(r *lentilconntrack.Registration) { r.Sequence, r.Draining = 10, true }, nil},
		{"an earlier run that drains, while no run gets new flows", func(r *lentilconntrack.Registration) {
			r.ID, r.Incarnation, r.Draining = "copy-0", 500, true
		}, nil},
	} {
		r := usual
		c.change(&r)
		err := a.Register(r)
		if c.want == nil && err != nil || c.want != nil && !errorx.IsOfType(err, c.want) {
			t.Errorf("%s: %v, want an error of the type %v", c.name, err, c.want)
		}
		if err != nil {
			a.RefuseRegistration(r.ID, r.Service, err)
		}
	}
	if other, stale := a.Counts.RegistrationsOtherUpstream.Load(), a.Counts.RegistrationsNotInForce.Load(); other != 2 || stale != 2 {
		t.Errorf("%d of other upstreams and %d that aren't in force are counted, want 2 and 2: %s", other, stale, log)
	}
}

// TestUpstreamAddresses guards against registrations of the agent's own upstream that are rejected, since it names its address otherwise.
func TestUpstreamAddresses(t *testing.T) {
	for _, c := range []struct {
		own, advertised string
		want            bool
	}{
		{"10.0.0.1:8080", "10.0.0.1:8080", true},
		{"10.0.0.1:8080", "[::ffff:10.0.0.1]:8080", true},
		{"127.0.0.1:8080", "10.0.0.1:8080", true},
		{"[::1]:8080", "10.0.0.1:8080", true},
		{"10.0.0.1:8080", "10.0.0.2:8080", false},
		{"10.0.0.1:8080", "10.0.0.1:8081", false},
		{"127.0.0.1:8080", "10.0.0.1:8081", false},
	} {
		if got := reaches(netip.MustParseAddrPort(c.own), netip.MustParseAddrPort(c.advertised)); got != c.want {
			t.Errorf("%s for the upstream at %s: %t, want %t", c.advertised, c.own, got, c.want)
		}
	}
}
