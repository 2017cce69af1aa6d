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

// Limits of probes.
const (
	// seedProbeBase and seedProbeMax bound the delay between probes of a seed or a previous
	// member, lostProbeBase and lostProbeMax that between probes of a lost member. A member is
	// lost if it was declared dead.
	seedProbeBase = 400 * time.Millisecond
	seedProbeMax  = 30 * time.Second
	lostProbeBase = 30 * time.Second
	lostProbeMax  = time.Minute
	// probesPerTick is the maximum number of probes started in one tick.
	probesPerTick = 4
)

// probe is the state of probing an address at which a member may be found.
type probe struct {
	dueAt    time.Time
	inFlight bool
	// wanted is false once the address need not be probed any more.
	wanted  bool
	backoff lentilbudget.Backoff
}

// dueProbes returns the probes that are due, of seeds, lost members and previous members. A
// probe is an exchange with an address whose current member isn't known.
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

// updateProbes selects the addresses to probe: the seeds, lost members and, while this node
// is alone, the previous members. Addresses of living members are left out.
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

func (n *Node) addProbe(address netip.AddrPort, now time.Time, baseDelay, maxDelay time.Duration) {
	p := n.probes[address]
	if p == nil {
		p = &probe{dueAt: now, backoff: lentilbudget.Backoff{Base: baseDelay, Max: maxDelay, Random: n.Random}}
		if baseDelay == lostProbeBase {
			p.dueAt = p.dueAt.Add(p.backoff.Next())
		}
		n.probes[address] = p
	}
	p.wanted = true
}

// handleProbeOutcome processes the answer to a probe, which is nil after a failure. A member
// that answers becomes a bootstrap peer.
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
	bootstrapPeer := n.ensurePeer(doc)
	bootstrapPeer.bootstrap = true
	n.applyResponse(bootstrapPeer, response)
}
