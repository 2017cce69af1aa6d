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

// Limits of one message.
const (
	// maxNoticesPerPart is how many owners with their ranks one part of a message holds.
	maxNoticesPerPart = 2000
	// maxEntriesPerPart is how many entries that the peer lacks go whole with one part, and how
	// many it asks for.
	maxEntriesPerPart = 500
)

// ownerSet is a ownerSet of owners of entries.
type ownerSet map[lentilid.Incarnation]struct{}

func (s *ownerSet) add(owners ...lentilid.Incarnation) {
	if *s == nil && len(owners) > 0 {
		*s = ownerSet{}
	}
	for _, owner := range owners {
		(*s)[owner] = struct{}{}
	}
}

// take removes and returns at most n owners, in order.
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

// peer is what a node knows of a member with which it exchanges.
type peer struct {
	runID          lentilid.Incarnation
	controlAddress netip.AddrPort
	region         string
	domain         string
	neighbour      bool
	// bootstrap is true for a peer found by a probe; until this node has compared
	// itself with another one, it exchanges with its sponsors too.
	bootstrap bool
	inFlight  bool
	// calledAt is when the latest exchange began, due when the next shall.
	calledAt   time.Time
	nextCallAt time.Time
	// lastSeen is when this node lastSeen from the peer last.
	lastSeen time.Time
	// lastSeenByPeer is when the peer heard from this node last, as far as is known.
	lastSeenByPeer time.Time
	// nextCompareAt is when the whole maps are compared next.
	nextCompareAt time.Time
	backoff       lentilbudget.Backoff
	memberOutbox  outbox
	recordOutbox  outbox
	// configurationVersion is the version in force there.
	configurationVersion uint64
}

// hasPending reports whether there is anything that the peer should be told or asked.
func (p *peer) hasPending() bool { return p.memberOutbox.hasPending() || p.recordOutbox.hasPending() }

// outbox holds what a peer shall be told of one owner-version map.
type outbox struct {
	// notices holds owners whose entries have changed.
	notices ownerSet
	// push holds owners whose entries the peer lacks.
	push ownerSet
	// wanted holds owners whose entries the peer has and this node lacks.
	wanted ownerSet
	// peerRoot and rows describe the peer's map.
	peerRoot uint64
	peerRows int
	// compareDue is true while the digests of a comparison are due.
	compareDue bool
}

func (o *outbox) hasPending() bool {
	return len(o.notices)+len(o.push)+len(o.wanted) > 0 || o.compareDue
}

func (o *outbox) notify(owners []lentilid.Incarnation) { o.notices.add(owners...) }

// sentEntries is what a call carried, to be sentEntries again if the call fails.
type sentEntries struct {
	members, records []lentilid.Incarnation
}

// versionMap is one of the two owner-version maps of a node, seen alike.
type versionMap struct {
	versions *lentilrecord.VersionMap
	// rankOf returns the rankOf at which an owner is known, shown or not.
	rankOf func(lentilid.Incarnation) uint64
}

func (n *Node) memberMap() versionMap {
	return versionMap{versions: n.membership.Versions(), rankOf: n.membership.Rank}
}

func (n *Node) recordMap() versionMap {
	return versionMap{versions: n.records.Versions(), rankOf: n.records.Rank}
}

// buildPart returns what an outbox has to say, and the owners of the entries that go
// with it. Few changes go whole, many by notices.
func (l versionMap) buildPart(o *outbox, direct int) (part *lentilcontrolpb.Part, docs []lentilid.Incarnation) {
	part = &lentilcontrolpb.Part{Root: l.versions.Root(), Rows: uint32(l.versions.Len())}
	docs = o.push.take(maxEntriesPerPart)
	for _, owner := range docs {
		delete(o.notices, owner)
	}
	if len(o.notices) <= direct {
		docs = append(docs, o.notices.take(direct)...)
	}
	for _, owner := range o.notices.take(maxNoticesPerPart) {
		if rank, shown := l.versions.Rank(uint64(owner)); shown {
			addNotice(part, owner, rank)
		}
	}
	for _, owner := range o.wanted.take(maxEntriesPerPart) {
		part.Wanted = append(part.Wanted, uint64(owner))
	}
	return part, docs
}

// readPart takes in what the other side said about a map, after the entries that came
// with it were applied, and fills the outbox for the answer.
func (l versionMap) readPart(part *lentilcontrolpb.Part, o *outbox) {
	o.peerRoot = part.GetRoot()
	o.peerRows = int(part.GetRows())
	lines := part.GetNotices()
	if len(lines.GetOwners()) != len(lines.GetRanks()) {
		return
	}
	for i, owner := range lines.GetOwners() {
		owner := lentilid.Incarnation(owner)
		switch own := l.rankOf(owner); {
		case own < lines.GetRanks()[i]:
			o.wanted.add(owner)
		case own > lines.GetRanks()[i]:
			o.push.add(owner)
		default:
			delete(o.notices, owner)
		}
	}
	for _, owner := range part.GetWanted() {
		o.push.add(lentilid.Incarnation(owner))
	}
}

// answerDigest puts the rows of the buckets that differ into an answer, with the
// own digest, so that the other side finds the rows that only it has.
func (l versionMap) answerDigest(digest []uint32, answer *lentilcontrolpb.Part) {
	if !lentilrecord.ValidDigest(digest) {
		return
	}
	answer.Digest = l.versions.Digest(len(digest))
	for _, line := range l.versions.DifferingRows(digest, maxNoticesPerPart) {
		addNotice(answer, lentilid.Incarnation(line.Owner), line.Rank)
	}
}

// readDigestAnswer finds the rows that the other side lacks altogether.
func (l versionMap) readDigestAnswer(answer *lentilcontrolpb.Part, o *outbox) {
	if len(answer.GetDigest()) == 0 {
		return
	}
	theirs := ownerSet{}
	for _, owner := range answer.GetNotices().GetOwners() {
		theirs.add(lentilid.Incarnation(owner))
	}
	if len(theirs) >= maxNoticesPerPart {
		return
	}
	for _, line := range l.versions.DifferingRows(answer.GetDigest(), maxNoticesPerPart) {
		owner := lentilid.Incarnation(line.Owner)
		if _, both := theirs[owner]; !both {
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
