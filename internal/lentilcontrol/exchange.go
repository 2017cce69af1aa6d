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

// dueExchanges returns the dueExchanges with neighbours that are due.
func (n *Node) dueExchanges(now time.Time) (calls []Call) {
	var silent []lentilid.Incarnation
	for _, run := range n.peerOrder {
		p := n.peers[run]
		if !p.neighbour && now.Sub(p.lastSeen) > peerIdleTimeout {
			silent = append(silent, run)
		}
		if n.initiates(p) && !p.inFlight && !now.Before(n.nextExchangeAt(p, now)) {
			calls = append(calls, n.startExchange(p, now))
		}
	}
	for _, run := range silent {
		n.removePeer(run)
	}
	return calls
}

// initiates reports whether this node calls a peer, rather than only answers it.
func (n *Node) initiates(p *peer) bool { return p.neighbour || (p.bootstrap && n.syncedAt.IsZero()) }

// nextExchangeAt returns when the next exchange with a peer shall begin: at its period, or
// soon after a change while the budget lasts.
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

func (n *Node) newExchangeRequest(members, records *outbox) (request *lentilcontrolpb.ExchangeRequest, s sentEntries) {
	memberLedger, recordLedger := n.memberMap(), n.recordMap()
	request = &lentilcontrolpb.ExchangeRequest{
		Sender:               uint64(n.Self.RunID),
		SenderRank:           n.membership.Self().Rank(),
		ConfigurationVersion: n.configuration.Version(),
	}
	request.MemberPart, s.members = memberLedger.buildPart(members, n.MaxDirectEntries)
	request.RecordPart, s.records = recordLedger.buildPart(records, n.MaxDirectEntries)
	request.Members = n.memberMessages(s.members)
	request.Records = n.recordMessages(s.records)
	memberLedger.startComparison(members, request.MemberPart)
	recordLedger.startComparison(records, request.RecordPart)
	n.promptBudget.Spend(n.now(), proto.Size(request))
	return request, s
}

// startComparison starts a comparison if one is due.
func (l versionMap) startComparison(o *outbox, part *lentilcontrolpb.Part) {
	if !o.compareDue {
		return
	}
	o.compareDue = false
	part.Digest = l.versions.Digest(lentilrecord.BucketCount(max(o.peerRows, l.versions.Len())))
}

func (n *Node) memberMessages(runs []lentilid.Incarnation) (members []*lentilcontrolpb.Member) {
	for _, run := range runs {
		if doc, ok := n.membership.Member(run); ok {
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

// HandleExchange answers the request of another balancer.
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
	memberBox, recordBox := &members, &records
	if doc, ok := n.membership.Member(sender); ok && doc.CountsAsAlive() && sender != n.Self.RunID {
		p := n.ensurePeer(doc)
		p.lastSeen = n.now()
		p.configurationVersion = request.GetConfigurationVersion()
		memberBox, recordBox = &p.memberOutbox, &p.recordOutbox
	}
	if response.KnownRank > request.GetSenderRank() {
		memberBox.push.add(sender)
	}
	n.pushNewerEntries(request.GetMembers(), request.GetRecords(), memberBox, recordBox)
	memberLedger, recordLedger := n.memberMap(), n.recordMap()
	memberLedger.readPart(request.GetMemberPart(), memberBox)
	recordLedger.readPart(request.GetRecordPart(), recordBox)
	var runs, owners []lentilid.Incarnation
	response.MemberPart, runs = memberLedger.buildPart(memberBox, n.MaxDirectEntries)
	response.RecordPart, owners = recordLedger.buildPart(recordBox, n.MaxDirectEntries)
	response.Members = n.memberMessages(runs)
	response.Records = n.recordMessages(owners)
	memberLedger.answerDigest(request.GetMemberPart().GetDigest(), response.MemberPart)
	recordLedger.answerDigest(request.GetRecordPart().GetDigest(), response.RecordPart)
	n.promptBudget.Spend(n.now(), proto.Size(response))
	n.recordComparison(n.peers[sender])
	return response
}

// applyEntries takes in entries from a peer and passes the changes on to the others.
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

// pushNewerEntries prepares the answer to entries that are older than those held here.
func (n *Node) pushNewerEntries(members []*lentilcontrolpb.Member, records []*lentilcontrolpb.Record, memberBox, recordBox *outbox) {
	for _, message := range members {
		doc := fromMember(message)
		if n.membership.Rank(doc.RunID) > doc.Rank() {
			memberBox.push.add(doc.RunID)
		}
	}
	for _, message := range records {
		r := fromRecord(message)
		if n.records.Rank(r.Owner().Incarnation) > r.Version() {
			recordBox.push.add(r.Owner().Incarnation)
		}
	}
}

// HandleOutcome takes in what came of a call. Both answers are nil after a failure.
func (n *Node) HandleOutcome(call Call, exchanged *lentilcontrolpb.ExchangeResponse, fetched *lentilcontrolpb.FetchConfigurationResponse) {
	n.detectPause()
	if n.justResumed() {
		// An answer that may have waited counts as none.
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

// handleFailure puts a peer off, and suspects it once it handleFailure repeatedly.
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

// handleReplacedRun handles an answer by another run than the one that was called.
func (n *Node) handleReplacedRun(p *peer, response *lentilcontrolpb.ExchangeResponse) {
	n.applyEntries(lentilid.Incarnation(response.GetSender()), response.GetMembers(), response.GetRecords())
	if p.backoff.Next(); p.backoff.Failures() >= suspectFailures {
		n.membership.MarkSuspect(p.runID)
		n.propagateChanges(0)
	}
}

// applyResponse takes in the answer of a peer.
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

// silenceMilliseconds returns the milliseconds since a peer was heard.
func (n *Node) silenceMilliseconds(p *peer) uint32 {
	return uint32(max(0, min(n.now().Sub(p.lastSeen).Milliseconds(), math.MaxUint32)))
}

// detectStoppedClock reports whether a peer has heard nothing from this node for much longer than
// this node remembers: then this process was held while its clock stood still.
func (n *Node) detectStoppedClock(p *peer, silence uint32) (paused bool) {
	now := n.now()
	told := time.Duration(silence) * time.Millisecond
	if told-now.Sub(p.lastSeenByPeer) > pauseThreshold {
		return true
	}
	if at := now.Add(-told); at.After(p.lastSeenByPeer) {
		p.lastSeenByPeer = at
	}
	return false
}

// mayBeTruncated reports whether a comparison may not have shown all rows.
func mayBeTruncated(part *lentilcontrolpb.Part) bool {
	return len(part.GetNotices().GetOwners()) >= maxNoticesPerPart
}

// isForgotten reports whether this node was away for so long that the others have
// isForgotten even its death.
func (n *Node) isForgotten(p *peer, response *lentilcontrolpb.ExchangeResponse, now time.Time) bool {
	return response.GetKnownRank() == 0 && response.GetSettled() &&
		p.domain == n.Self.Domain && now.Sub(n.startedAt) > settleTime
}

// recordComparison notes whether a peer holds the same as this node.
func (n *Node) recordComparison(p *peer) {
	if p == nil {
		return
	}
	equal := p.memberOutbox.peerRoot == n.membership.Versions().Root()
	n.recordContact(p, equal)
	same := equal && p.recordOutbox.peerRoot == n.records.Versions().Root() && p.configurationVersion <= n.configuration.Version()
	if same && n.syncedAt.IsZero() {
		n.syncedAt = n.now()
	}
}

// settled reports whether this node has long known all the others.
func (n *Node) settled() bool {
	return !n.syncedAt.IsZero() && n.now().Sub(n.syncedAt) > settleTime
}

// Member returns the entry of a member, also of one that is dead.
func (n *Node) Member(run lentilid.Incarnation) (doc lentilmember.Doc, ok bool) {
	return n.membership.Member(run)
}
