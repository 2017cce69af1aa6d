package lentilplacement

import (
	"container/list"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Copies of clients' packets on a small link. A packet of a flow whose agent isn't known goes to every agent that may hold the
// flow, and a new flow whose agent doesn't answer in time is offered to another one. On a small link these copies delay the agents'
// answers, which leads to more copies, until the link is full and stays so. With Placer.LinkBytesPerSecond, copies are charged
// to a budget. Beyond it, the packets are buffered here and the agents are asked for the flow by its key.

const (
	// copyShare is the part of the link's rate that copies may take: a tenth. The budget's burst is half a second's worth.
	copyShare = 10
	// largePacket is the size above which a packet isn't sent to more than two agents while less than half of the budget is left.
	largePacket = 300
	// datagramOverhead is what a packet takes on the link in addition to its bytes: IP and UDP headers and those of a Carry.
	datagramOverhead = 75
	// maxBufferedOfFlow is the number of packets that are buffered of a flow: the clients' window.
	maxBufferedOfFlow = 16
	// maxBufferedBytes bounds the bytes buffered for all flows, with bufferedOverhead for each packet, so that small packets
	// don't take many times as much memory.
	maxBufferedBytes = 256 << 10
	bufferedOverhead = 64
	// bufferTimeout is how long packets are buffered: the longest deadline of the users' requests.
	bufferTimeout = 4 * time.Second
	// maxOfferTimeout bounds the time after which another agent is offered a flow. Clients end an attempt after 1.4 s.
	maxOfferTimeout = 400 * time.Millisecond
	// rttFactor is the offer timeout in smoothed round-trip times. rttWeight is the inverse weight of a new measurement in
	// them, as in RFC 6298.
	rttFactor, rttWeight = 4, 8
)

// buffer holds clients' packets until the agent that holds their flow is known.
type buffer struct {
	// packets has the bufferedPackets of all flows, the oldest first.
	packets list.List
	bytes   int
}

// bufferedPacket is a client's packet in the buffer. Its sequence number, length and flags tell a retransmission.
type bufferedPacket struct {
	flow     *flow
	packet   lentilflow.Packet
	data     []byte
	storedAt time.Time
	// sentTo has the agents that were sent the packet during the lookup.
	sentTo sendings
}

func (b *bufferedPacket) size() int { return len(b.data) + bufferedOverhead }

// bufferedPackets returns the buffered packets of a flow, in the order in which they arrived.
func (f *flow) bufferedPackets() (packets []*bufferedPacket) {
	for _, e := range f.buffered {
		packets = append(packets, e.Value.(*bufferedPacket))
	}
	return packets
}

// bufferPacket buffers a packet of a flow. The oldest packets are dropped to make room.
func (p *Placer) bufferPacket(now time.Time, packet lentilflow.Packet, f *flow, data []byte, actions []Action) []Action {
	for _, e := range f.buffered {
		b := e.Value.(*bufferedPacket)
		if b.packet.Sequence == packet.Sequence && b.packet.Length == packet.Length && b.packet.Flags == packet.Flags && len(b.data) == len(data) {
			// The retransmission has the later acknowledgement. What was sent of the earlier one may be lost.
			copy(b.data, data)
			b.sentTo = nil
			return actions
		}
	}
	b := &bufferedPacket{flow: f, packet: packet, data: slices.Clone(data), storedAt: now}
	if b.size() > maxBufferedBytes {
		return append(actions, Action{Kind: Drop, Cause: BufferFull, Key: packet.Key})
	}
	if len(f.buffered) >= maxBufferedOfFlow {
		actions = p.dropBuffered(f.buffered[0], actions)
	}
	for p.buffer.bytes+b.size() > maxBufferedBytes {
		actions = p.dropBuffered(p.buffer.packets.Front(), actions)
	}
	f.buffered = append(f.buffered, p.buffer.packets.PushBack(b))
	p.buffer.bytes += b.size()
	return actions
}

// dropBuffered drops a packet from the buffer.
func (p *Placer) dropBuffered(e *list.Element, actions []Action) []Action {
	b := e.Value.(*bufferedPacket)
	f := b.flow
	p.buffer.packets.Remove(e)
	p.buffer.bytes -= b.size()
	f.buffered = slices.DeleteFunc(f.buffered, func(other *list.Element) bool { return other == e })
	return append(actions, Action{Kind: Drop, Cause: BufferFull, Key: b.packet.Key})
}

// takeBuffered removes the packets of a flow from the buffer and returns them in order.
func (p *Placer) takeBuffered(f *flow) (packets []*bufferedPacket) {
	packets = f.bufferedPackets()
	for _, e := range f.buffered {
		p.buffer.bytes -= e.Value.(*bufferedPacket).size()
		p.buffer.packets.Remove(e)
	}
	f.buffered = nil
	return packets
}

// releaseBuffered sends the buffered packets of a flow to an agent, in order and without those that it already has. One that was sent to it
// long before may have been lost.
func (p *Placer) releaseBuffered(to lentilflow.Endpoint, key lentilflow.Key, f *flow, purpose lentilflow.Purpose, actions []Action) []Action {
	now := p.now()
	for _, b := range p.takeBuffered(f) {
		b.sentTo.forgetUntil(to, now.Add(-p.offerTimeout()))
		if !b.sentTo.contains(to) {
			actions = append(actions, p.forwardAction(to, key, purpose, b.data))
		}
	}
	return actions
}

// tickBuffer drops the packets of flows that have ended, expired or been evicted, and packets that are too old. It gives
// flows that wait for the answer of an unsure agent to the next one.
func (p *Placer) tickBuffer(now time.Time, actions []Action) []Action {
	var heads []*bufferedPacket
	for e := p.buffer.packets.Front(); e != nil; e = e.Next() {
		if b := e.Value.(*bufferedPacket); b.flow.buffered[0] == e {
			heads = append(heads, b)
		}
	}
	for _, b := range heads {
		f, key := b.flow, b.packet.Key
		if p.flows.Get(now, key) != f {
			for _, e := range slices.Clone(f.buffered) {
				actions = p.dropBuffered(e, actions)
			}
			continue
		}
		if f.state != stateLookup && now.Sub(f.askedPreferredAt) >= askRetryInterval {
			actions = p.queuePreferredAsk(now, key, f, actions)
		}
		actions = p.probeNext(now, key, f, actions)
	}
	for e := p.buffer.packets.Front(); e != nil && now.Sub(e.Value.(*bufferedPacket).storedAt) > bufferTimeout; e = p.buffer.packets.Front() {
		actions = p.dropBuffered(e, actions)
	}
	return p.sendPreferredAsks(now, actions)
}

// copyTokens returns the budget for copies.
func (p *Placer) copyTokens() *lentilbudget.Bucket {
	p.copyBudget.PerSecond = float64(p.LinkBytesPerSecond) / copyShare
	p.copyBudget.Burst = max(1, p.LinkBytesPerSecond/copyShare/2)
	return &p.copyBudget
}

// mayCopy reports whether a packet of the given size may be sent to so many agents, and charges all but one of them to the
// budget.
func (p *Placer) mayCopy(now time.Time, size, agents int) bool {
	if p.LinkBytesPerSecond == 0 || agents <= 1 {
		return true
	}
	budget := p.copyTokens()
	if size > largePacket && agents > 2 && budget.Tokens(now) < float64(budget.Burst)/2 {
		return false
	}
	return budget.Allow(now, (agents-1)*(size+datagramOverhead))
}

// chargeCopies charges copies to the budget that have to be sent whatever is left of it.
func (p *Placer) chargeCopies(now time.Time, size, copies int) {
	if p.LinkBytesPerSecond > 0 && copies > 0 {
		p.copyTokens().Spend(now, copies*(size+datagramOverhead))
	}
}

// offerTimeout returns how long an agent may take to answer that it took a flow, before another one is asked.
func (p *Placer) offerTimeout() time.Duration {
	if p.LinkBytesPerSecond == 0 {
		return placeTimeout
	}
	return max(placeTimeout, min(rttFactor*p.smoothedRTT, maxOfferTimeout))
}

// recordOfferAnswer updates the smoothed round-trip time from an agent's answer to the first offer of a flow. Answers to later
// offers don't count, since they may belong to an earlier one.
func (p *Placer) recordOfferAnswer(now time.Time, from lentilflow.Endpoint, f *flow) {
	if f.firstOfferAt.IsZero() || f.firstOfferTo != from {
		return
	}
	rtt := now.Sub(f.firstOfferAt)
	f.firstOfferAt = time.Time{}
	if p.smoothedRTT == 0 {
		p.smoothedRTT = rtt
		return
	}
	p.smoothedRTT += (rtt - p.smoothedRTT) / rttWeight
}

// mayOfferAgain reports whether a flow whose agent hasn't answered may be offered to another one now, and charges the offer. Beyond
// the budget it may after maxOfferTimeout, since the agent may have ended, or a datagram may have been lost.
func (p *Placer) mayOfferAgain(now time.Time, f *flow) bool {
	if p.LinkBytesPerSecond == 0 || len(f.possibleHolders) == 0 {
		return true
	}
	if p.copyTokens().Allow(now, len(f.firstPacket)+datagramOverhead) {
		return true
	}
	if now.Sub(f.sentAt) < maxOfferTimeout {
		return false
	}
	p.chargeCopies(now, len(f.firstPacket), 1)
	return true
}

// preferredNotDenied returns the preferred agents of a flow that haven't denied it.
func (p *Placer) preferredNotDenied(key lentilflow.Key, f *flow) (addresses []lentilflow.Endpoint) {
	for _, addr := range p.preferredAgents(key) {
		if !slices.Contains(f.deniedBy, addr) {
			addresses = append(addresses, addr)
		}
	}
	return addresses
}

// lookUpOnLink looks up a flow on a link of known rate. The flow's first packet goes to the preferred agents if the budget covers the
// copies; else they are asked for the flow by its key. Packets are buffered until the flow is found, so that none overtakes another.
func (p *Placer) lookUpOnLink(now time.Time, packet lentilflow.Packet, f *flow, data []byte, actions []Action) []Action {
	first := len(f.buffered) == 0
	actions = p.bufferPacket(now, packet, f, data, actions)
	p.recordLookup(now, packet.Key, f)
	if !first && now.Sub(f.askedPreferredAt) < p.offerTimeout() {
		// The flow's agents have just been asked. Most packets of a window end here, without ranking the agents again.
		return p.probeNext(now, packet.Key, f, actions)
	}
	preferred := p.preferredNotDenied(packet.Key, f)
	if first && len(f.buffered) == 1 && len(preferred) > 0 && p.mayCopy(now, len(data), len(preferred)) {
		b := f.buffered[0].Value.(*bufferedPacket)
		f.askedPreferredAt, f.probedAt = now, now
		for _, addr := range preferred {
			b.sentTo.record(now, addr)
			actions = append(actions, p.forwardAction(addr, packet.Key, lentilflow.Lookup, data))
		}
		actions = append(actions, Action{Kind: ReportLookup, Cause: Sought, Key: packet.Key})
	} else {
		actions = p.queuePreferredAsk(now, packet.Key, f, actions)
	}
	if p.askAllDue(now, f, len(preferred)) {
		actions = p.queueAsk(now, packet.Key, f, actions)
	}
	return p.probeNext(now, packet.Key, f, actions)
}

// forwardToHolders sends a packet to the agents of which several may have taken its flow. Acknowledgements and small packets go to
// all of them, and one of them then reports that the flow is open there. Other packets are buffered until then, and the agents
// are asked for the flow by its key.
func (p *Placer) forwardToHolders(now time.Time, packet lentilflow.Packet, f *flow, data []byte, actions []Action) []Action {
	if copies := len(f.possibleHolders) - 1; len(f.buffered) == 0 && !packet.Flags.Has(lentilflow.Close) && len(data) <= largePacket {
		switch {
		case packet.Length == 0:
			p.chargeCopies(now, len(data), copies)
			return p.forwardToAll(packet.Key, f, data, actions)
		case p.mayCopy(now, len(data), copies+1):
			return p.forwardToAll(packet.Key, f, data, actions)
		}
	}
	actions = p.bufferPacket(now, packet, f, data, actions)
	return p.queuePreferredAsk(now, packet.Key, f, actions)
}

// forwardToAll sends a packet to every agent that may have taken its flow.
func (p *Placer) forwardToAll(key lentilflow.Key, f *flow, data []byte, actions []Action) []Action {
	for _, addr := range f.possibleHolders {
		actions = append(actions, p.forwardAction(addr, key, lentilflow.Lookup, data))
	}
	return actions
}

// handleUnsureOnLink records that an agent needs a packet of a flow with buffered packets to decide about it. If it was sent one long before,
// that was lost, or came to an earlier run of the agent.
func (p *Placer) handleUnsureOnLink(now time.Time, from lentilflow.Endpoint, key lentilflow.Key, f *flow, actions []Action) []Action {
	if !slices.Contains(f.unsureAgents, from) {
		f.unsureAgents = append(f.unsureAgents, from)
	}
	f.buffered[0].Value.(*bufferedPacket).sentTo.forgetUntil(from, now.Add(-p.offerTimeout()))
	return p.probeNext(now, key, f, actions)
}

// handleHoldersChanged sends the buffered packets of a new flow to the only agent that may still hold it, or looks the
// flow up if there is none.
func (p *Placer) handleHoldersChanged(now time.Time, key lentilflow.Key, f *flow, actions []Action) []Action {
	switch {
	case len(f.buffered) == 0:
	case f.state == stateLookup:
		p.recordLookup(now, key, f)
		return p.queuePreferredAsk(now, key, f, actions)
	case len(f.possibleHolders) == 1:
		return p.releaseBuffered(f.possibleHolders[0], key, f, lentilflow.Lookup, actions)
	}
	return actions
}

// queuePreferredAsk queues a flow for the next Asks to the agents that most likely hold it, unless they were asked a moment ago.
func (p *Placer) queuePreferredAsk(now time.Time, key lentilflow.Key, f *flow, actions []Action) []Action {
	if now.Sub(f.askedPreferredAt) < p.offerTimeout() || len(p.preferredAskQueue) >= maxAskQueue {
		return actions
	}
	f.askedPreferredAt = now
	p.preferredAskQueue = append(p.preferredAskQueue, key)
	return p.sendPreferredAsks(now, actions)
}

// sendPreferredAsks sends the Asks for the queued flows, if they are due and as far as the budget of Asks allows. One datagram asks for
// many flows while hundreds are looked up, and lookups without such a burst don't wait.
func (p *Placer) sendPreferredAsks(now time.Time, actions []Action) []Action {
	if len(p.preferredAskQueue) == 0 || now.Sub(p.lastPreferredAskAt) < askBatchDelay && len(p.preferredAskQueue) < lentilflow.MaxKeys {
		return actions
	}
	batch := p.preferredAskQueue[:min(len(p.preferredAskQueue), lentilflow.MaxKeys)]
	askedFor := make(map[lentilflow.Endpoint][]lentilflow.Key)
	var reported []Action
	for _, key := range batch {
		f := p.flows.Get(now, key)
		if f == nil || len(f.buffered) == 0 {
			continue
		}
		asked := f.possibleHolders
		if f.state == stateLookup {
			asked = p.preferredNotDenied(key, f)
		}
		for _, addr := range asked {
			askedFor[addr] = append(askedFor[addr], key)
		}
		if len(asked) > 0 {
			reported = append(reported, Action{Kind: ReportLookup, Cause: SoughtByKey, Key: key})
		}
	}
	// These Asks replace more copies than there are of them, so they don't take from the budget of the Asks to all agents, which a reset
	// has to wait for.
	p.preferredAskBudget.PerSecond, p.preferredAskBudget.Burst = asksPerSecond, asksBurst
	if len(askedFor) > 0 && !p.preferredAskBudget.Allow(now, len(askedFor)) {
		return actions
	}
	p.lastPreferredAskAt = now
	actions = append(actions, reported...)
	p.preferredAskQueue = slices.Clone(p.preferredAskQueue[len(batch):])
	for _, addr := range p.sortedAddresses() {
		if keys := askedFor[addr]; len(keys) > 0 {
			p.agents[addr].recordAsked(now)
			actions = append(actions, Action{Kind: SendAsk, Cause: SoughtByKey, To: addr, Keys: keys})
		}
	}
	return actions
}

// probeNext sends the first buffered packet of a flow to the next agent that can't decide without one. Several get it at a time as far
// as the budget allows; beyond that the next one gets it when the one before has denied the flow or hasn't answered in time.
func (p *Placer) probeNext(now time.Time, key lentilflow.Key, f *flow, actions []Action) []Action {
	if len(f.buffered) == 0 {
		return actions
	}
	b := f.buffered[0].Value.(*bufferedPacket)
	for _, addr := range f.unsureAgents {
		if b.sentTo.contains(addr) {
			continue
		}
		pending, unsure := 0, 0
		for _, sent := range b.sentTo {
			if !slices.Contains(f.deniedBy, sent.to) {
				pending++
			}
			if slices.Contains(f.unsureAgents, sent.to) {
				unsure++
			}
		}
		overdue := now.Sub(f.probedAt) >= p.offerTimeout()
		switch {
		case unsure >= maxUnsureAgents:
			return actions
		case pending > 0 && !overdue && !p.mayProbe(now, len(b.data), pending):
			return actions
		case pending > 0 && overdue:
			p.chargeCopies(now, len(b.data), 1)
		}
		b.sentTo.record(now, addr)
		f.probedAt = now
		actions = append(actions, p.forwardAction(addr, key, lentilflow.Lookup, b.data))
	}
	return actions
}

// mayProbe reports whether a packet may go to another agent while so many have it and haven't denied its flow, and charges it to the budget.
func (p *Placer) mayProbe(now time.Time, size, pending int) bool {
	budget := p.copyTokens()
	if size > largePacket && pending >= 2 && budget.Tokens(now) < float64(budget.Burst)/2 {
		return false
	}
	return budget.Allow(now, size+datagramOverhead)
}
