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
	// seedBase and seedMax are for seeds, lostBase and lostMax for lost members.
	seedBase = 400 * time.Millisecond
	seedMax  = 30 * time.Second
	lostBase = 30 * time.Second
	lostMax  = time.Minute
	// probesPerTick bounds the probes that begin together.
	probesPerTick = 4
)

// probe is the state of an address at which a member may be found.
type probe struct {
	due      time.Time
	inFlight bool
	wanted   bool
	backoff  lentilbudget.Backoff
}

// probing returns probes of the seeds and of lost members that are due.
func (n *Node) probing(now time.Time) (calls []Call) {
	if now.Sub(n.chores) >= chorePeriod {
		n.chores = now
		n.chooseProbes(now)
	}
	for _, address := range slices.SortedFunc(maps.Keys(n.probes), netip.AddrPort.Compare) {
		p := n.probes[address]
		if !p.wanted && !p.inFlight {
			delete(n.probes, address)
		}
		if !p.wanted || p.inFlight || now.Before(p.due) || len(calls) == probesPerTick {
			continue
		}
		p.inFlight = true
		var members, records outbox
		members.push.add(n.Self.Run)
		request, _ := n.request(&members, &records)
		calls = append(calls, Call{To: address, Exchange: request})
	}
	return calls
}

// chooseProbes sets which addresses are worth a probe.
func (n *Node) chooseProbes(now time.Time) {
	for _, p := range n.probes {
		p.wanted = false
	}
	known := map[netip.AddrPort]bool{n.Self.Control: true}
	for _, doc := range n.table.Alive() {
		known[doc.Control] = true
	}
	if len(known) > 1 {
		n.former = nil
	}
	for _, address := range slices.Concat(n.Seeds, n.former) {
		if !known[address] {
			n.want(address, now, seedBase, seedMax)
		}
	}
	for _, doc := range n.table.Lost() {
		if !known[doc.Control] {
			n.want(doc.Control, now, lostBase, lostMax)
		}
	}
}

func (n *Node) want(address netip.AddrPort, now time.Time, base, highest time.Duration) {
	p := n.probes[address]
	if p == nil {
		p = &probe{due: now, backoff: lentilbudget.Backoff{Base: base, Max: highest, Random: n.Random}}
		if base == lostBase {
			p.due = p.due.Add(p.backoff.Next())
		}
		n.probes[address] = p
	}
	p.wanted = true
}

// probed takes in the answer to a probe, or a failure.
func (n *Node) probed(call Call, response *lentilcontrolpb.ExchangeResponse) {
	p := n.probes[call.To]
	if p != nil {
		p.inFlight = false
		p.due = n.now().Add(p.backoff.Next())
	}
	if response == nil {
		return
	}
	sender := lentilid.Incarnation(response.GetSender())
	n.apply(sender, response.GetMembers(), response.GetRecords())
	doc, ok := n.table.Member(sender)
	if !ok || !doc.Counts() || sender == n.Self.Run {
		return
	}
	sponsor := n.peer(doc)
	sponsor.sponsor = true
	n.learn(sponsor, response)
}
