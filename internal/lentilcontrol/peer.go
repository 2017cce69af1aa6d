package lentilcontrol

import (
	"net/netip"
	"slices"
	"time"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// Limits of one part of an exchange message.
const (
	// maxNoticesPerPart is the maximum number of notices, which are owners with their ranks.
	maxNoticesPerPart = 2000
	// maxEntriesPerPart is the maximum number of missing entries that are sent in full, and
	// of entries that are requested.
	maxEntriesPerPart = 500
)

// ownerSet is a set of owners of entries.
type ownerSet map[lentilid.Incarnation]struct{}

func (s *ownerSet) add(owners ...lentilid.Incarnation) {
	if *s == nil && len(owners) > 0 {
		*s = ownerSet{}
	}
	for _, owner := range owners {
		(*s)[owner] = struct{}{}
	}
}

// take removes up to n owners and returns them sorted.
func (s ownerSet) take(n int) (owners []lentilid.Incarnation) {
	for owner := range s {
		if len(owners) == n {
			break
		}
		owners = append(owners, owner)
		delete(s, owner)
	}
	slices.Sort(owners)
	return owners
}

// peer is the state of the exchanges with another member.
type peer struct {
	runID          lentilid.Incarnation
	controlAddress netip.AddrPort
	region         string
	domain         string
	neighbour      bool
	// bootstrap is true for a peer found by a probe. Until this node is in sync with a peer,
	// it starts exchanges with its bootstrap peers too.
	bootstrap bool
	inFlight  bool
	// calledAt is when this node started the latest exchange.
	calledAt time.Time
	// nextCallAt is when the next periodic exchange is due.
	nextCallAt time.Time
	// lastSeen is when this node last heard from the peer.
	lastSeen time.Time
	// lastSeenByPeer is when the peer last heard from this node, as far as is known.
	lastSeenByPeer time.Time
	// nextCompareAt is when the complete owner-version maps are compared next.
	nextCompareAt time.Time
	backoff       lentilbudget.Backoff
	memberOutbox  outbox
	recordOutbox  outbox
	// configurationVersion is the version of the configuration in force at the peer.
	configurationVersion uint64
}

// hasPending reports whether there is anything to send to the peer or to request from it.
func (p *peer) hasPending() bool { return p.memberOutbox.hasPending() || p.recordOutbox.hasPending() }

// outbox holds what is to be sent to a peer about one owner-version map, and what was last
// received about the peer's map.
type outbox struct {
	// notices holds owners whose entries have changed. Their ranks are sent, or the entries
	// themselves if they are few.
	notices ownerSet
	// push holds owners whose entries the peer lacks. The entries are sent in full.
	push ownerSet
	// wanted holds owners whose entries this node lacks and requests from the peer.
	wanted ownerSet
	// peerRoot is the hash of the peer's map and peerRows its number of rows.
	peerRoot uint64
	peerRows int
	// compareDue is true if the next request is to start a comparison of the maps.
	compareDue bool
}

func (o *outbox) hasPending() bool {
	return len(o.notices)+len(o.push)+len(o.wanted) > 0 || o.compareDue
}

func (o *outbox) notify(owners []lentilid.Incarnation) { o.notices.add(owners...) }

// sentEntries holds the owners of the entries that a call carried. They are queued again if
// the call fails.
type sentEntries struct {
	members, records []lentilid.Incarnation
}

// versionMap is one of the two owner-version maps of a node: that of the members or that of
// the records. Both are synchronized in the same way.
type versionMap struct {
	// versions holds the rank of each entry that is advertised to peers.
	versions *lentilrecord.VersionMap
	// rankOf returns the known rank of an owner's entry, also if it isn't advertised to peers.
	rankOf func(lentilid.Incarnation) uint64
}

func (n *Node) memberMap() versionMap {
	return versionMap{versions: n.membership.Versions(), rankOf: n.membership.Rank}
}

func (n *Node) recordMap() versionMap {
	return versionMap{versions: n.records.Versions(), rankOf: n.records.Rank}
}

// buildPart takes what is queued in an outbox and returns the part of the message and the
// owners of the entries to send in full. Up to maxDirect changed entries are sent in full,
// more as notices.
func (m versionMap) buildPart(o *outbox, maxDirect int) (part *lentilcontrolpb.Part, sent []lentilid.Incarnation) {
	part = &lentilcontrolpb.Part{Root: m.versions.Root(), Rows: uint32(m.versions.Len())}
	sent = o.push.take(maxEntriesPerPart)
	for _, owner := range sent {
		delete(o.notices, owner)
	}
	if len(o.notices) <= maxDirect {
		sent = append(sent, o.notices.take(maxDirect)...)
	}
	for _, owner := range o.notices.take(maxNoticesPerPart) {
		if rank, advertised := m.versions.Rank(uint64(owner)); advertised {
			addNotice(part, owner, rank)
		}
	}
	for _, owner := range o.wanted.take(maxEntriesPerPart) {
		part.Wanted = append(part.Wanted, uint64(owner))
	}
	return part, sent
}

// readPart processes a part received from a peer and queues the answer in the outbox. The
// entries received with the part must have been applied before.
func (m versionMap) readPart(part *lentilcontrolpb.Part, o *outbox) {
	o.peerRoot = part.GetRoot()
	o.peerRows = int(part.GetRows())
	notices := part.GetNotices()
	if len(notices.GetOwners()) != len(notices.GetRanks()) {
		return
	}
	for i, owner := range notices.GetOwners() {
		owner := lentilid.Incarnation(owner)
		switch ownRank := m.rankOf(owner); {
		case ownRank < notices.GetRanks()[i]:
			o.wanted.add(owner)
		case ownRank > notices.GetRanks()[i]:
			o.push.add(owner)
		default:
			delete(o.notices, owner)
		}
	}
	for _, owner := range part.GetWanted() {
		o.push.add(lentilid.Incarnation(owner))
	}
}

// answerDigest answers a digest with the rows of the buckets that differ and with this
// node's digest. From these the peer finds the rows that this node lacks.
func (m versionMap) answerDigest(digest []uint32, answer *lentilcontrolpb.Part) {
	if !lentilrecord.ValidDigest(digest) {
		return
	}
	answer.Digest = m.versions.Digest(len(digest))
	for _, row := range m.versions.DifferingRows(digest, maxNoticesPerPart) {
		addNotice(answer, lentilid.Incarnation(row.Owner), row.Rank)
	}
}

// readDigestAnswer processes the answer to a comparison: it queues notices for the owners
// that the peer doesn't list at all. It does nothing if the peer's list may be truncated.
func (m versionMap) readDigestAnswer(answer *lentilcontrolpb.Part, o *outbox) {
	if len(answer.GetDigest()) == 0 {
		return
	}
	peerOwners := ownerSet{}
	for _, owner := range answer.GetNotices().GetOwners() {
		peerOwners.add(lentilid.Incarnation(owner))
	}
	if len(peerOwners) >= maxNoticesPerPart {
		return
	}
	for _, row := range m.versions.DifferingRows(answer.GetDigest(), maxNoticesPerPart) {
		owner := lentilid.Incarnation(row.Owner)
		if _, listed := peerOwners[owner]; !listed {
			o.notices.add(owner)
		}
	}
}

func addNotice(part *lentilcontrolpb.Part, owner lentilid.Incarnation, rank uint64) {
	if part.Notices == nil {
		part.Notices = &lentilcontrolpb.Lines{}
	}
	part.Notices.Owners = append(part.Notices.Owners, uint64(owner))
	part.Notices.Ranks = append(part.Notices.Ranks, rank)
}
