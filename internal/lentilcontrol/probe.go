package lentilcontrol

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Bounds of the delays between probes.
const (
	// seedProbeBase and seedMax are for seeds, lostBase and lostMax for lost members.
	seedProbeBase = 400 * time.Millisecond
	seedProbeMax  = 30 * time.Second
	lostProbeBase = 30 * time.Second
	lostProbeMax  = time.Minute
	// probesPerTick bounds the probes that begin together.
	probesPerTick = 4
)

// probe is the state of an address at which a member may be found.
type probe struct {
	dueAt    time.Time
	inFlight bool
	wanted   bool
	backoff  lentilbudget.Backoff
}

// dueProbes returns probes of the seeds and of lost members that are due.
func (n *Node) dueProbes(now time.Time) (calls []Call) {
	if now.Sub(n.lastMaintenanceAt) >= maintenanceInterval {
		n.lastMaintenanceAt = now
		n.updateProbes(now)
	}
	for _, address := range slices.SortedFunc(maps.Keys(n.probes), netip.AddrPort.Compare) {
		p := n.probes[address]
		if !p.wanted && !p.inFlight {
			delete(n.probes, address)
		}
		if !p.wanted || p.inFlight || now.Before(p.dueAt) || len(calls) == probesPerTick {
			continue
		}
		p.inFlight = true
		var members, records outbox
		members.push.add(n.Self.RunID)
		request, _ := n.newExchangeRequest(&members, &records)
		calls = append(calls, Call{To: address, Exchange: request})
	}
	return calls
}

// updateProbes sets which addresses are worth a probe.
func (n *Node) updateProbes(now time.Time) {
	for _, p := range n.probes {
		p.wanted = false
	}
	known := map[netip.AddrPort]bool{n.Self.Control: true}
	for _, doc := range n.membership.AliveMembers() {
		known[doc.Control] = true
	}
	if len(known) > 1 {
		n.previousMembers = nil
	}
	for _, address := range slices.Concat(n.Seeds, n.previousMembers) {
		if !known[address] {
			n.addProbe(address, now, seedProbeBase, seedProbeMax)
		}
	}
	for _, doc := range n.membership.LostMembers() {
		if !known[doc.Control] {
			n.addProbe(doc.Control, now, lostProbeBase, lostProbeMax)
		}
	}
}

func (n *Node) addProbe(address netip.AddrPort, now time.Time, base, highest time.Duration) {
	p := n.probes[address]
	if p == nil {
		p = &probe{dueAt: now, backoff: lentilbudget.Backoff{Base: base, Max: highest, Random: n.Random}}
		if base == lostProbeBase {
			p.dueAt = p.dueAt.Add(p.backoff.Next())
		}
		n.probes[address] = p
	}
	p.wanted = true
}

// handleProbeOutcome takes in the answer to a probe, or a failure.
func (n *Node) handleProbeOutcome(call Call, response *lentilcontrolpb.ExchangeResponse) {
	p := n.probes[call.To]
	if p != nil {
		p.inFlight = false
		p.dueAt = n.now().Add(p.backoff.Next())
	}
	if response == nil {
		return
	}
	sender := lentilid.Incarnation(response.GetSender())
	n.applyEntries(sender, response.GetMembers(), response.GetRecords())
	doc, ok := n.membership.Member(sender)
	if !ok || !doc.CountsAsAlive() || sender == n.Self.RunID {
		return
	}
	sponsor := n.ensurePeer(doc)
	sponsor.bootstrap = true
	n.applyResponse(sponsor, response)
}
