package lentilpacket

import (
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/pkg/lentilconntrack"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilplacement"
)

// logLinesPerSecond bounds the log lines about flows that a process writes. At about 20 µs a line, they take
// 2 % of a tenth of a core. Counters are not limited, and the next line says how many were suppressed.
const logLinesPerSecond = 100

// logLimiter limits the rate of log lines about flows.
type logLimiter struct {
	windowStart time.Time
	lines       int
	suppressed  int
}

// allow reports whether a line may be written now, and how many lines were suppressed since the last one.
func (l *logLimiter) allow(now time.Time) (suppressed int, ok bool) {
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.lines = now, 0
	}
	if l.lines >= logLinesPerSecond {
		l.suppressed++
		return 0, false
	}
	l.lines++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// write logs an event about a flow unless the limit is reached.
func (l *logLimiter) write(logger lentilevent.Logger, event lentilevent.Event, fields ...lentilevent.Field) {
	suppressed, ok := l.allow(time.Now())
	if !ok {
		return
	}
	if suppressed > 0 {
		fields = append(fields, lentilevent.Int("suppressed", suppressed))
	}
	logger.Write(event, fields...)
}

// logAction logs the placer's decision about a flow or an agent.
func (b *Balancer) logAction(a *lentilplacement.Action) {
	flow, cause := lentilevent.Str("flow", a.Key.String()), lentilevent.Str("cause", a.Cause.String())
	switch {
	case a.Kind == lentilplacement.SendCarry && a.Carry.Purpose == lentilflow.Place:
		status, age, _ := b.placer.LastStatus(a.To)
		b.logLimiter.write(b.Logger, lentilevent.FlowPlaced, flow, cause, lentilevent.Addr("agent", a.To.AddrPort()),
			lentilevent.Uint("version", a.Carry.Version), lentilevent.Int("agentFlows", int(status.Load.Flows)),
			lentilevent.Int("agentBusy", int(status.Load.InFlight)), lentilevent.Duration("ageMillis", age),
			lentilevent.Str("refusal", a.Refusal.String()), lentilevent.Str("service", a.Carry.Service),
			lentilevent.Str("agentService", status.Service), lentilevent.Str("agentName", status.Name), lentilevent.Uint("agentRun", status.RunID),
			lentilevent.Str("agentPhase", status.Phase.String()))
	case a.Kind == lentilplacement.ReportLookup && a.Cause == lentilplacement.SoughtByKey:
		known, responsive := b.placer.AgentCounts()
		b.logLimiter.write(b.Logger, lentilevent.FlowSoughtByKey, flow, lentilevent.Int("buffered", b.placer.BufferedBytes()),
			lentilevent.Int("agents", known), lentilevent.Int("heard", responsive))
	case a.Kind == lentilplacement.ReportHedge:
		b.logLimiter.write(b.Logger, lentilevent.FlowHedged, flow, lentilevent.Addr("agent", a.Hedge.First.AddrPort()),
			lentilevent.Addr("second", a.Hedge.Extra.AddrPort()), lentilevent.Uint("delayMicros", uint64(a.Hedge.Delay.Microseconds())),
			lentilevent.Addr("winner", a.To.AddrPort()))
	case a.Kind == lentilplacement.ReportLookup:
		known, responsive := b.placer.AgentCounts()
		b.logLimiter.write(b.Logger, lentilevent.FlowSought, flow, cause, lentilevent.Int("agents", known), lentilevent.Int("heard", responsive))
	case a.Kind == lentilplacement.ResetClient:
		b.logLimiter.write(b.Logger, lentilevent.FlowReset, flow, cause, lentilevent.Str("refusal", a.Refusal.String()))
	case a.Kind == lentilplacement.Drop:
		b.logLimiter.write(b.Logger, lentilevent.FlowDropped, flow, cause)
	case a.Kind == lentilplacement.SendRelay:
		b.logLimiter.write(b.Logger, lentilevent.FlowRelayed, flow, cause, lentilevent.Addr("balancer", a.To.AddrPort()))
	case a.Kind == lentilplacement.Hold:
		b.logLimiter.write(b.Logger, lentilevent.FlowHeld, flow, cause)
	case a.Kind == lentilplacement.ReportAgent:
		status, _, _ := b.placer.LastStatus(a.To)
		fields := []lentilevent.Field{
			cause, lentilevent.Addr("agent", a.To.AddrPort()), lentilevent.Str("phase", a.Phase.String()),
			lentilevent.Int("agentFlows", int(a.Load.Flows)), lentilevent.Int("ageMillis", int(a.AgeMillis)),
			lentilevent.Str("agentName", status.Name), lentilevent.Str("agentService", status.Service), lentilevent.Uint("agentRun", status.RunID),
		}
		if a.Cause == lentilplacement.AgentReplaced {
			fields = append(fields, lentilevent.Str("previousName", a.PreviousName), lentilevent.Str("previousService", a.PreviousService))
		}
		b.Logger.Write(lentilevent.AgentNoted, fields...)
	}
}

// logAction logs the tracker's decision about a flow or the upstream.
func (a *Agent) logAction(action *lentilconntrack.Action) {
	flow, cause := lentilevent.Str("flow", action.Key.String()), lentilevent.Str("cause", action.Cause.String())
	switch action.Kind {
	case lentilconntrack.SendTaken:
		event := lentilevent.FlowTaken
		if action.Open {
			event = lentilevent.FlowOpen
		}
		fields := []lentilevent.Field{
			flow, lentilevent.Addr("balancer", action.To.AddrPort()),
			lentilevent.Int("flows", a.tracker.OpenFlows()), lentilevent.Int("busy", int(a.tracker.Load().InFlight)),
		}
		a.logLimiter.write(a.Logger, event, append(fields, a.upstreamFields(action)...)...)
	case lentilconntrack.SendRefused:
		fields := []lentilevent.Field{
			flow, lentilevent.Addr("balancer", action.To.AddrPort()),
			lentilevent.Str("refusal", action.Refusal.String()), lentilevent.Int("flows", a.tracker.OpenFlows()),
		}
		a.logLimiter.write(a.Logger, lentilevent.FlowRefused, append(fields, a.upstreamFields(action)...)...)
	case lentilconntrack.SendDenied:
		// One line covers all flows of the message, as there may be thousands of denials in a second.
		a.logLimiter.write(a.Logger, lentilevent.FlowDenied, lentilevent.Str("flow", action.Keys[0].String()), lentilevent.Int("flows", len(action.Keys)),
			lentilevent.Addr("balancer", action.To.AddrPort()), lentilevent.Bool("unsure", action.Unsure))
	case lentilconntrack.ResetClient:
		a.logLimiter.write(a.Logger, lentilevent.FlowReset, flow, cause)
	case lentilconntrack.ReportQueueShare:
		a.Logger.Write(lentilevent.QueueHeld, flow, lentilevent.Str("caller", netip.AddrFrom4(action.Share.Caller).String()),
			lentilevent.Int("flows", action.Share.Flows), lentilevent.Int("waiting", action.Share.Waiting))
	case lentilconntrack.ReportStateChange:
		id, number := a.tracker.LastRegistration()
		a.Logger.Write(lentilevent.UpstreamNoted, cause, lentilevent.Str("phase", a.tracker.Phase().String()),
			lentilevent.Str("id", id), lentilevent.Int("number", int(number)), lentilevent.Int("flows", a.tracker.OpenFlows()),
			lentilevent.Str("service", a.tracker.Service), lentilevent.Str("otherService", action.Service))
	}
}

// upstreamFields returns what the agent believes about its upstream when it answers an offer, and the service that the offer names.
func (a *Agent) upstreamFields(action *lentilconntrack.Action) []lentilevent.Field {
	id, _ := a.tracker.LastRegistration()
	registered, _ := a.tracker.RegistrationAge()
	seen, _ := a.tracker.SeenAge()
	return []lentilevent.Field{
		lentilevent.Str("service", a.tracker.Service), lentilevent.Str("offered", action.Service), lentilevent.Str("phase", a.tracker.Phase().String()),
		lentilevent.Str("id", id), lentilevent.Duration("registeredAgoMillis", registered), lentilevent.Duration("seenAgoMillis", seen),
	}
}

// RefuseRegistration records that the registration of the upstream id for a service was rejected because of err.
func (a *Agent) RefuseRegistration(id, service string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ownID, _ := a.tracker.LastRegistration()
	registered, _ := a.tracker.RegistrationAge()
	seen, _ := a.tracker.SeenAge()
	a.registrationLimiter.Interval = rejectedLineInterval
	switch {
	case errorx.IsOfType(err, ErrNotInForce):
		a.Counts.RegistrationsNotInForce.Add(1)
	case errorx.IsOfType(err, ErrOtherUpstream):
		a.Counts.RegistrationsOtherUpstream.Add(1)
	default:
		a.Counts.RegistrationsMalformed.Add(1)
	}
	a.Logger.WriteLimited(&a.registrationLimiter, lentilevent.RegistrationRefused, lentilevent.Str("id", id), lentilevent.Err(err),
		lentilevent.Str("service", service), lentilevent.Str("agentService", a.Settings.Service()), lentilevent.Str("phase", a.tracker.Phase().String()),
		lentilevent.Str("agentUpstream", ownID), lentilevent.Duration("registeredAgoMillis", registered), lentilevent.Duration("seenAgoMillis", seen))
}
