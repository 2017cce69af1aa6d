package lentilcontrol

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilmember"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// dueExchanges returns the exchanges that are due, and removes peers that aren't neighbours
// and were last seen more than peerIdleTimeout ago.
func (n *Node) dueExchanges(now time.Time) (calls []Call) {
	var idle []lentilid.Incarnation
	for _, runID := range n.peerOrder {
		p := n.peers[runID]
		if !p.neighbour && now.Sub(p.lastSeen) > peerIdleTimeout {
			idle = append(idle, runID)
		}
		if n.initiates(p) && !p.inFlight && !now.Before(n.nextExchangeAt(p, now)) {
			calls = append(calls, n.startExchange(p, now))
		}
	}
	for _, runID := range idle {
		n.removePeer(runID)
	}
	return calls
}

// initiates reports whether this node starts exchanges with a peer. With other peers it only
// answers.
func (n *Node) initiates(p *peer) bool { return p.neighbour || (p.bootstrap && n.syncedAt.IsZero()) }

// nextExchangeAt returns when the next exchange with a peer is due: periodically, or soon
// after a change if the budget for prompt exchanges allows it.
func (n *Node) nextExchangeAt(p *peer, now time.Time) time.Time {
	prompt := p.calledAt.Add(minExchangeInterval)
	if p.hasPending() && p.backoff.Failures() == 0 && prompt.Before(p.nextCallAt) && n.promptBudget.HasTokens(now) {
		return prompt
	}
	return p.nextCallAt
}

func (n *Node) startExchange(p *peer, now time.Time) Call {
	if now.Sub(p.nextCompareAt) >= 0 {
		p.memberOutbox.compareDue = p.memberOutbox.peerRoot != n.membership.Versions().Root()
		p.recordOutbox.compareDue = p.recordOutbox.peerRoot != n.records.Versions().Root()
		p.nextCompareAt = now.Add(n.jitter(n.compareInterval()))
	}
	p.inFlight = true
	p.calledAt = now
	p.nextCallAt = now.Add(n.jitter(n.exchangeInterval()))
	request, sent := n.newExchangeRequest(&p.memberOutbox, &p.recordOutbox)
	request.SilenceMilliseconds = n.silenceMilliseconds(p)
	return Call{To: p.controlAddress, Exchange: request, runID: p.runID, sentEntries: sent}
}

func (n *Node) newExchangeRequest(members, records *outbox) (request *lentilcontrolpb.ExchangeRequest, sent sentEntries) {
	memberMap, recordMap := n.memberMap(), n.recordMap()
	request = &lentilcontrolpb.ExchangeRequest{
		Sender:               uint64(n.Self.RunID),
		SenderRank:           n.membership.Self().Rank(),
		ConfigurationVersion: n.configuration.Version(),
	}
	request.MemberPart, sent.members = memberMap.buildPart(members, n.MaxDirectEntries)
	request.RecordPart, sent.records = recordMap.buildPart(records, n.MaxDirectEntries)
	request.Members = n.memberMessages(sent.members)
	request.Records = n.recordMessages(sent.records)
	memberMap.startComparison(members, request.MemberPart)
	recordMap.startComparison(records, request.RecordPart)
	n.promptBudget.Spend(n.now(), proto.Size(request))
	return request, sent
}

// startComparison adds this node's digest to a request if a comparison is due.
func (m versionMap) startComparison(o *outbox, part *lentilcontrolpb.Part) {
	if !o.compareDue {
		return
	}
	o.compareDue = false
	part.Digest = m.versions.Digest(lentilrecord.BucketCount(max(o.peerRows, m.versions.Len())))
}

func (n *Node) memberMessages(runIDs []lentilid.Incarnation) (members []*lentilcontrolpb.Member) {
	for _, runID := range runIDs {
		if doc, ok := n.membership.Member(runID); ok {
			members = append(members, toMember(doc))
		}
	}
	return members
}

func (n *Node) recordMessages(owners []lentilid.Incarnation) (records []*lentilcontrolpb.Record) {
	for _, owner := range owners {
		if r, ok := n.records.AdvertisedRecord(owner); ok {
			records = append(records, toRecord(r))
		}
	}
	return records
}

// HandleExchange processes the exchange request of another balancer and returns the answer. It
// ignores the received entries if this process was paused until just now.
func (n *Node) HandleExchange(request *lentilcontrolpb.ExchangeRequest) (response *lentilcontrolpb.ExchangeResponse) {
	n.detectPause()
	sender := lentilid.Incarnation(request.GetSender())
	var silence uint32
	if p := n.peers[sender]; p != nil {
		silence = n.silenceMilliseconds(p)
		if n.detectStoppedClock(p, request.GetSilenceMilliseconds()) {
			n.discardState()
		}
	}
	if !n.justResumed() {
		n.applyEntries(sender, request.GetMembers(), request.GetRecords())
	}
	response = &lentilcontrolpb.ExchangeResponse{
		Sender:               uint64(n.Self.RunID),
		ConfigurationVersion: n.configuration.Version(),
		KnownRank:            n.membership.Rank(sender),
		Settled:              n.settled(),
		SilenceMilliseconds:  silence,
	}
	var members, records outbox
	memberOutbox, recordOutbox := &members, &records
	if doc, ok := n.membership.Member(sender); ok && doc.CountsAsAlive() && sender != n.Self.RunID {
		p := n.ensurePeer(doc)
		p.lastSeen = n.now()
		p.configurationVersion = request.GetConfigurationVersion()
		memberOutbox, recordOutbox = &p.memberOutbox, &p.recordOutbox
	}
	if response.KnownRank > request.GetSenderRank() {
		memberOutbox.push.add(sender)
	}
	n.pushNewerEntries(request.GetMembers(), request.GetRecords(), memberOutbox, recordOutbox)
	memberMap, recordMap := n.memberMap(), n.recordMap()
	memberMap.readPart(request.GetMemberPart(), memberOutbox)
	recordMap.readPart(request.GetRecordPart(), recordOutbox)
	var runIDs, owners []lentilid.Incarnation
	response.MemberPart, runIDs = memberMap.buildPart(memberOutbox, n.MaxDirectEntries)
	response.RecordPart, owners = recordMap.buildPart(recordOutbox, n.MaxDirectEntries)
	response.Members = n.memberMessages(runIDs)
	response.Records = n.recordMessages(owners)
	memberMap.answerDigest(request.GetMemberPart().GetDigest(), response.MemberPart)
	recordMap.answerDigest(request.GetRecordPart().GetDigest(), response.RecordPart)
	n.promptBudget.Spend(n.now(), proto.Size(response))
	n.recordComparison(n.peers[sender])
	return response
}

// applyEntries applies entries received from a peer and queues the changes for the other
// peers.
func (n *Node) applyEntries(from lentilid.Incarnation, members []*lentilcontrolpb.Member, records []*lentilcontrolpb.Record) {
	for _, message := range members {
		doc := fromMember(message)
		n.membership.Apply(doc)
		if doc.RunID == from {
			n.membership.MarkReplaced(doc)
		}
	}
	for _, message := range records {
		n.records.Apply(fromRecord(message))
	}
	n.propagateChanges(from)
}

// pushNewerEntries queues the entries held here that are newer than those received.
func (n *Node) pushNewerEntries(members []*lentilcontrolpb.Member, records []*lentilcontrolpb.Record, memberOutbox, recordOutbox *outbox) {
	for _, message := range members {
		doc := fromMember(message)
		if n.membership.Rank(doc.RunID) > doc.Rank() {
			memberOutbox.push.add(doc.RunID)
		}
	}
	for _, message := range records {
		r := fromRecord(message)
		if n.records.Rank(r.Owner().Incarnation) > r.Version() {
			recordOutbox.push.add(r.Owner().Incarnation)
		}
	}
}

// HandleOutcome processes the outcome of a call. Both responses are nil after a failure.
func (n *Node) HandleOutcome(call Call, exchanged *lentilcontrolpb.ExchangeResponse, fetched *lentilcontrolpb.FetchConfigurationResponse) {
	n.detectPause()
	if n.justResumed() {
		// The answer may have been queued while this process was paused.
		exchanged = nil
	}
	switch {
	case call.Fetch != nil:
		n.handleFetched(call, fetched)
	case call.runID == 0:
		n.handleProbeOutcome(call, exchanged)
	case n.peers[call.runID] == nil:
	case exchanged == nil:
		n.handleFailure(n.peers[call.runID], call)
	default:
		n.handleSuccess(n.peers[call.runID], exchanged)
	}
}

// handleFailure queues the entries of a failed call again and delays the next call. The peer
// is suspected after repeated failures.
func (n *Node) handleFailure(p *peer, call Call) {
	p.inFlight = false
	p.memberOutbox.notify(call.sentEntries.members)
	p.recordOutbox.notify(call.sentEntries.records)
	p.nextCallAt = n.now().Add(max(n.exchangeInterval()/2, p.backoff.Next()))
	if p.backoff.Failures()%suspectRepeatFailures == suspectFailures {
		n.membership.MarkSuspect(p.runID)
		n.propagateChanges(0)
		n.chooseNeighbours()
	}
}

func (n *Node) handleSuccess(p *peer, response *lentilcontrolpb.ExchangeResponse) {
	p.inFlight = false
	if lentilid.Incarnation(response.GetSender()) != p.runID {
		n.handleReplacedRun(p, response)
		return
	}
	p.backoff.Reset()
	n.applyResponse(p, response)
}

// handleReplacedRun processes an answer by another run than the one that was called: the
// process at the address has been replaced.
func (n *Node) handleReplacedRun(p *peer, response *lentilcontrolpb.ExchangeResponse) {
	n.applyEntries(lentilid.Incarnation(response.GetSender()), response.GetMembers(), response.GetRecords())
	if p.backoff.Next(); p.backoff.Failures() >= suspectFailures {
		n.membership.MarkSuspect(p.runID)
		n.propagateChanges(0)
	}
}

// applyResponse processes the answer of a peer to an exchange.
func (n *Node) applyResponse(p *peer, response *lentilcontrolpb.ExchangeResponse) {
	now := n.now()
	if n.detectStoppedClock(p, response.GetSilenceMilliseconds()) {
		n.discardState()
		return
	}
	p.lastSeen = now
	p.lastSeenByPeer = now
	p.configurationVersion = response.GetConfigurationVersion()
	n.applyEntries(p.runID, response.GetMembers(), response.GetRecords())
	if n.isForgotten(p, response, now) {
		n.discardState()
		return
	}
	if response.GetKnownRank() < n.membership.Self().Rank() {
		p.memberOutbox.push.add(n.Self.RunID)
	}
	n.pushNewerEntries(response.GetMembers(), response.GetRecords(), &p.memberOutbox, &p.recordOutbox)
	n.memberMap().readPart(response.GetMemberPart(), &p.memberOutbox)
	n.recordMap().readPart(response.GetRecordPart(), &p.recordOutbox)
	n.memberMap().readDigestAnswer(response.GetMemberPart(), &p.memberOutbox)
	n.recordMap().readDigestAnswer(response.GetRecordPart(), &p.recordOutbox)
	if mayBeTruncated(response.GetMemberPart()) || mayBeTruncated(response.GetRecordPart()) {
		p.nextCompareAt = now
	}
	n.recordComparison(p)
}

// silenceMilliseconds returns the time in milliseconds since this node last heard from a peer.
func (n *Node) silenceMilliseconds(p *peer) uint32 {
	return uint32(max(0, min(n.now().Sub(p.lastSeen).Milliseconds(), math.MaxUint32)))
}

// detectStoppedClock reports whether a peer has heard nothing from this node for much longer
// than it has according to this node's clock. If so, this process was paused while its clock
// stood still, which detectPause can't notice. Otherwise lastSeenByPeer is updated.
func (n *Node) detectStoppedClock(p *peer, silenceMilliseconds uint32) (paused bool) {
	now := n.now()
	silence := time.Duration(silenceMilliseconds) * time.Millisecond
	if silence-now.Sub(p.lastSeenByPeer) > pauseThreshold {
		return true
	}
	if seenAt := now.Add(-silence); seenAt.After(p.lastSeenByPeer) {
		p.lastSeenByPeer = seenAt
	}
	return false
}

// mayBeTruncated reports whether the notices of a part may not include all differing rows.
func mayBeTruncated(part *lentilcontrolpb.Part) bool {
	return len(part.GetNotices().GetOwners()) >= maxNoticesPerPart
}

// isForgotten reports whether a settled peer in the same failure domain has no entry for this
// node. This node was then paused for so long that even the record of its death has expired.
func (n *Node) isForgotten(p *peer, response *lentilcontrolpb.ExchangeResponse, now time.Time) bool {
	return response.GetKnownRank() == 0 && response.GetSettled() &&
		p.domain == n.Self.Domain && now.Sub(n.startedAt) > settleTime
}

// recordComparison records the contact with a peer, and that this node is in sync if both
// hold the same state.
func (n *Node) recordComparison(p *peer) {
	if p == nil {
		return
	}
	sameMembers := p.memberOutbox.peerRoot == n.membership.Versions().Root()
	n.recordContact(p, sameMembers)
	inSync := sameMembers && p.recordOutbox.peerRoot == n.records.Versions().Root() && p.configurationVersion <= n.configuration.Version()
	if inSync && n.syncedAt.IsZero() {
		n.syncedAt = n.now()
	}
}

// settled reports whether this node has been in sync with the others for longer than settleTime.
func (n *Node) settled() bool {
	return !n.syncedAt.IsZero() && n.now().Sub(n.syncedAt) > settleTime
}

// Member returns the entry of a member, including dead members that are still remembered.
func (n *Node) Member(runID lentilid.Incarnation) (doc lentilmember.Doc, ok bool) {
	return n.membership.Member(runID)
}
