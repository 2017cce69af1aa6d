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
	// maxLines is how many owners with their ranks one part of a message holds.
	maxLines = 2000
	// maxDocs is how many entries that the peer lacks go whole with one part, and how
	// many it asks for.
	maxDocs = 500
)

// set is a set of owners of entries.
type set map[lentilid.Incarnation]struct{}

func (s *set) add(owners ...lentilid.Incarnation) {
	if *s == nil && len(owners) > 0 {
		*s = set{}
	}
	for _, owner := range owners {
		(*s)[owner] = struct{}{}
	}
}

// take removes and returns at most n owners, in order.
func (s set) take(n int) (owners []lentilid.Incarnation) {
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
	run       lentilid.Incarnation
	control   netip.AddrPort
	region    string
	domain    string
	neighbour bool
	// sponsor is true for a peer found by a probe; until this node has compared
	// itself with another one, it exchanges with its sponsors too.
	sponsor  bool
	inFlight bool
	// called is when the latest exchange began, due when the next shall.
	called time.Time
	due    time.Time
	// heard is when this node heard from the peer last.
	heard time.Time
	// answered is when the peer heard from this node last, as far as is known.
	answered time.Time
	// compare is when the whole maps are compared next.
	compare time.Time
	backoff lentilbudget.Backoff
	members outbox
	records outbox
	// configuration is the version in force there.
	configuration uint64
}

// busy reports whether there is anything that the peer should be told or asked.
func (p *peer) busy() bool { return p.members.busy() || p.records.busy() }

// outbox holds what a peer shall be told of one owner-version map.
type outbox struct {
	// notice holds owners whose entries have changed.
	notice set
	// push holds owners whose entries the peer lacks.
	push set
	// want holds owners whose entries the peer has and this node lacks.
	want set
	// root and rows describe the peer's map.
	root uint64
	rows int
	// comparing is true while the digests of a comparison are due.
	comparing bool
}

func (o *outbox) busy() bool {
	return len(o.notice)+len(o.push)+len(o.want) > 0 || o.comparing
}

func (o *outbox) notify(owners []lentilid.Incarnation) { o.notice.add(owners...) }

// sent is what a call carried, to be sent again if the call fails.
type sent struct {
	members, records []lentilid.Incarnation
}

// ledger is one of the two owner-version maps of a node, seen alike.
type ledger struct {
	versions *lentilrecord.Versions
	// rank returns the rank at which an owner is known, shown or not.
	rank func(lentilid.Incarnation) uint64
}

func (n *Node) memberLedger() ledger {
	return ledger{versions: n.table.Versions(), rank: n.table.Rank}
}

func (n *Node) recordLedger() ledger {
	return ledger{versions: n.records.Versions(), rank: n.records.Rank}
}

// part returns what an outbox has to say, and the owners of the entries that go
// with it. Few changes go whole, many by notices.
func (l ledger) part(o *outbox, direct int) (part *lentilcontrolpb.Part, docs []lentilid.Incarnation) {
	part = &lentilcontrolpb.Part{Root: l.versions.Root(), Rows: uint32(l.versions.Len())}
	docs = o.push.take(maxDocs)
	for _, owner := range docs {
		delete(o.notice, owner)
	}
	if len(o.notice) <= direct {
		docs = append(docs, o.notice.take(direct)...)
	}
	for _, owner := range o.notice.take(maxLines) {
		if rank, shown := l.versions.Rank(uint64(owner)); shown {
			addNotice(part, owner, rank)
		}
	}
	for _, owner := range o.want.take(maxDocs) {
		part.Wanted = append(part.Wanted, uint64(owner))
	}
	return part, docs
}

// read takes in what the other side said about a map, after the entries that came
// with it were applied, and fills the outbox for the answer.
func (l ledger) read(part *lentilcontrolpb.Part, o *outbox) {
	o.root = part.GetRoot()
	o.rows = int(part.GetRows())
	lines := part.GetNotices()
	if len(lines.GetOwners()) != len(lines.GetRanks()) {
		return
	}
	for i, owner := range lines.GetOwners() {
		owner := lentilid.Incarnation(owner)
		switch own := l.rank(owner); {
		case own < lines.GetRanks()[i]:
			o.want.add(owner)
		case own > lines.GetRanks()[i]:
			o.push.add(owner)
		default:
			delete(o.notice, owner)
		}
	}
	for _, owner := range part.GetWanted() {
		o.push.add(lentilid.Incarnation(owner))
	}
}

// answerDigest puts the rows of the buckets that differ into an answer, with the
// own digest, so that the other side finds the rows that only it has.
func (l ledger) answerDigest(digest []uint32, answer *lentilcontrolpb.Part) {
	if !lentilrecord.ValidDigest(digest) {
		return
	}
	answer.Digest = l.versions.Digest(len(digest))
	for _, line := range l.versions.Differing(digest, maxLines) {
		addNotice(answer, lentilid.Incarnation(line.Owner), line.Rank)
	}
}

// readDigest finds the rows that the other side lacks altogether.
func (l ledger) readDigest(answer *lentilcontrolpb.Part, o *outbox) {
	if len(answer.GetDigest()) == 0 {
		return
	}
	theirs := set{}
	for _, owner := range answer.GetNotices().GetOwners() {
		theirs.add(lentilid.Incarnation(owner))
	}
	if len(theirs) >= maxLines {
		return
	}
	for _, line := range l.versions.Differing(answer.GetDigest(), maxLines) {
		owner := lentilid.Incarnation(line.Owner)
		if _, both := theirs[owner]; !both {
			o.notice.add(owner)
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
