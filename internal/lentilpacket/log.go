package lentilpacket

import (
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/pkg/lentilcustody"
	"lentilstair.example/lentilstair/pkg/lentilplacement"
)

// logLinesPerSecond bounds the lines about flows that a process writes: at some 20 µs a line, 2 % of a
// tenth of a core. Counts go on beyond it, and the next line says how many were left out.
const logLinesPerSecond = 100

// logLimiter bounds the lines about flows.
type logLimiter struct {
	windowStart time.Time
	lines       int
	suppressed  int
}

// allow reports whether one more line may be written now, and how many were left out before it.
func (b *logLimiter) allow(now time.Time) (left int, ok bool) {
	if now.Sub(b.windowStart) >= time.Second {
		b.windowStart, b.lines = now, 0
	}
	if b.lines >= logLinesPerSecond {
		b.suppressed++
		return 0, false
	}
	b.lines++
	left, b.suppressed = b.suppressed, 0
	return left, true
}

// write logs an event about a flow if the budget allows it.
func (b *logLimiter) write(logger lentilevent.Logger, event lentilevent.Event, fields ...lentilevent.Field) {
	left, ok := b.allow(time.Now())
	if !ok {
		return
	}
	if left > 0 {
		fields = append(fields, lentilevent.Int("suppressed", left))
	}
	logger.Write(event, fields...)
}

// logAction writes a line for a decision about a flow or an agent.
func (b *Balancer) logAction(a *lentilplacement.Action) {
	flow, cause := lentilevent.Str("flow", a.Key.String()), lentilevent.Str("cause", a.Cause.String())
	switch {
	case a.Kind == lentilplacement.SendCarry && (a.Cause == lentilplacement.Chosen || a.Cause == lentilplacement.ChosenAgain):
		b.logLimiter.write(b.Logger, lentilevent.FlowPlaced, flow, cause, lentilevent.Addr("agent", a.To.AddrPort()),
			lentilevent.Uint("version", a.Carry.Version), lentilevent.Int("agentFlows", int(a.Load.Flows)),
			lentilevent.Int("agentBusy", int(a.Load.InFlight)), lentilevent.Int("ageMillis", int(a.AgeMillis)),
			lentilevent.Str("refusal", a.Refusal.String()))
	case a.Kind == lentilplacement.ReportLookup:
		known, heard := b.placer.AgentCounts()
		b.logLimiter.write(b.Logger, lentilevent.FlowSought, flow, cause, lentilevent.Int("agents", known), lentilevent.Int("heard", heard))
	case a.Kind == lentilplacement.ResetClient:
		b.logLimiter.write(b.Logger, lentilevent.FlowReset, flow, cause, lentilevent.Str("refusal", a.Refusal.String()))
	case a.Kind == lentilplacement.Drop:
		b.logLimiter.write(b.Logger, lentilevent.FlowDropped, flow, cause)
	case a.Kind == lentilplacement.ReportAgent:
		b.Logger.Write(lentilevent.AgentNoted, cause, lentilevent.Addr("agent", a.To.AddrPort()), lentilevent.Str("phase", a.Phase.String()),
			lentilevent.Int("agentFlows", int(a.Load.Flows)), lentilevent.Int("ageMillis", int(a.AgeMillis)))
	}
}

// logAction writes a line for a decision about a flow or the upstream.
func (a *Agent) logAction(action *lentilcustody.Action) {
	flow, cause := lentilevent.Str("flow", action.Key.String()), lentilevent.Str("cause", action.Cause.String())
	switch action.Kind {
	case lentilcustody.SendTaken:
		event := lentilevent.FlowTaken
		if action.Open {
			event = lentilevent.FlowOpen
		}
		a.logLimiter.write(a.Logger, event, flow, lentilevent.Addr("balancer", action.To.AddrPort()),
			lentilevent.Int("flows", a.tracker.OpenFlows()), lentilevent.Int("busy", int(a.tracker.Load().InFlight)))
	case lentilcustody.SendRefused:
		a.logLimiter.write(a.Logger, lentilevent.FlowRefused, flow, lentilevent.Addr("balancer", action.To.AddrPort()),
			lentilevent.Str("refusal", action.Refusal.String()), lentilevent.Int("flows", a.tracker.OpenFlows()))
	case lentilcustody.SendDenied:
		for _, k := range action.Keys {
			a.logLimiter.write(a.Logger, lentilevent.FlowDenied, lentilevent.Str("flow", k.String()),
				lentilevent.Addr("balancer", action.To.AddrPort()), lentilevent.Bool("unsure", action.Unsure))
		}
	case lentilcustody.ResetClient:
		a.logLimiter.write(a.Logger, lentilevent.FlowReset, flow, cause)
	case lentilcustody.ReportStateChange:
		id, number := a.tracker.LastRegistration()
		a.Logger.Write(lentilevent.UpstreamNoted, cause, lentilevent.Str("phase", a.tracker.Phase().String()),
			lentilevent.Str("id", id), lentilevent.Int("number", int(number)), lentilevent.Int("flows", a.tracker.OpenFlows()))
	}
}
