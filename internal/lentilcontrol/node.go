// Package lentilcontrol is the control plane among the system's own processes:
// agents announce their copies to balancers, balancers tell each other of members,
// records and configuration, and operators ask for status.
//
// Node holds the decisions and is a pure state machine. Balancer and Agent are
// the shells around it: connect-go over TLS, an actor that owns the
// state, and loops that carry out the calls which the state machine asks for.
package lentilcontrol

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilmember"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// Defaults of a Node's settings.
const (
	// DefaultExchangeInterval is the time between exchanges with a neighbour.
	DefaultExchangeInterval = time.Second
	// DefaultCompareInterval is the time between comparisons of whole maps with a neighbour.
	DefaultCompareInterval = 5 * time.Second
	// DefaultMaxDirectEntries is up to how many changes a Balancer sends whole.
	DefaultMaxDirectEntries = 4
	// minExchangeInterval is the least time between two exchanges with a neighbour that
	// changes prompt; it gathers changes that come close together.
	minExchangeInterval = 50 * time.Millisecond
	// domainContactTimeout is how long a failure domain without contact counts as reached.
	domainContactTimeout = 5 * time.Second
	// pauseThreshold is the time between two ticks from which on this process must have
	// been paused or its clock set, and what it has learned may be out of date.
	pauseThreshold = 10 * time.Second
	// resumeIgnoreTime is how long after that nothing is learned from calls of others, so that what
	// has waited meanwhile is passed over. Callers give up after some seconds and try again.
	resumeIgnoreTime = 500 * time.Millisecond
	// maxPreviousMembers bounds the former members by which a node joins again.
	maxPreviousMembers = 16
	// bulkRecordThreshold is how many records at once a newcomer does not pass on.
	bulkRecordThreshold = 64
	// maintenanceInterval is the time between tasks that go over all members.
	maintenanceInterval = 500 * time.Millisecond
	// peerIdleTimeout is how long a peer that is no neighbour is kept without contact.
	peerIdleTimeout = 30 * time.Second
	// settleTime is how long a node must have known the others before its not
	// knowing somebody says anything.
	settleTime = time.Minute
	// seedTimeout is how long the seeds are tried before a node goes on alone.
	seedTimeout = 3 * time.Second
	// suspectFailures is how many calls in a row must fail before a suspicion,
	suspectFailures = 2
	// and suspectRepeatFailures after how many more it is raised again.
	suspectRepeatFailures = 8
	// promptBytesPerSecond and bytesBurst bound what changes may prompt. The burst
	// lets a node that joins take in everything at once.
	promptBytesPerSecond = 16 << 10
	promptBytesBurst     = 8 << 20
	// readersPerRegion is how many members of a region read the platform.
	readersPerRegion = 2
)

// Node is the control state of one balancer: events and a clock in, calls out.
// Set the fields, then call Start. It is not safe for use by several goroutines.
type Node struct {
	// Clock tells the time; nil means the machine's.
	Clock lentilclock.Clock
	// Random is the source of jitter; nil means the shared source.
	Random *rand.Rand
	// Self names this member: Run, Control, Region and Domain are used.
	Self lentilmember.Doc
	// Seeds are addresses of other balancers to join by.
	Seeds []netip.AddrPort
	// ExchangeInterval is the time between exchanges with a neighbour; 0 means DefaultPeriod.
	ExchangeInterval time.Duration
	// CompareInterval is the time between comparisons of whole maps; 0 means DefaultCompare.
	CompareInterval time.Duration
	// MaxDirectEntries is up to how many changes are sent whole instead of by a notice that
	// prompts a pull.
	MaxDirectEntries int

	membership    lentilmember.Table
	records       lentilrecord.Store
	configuration lentilconfig.Store
	serviceParts  servicePartCache
	peers         map[lentilid.Incarnation]*peer
	// peerOrder holds the keys of peers, sorted, so that runs from one seed are alike.
	peerOrder   []lentilid.Incarnation
	holderCache holderCache
	// readerChoice says whether this member was chosen to read the platform, as of an epoch
	// of the table.
	readerChoice struct {
		epoch  uint64
		chosen bool
	}
	probes map[netip.AddrPort]*probe
	// previousMembers holds addresses of members known before discard, to join again by.
	previousMembers []netip.AddrPort
	// domainContacts holds the time of the latest success with each other failure domain, and
	// reached the failure domains for which the vouchers were judged last.
	domainContacts map[string]time.Time
	reachedDomains []string
	// lastEventAt is when the latest Tick was, chores when the latest tasks over all members were.
	lastEventAt       time.Time
	lastMaintenanceAt time.Time
	// promptBudget bounds what changes prompt beyond the regular exchanges.
	promptBudget lentilbudget.Bucket
	// startedAt is when the node began, or began again after discard.
	startedAt time.Time
	// syncedAt is when the node was first found equal to a peer since then; zero before.
	syncedAt time.Time
	// inForceSince is when the present configuration came into force here.
	inForceSince time.Time
	pull         pullState
	liveReport   liveReport
	leaving      bool
	// resumedAt is when this process noticed that it had been away.
	resumedAt time.Time
	// changed is true while something has changed since the latest Tick.
	changed bool
}

// Start makes the node a member that knows nobody yet.
func (n *Node) Start() {
	n.membership.Clock = n.clock()
	n.records.Clock = n.clock()
	n.membership.Join(n.Self)
	n.peers = map[lentilid.Incarnation]*peer{}
	n.probes = map[netip.AddrPort]*probe{}
	n.domainContacts = map[string]time.Time{}
	n.promptBudget = lentilbudget.Bucket{PerSecond: promptBytesPerSecond, Burst: promptBytesBurst}
	n.startedAt = n.now()
	n.propagateChanges(0)
}

// Call is a call that the node asks its shell to make. Its outcome goes to Outcome.
type Call struct {
	// To is the address of the balancer to call.
	To netip.AddrPort
	// Exchange is the request of an exchange, or nil.
	Exchange *lentilcontrolpb.ExchangeRequest
	// Fetch is the request for a configuration, or nil.
	Fetch *lentilcontrolpb.FetchConfigurationRequest

	runID       lentilid.Incarnation
	sentEntries sentEntries
}

// Tick moves timers on and returns the calls that are due.
func (n *Node) Tick() (calls []Call) {
	now := n.now()
	n.detectPause()
	n.changed = false
	n.membership.Expire()
	n.records.Expire()
	if n.membership.DeclaredDead() {
		n.discardState()
	}
	n.membership.SetLeasedAgents(n.records.LeasedAgents())
	n.membership.SetReachableDomains(n.reachableDomains(now))
	n.updateRegion()
	n.propagateChanges(0)
	n.updateAttestors()
	calls = n.dueExchanges(now)
	calls = append(calls, n.dueProbes(now)...)
	return append(calls, n.dueFetch(now)...)
}

// detectPause looks whether this process was away, or its clock was set, since it last looked, and
// forgets what it knew if so. Every event begins with it: an answer that counted with the time
// before would tell others that they have been silent for as long.
func (n *Node) detectPause() {
	now := n.now()
	away := !n.lastEventAt.IsZero() && (now.Sub(n.lastEventAt) > pauseThreshold || now.Before(n.lastEventAt))
	n.lastEventAt = now
	if !away {
		return
	}
	n.membership.Expire()
	n.records.Expire()
	n.discardState()
	n.resumedAt = now
}

// justResumed reports whether this process has just noticed that it was away. What reaches it now may
// have waited for as long: heartbeats of agents that have ended, and records that others have forgotten.
func (n *Node) justResumed() bool {
	return !n.resumedAt.IsZero() && n.now().Sub(n.resumedAt) < resumeIgnoreTime
}

// Changed reports whether something has changed since the latest Tick, so that
// the next one should not wait.
func (n *Node) Changed() bool { return n.changed }

// discardState forgets what was learned from others and the leases, after this process
// was away or others have counted it as dead: what it holds may be out of date.
func (n *Node) discardState() {
	n.previousMembers = nil
	for _, doc := range n.membership.AliveMembers() {
		if doc.RunID != n.Self.RunID && len(n.previousMembers) < maxPreviousMembers {
			n.previousMembers = append(n.previousMembers, doc.Control)
		}
	}
	n.membership.DiscardOthers()
	n.records.Discard()
	clear(n.peers)
	n.peerOrder = nil
	clear(n.domainContacts)
	n.syncedAt = time.Time{}
	n.startedAt = n.now()
	n.liveReport.allDirty = true
	n.lastMaintenanceAt = time.Time{}
}

// propagateChanges carries changes of entries to the vouchers and the peers, except for the
// peer from which they came.
func (n *Node) propagateChanges(from lentilid.Incarnation) {
	members := n.membership.TakeChanged()
	for _, run := range members {
		doc, ok := n.membership.Member(run)
		if !ok || !doc.CountsAsAlive() {
			n.removePeer(run)
		}
		n.updateAttestor(run, doc)
	}
	records := n.records.TakeChanged()
	if len(members)+len(records) == 0 {
		return
	}
	n.changed = true
	n.liveReport.markDirty(records)
	// What a newcomer takes in by the bulk is known to its peers already; should it not
	// be, the next comparison shows it.
	bulk := n.syncedAt.IsZero() && from != 0 && len(records) > bulkRecordThreshold
	for run, p := range n.peers {
		if run != from && !bulk {
			p.memberOutbox.notify(members)
			p.recordOutbox.notify(records)
		}
	}
	if len(members) > 0 {
		n.chooseNeighbours()
	}
}

// chooseNeighbours makes peers of the neighbours that the membership asks for.
func (n *Node) chooseNeighbours() {
	for _, p := range n.peers {
		p.neighbour = false
	}
	avoid := func(run lentilid.Incarnation) bool {
		p := n.peers[run]
		return p != nil && p.backoff.Failures() >= suspectFailures
	}
	for _, doc := range n.membership.Neighbours(avoid) {
		n.ensurePeer(doc).neighbour = true
	}
}

// removePeer ends exchanges with a peer.
func (n *Node) removePeer(run lentilid.Incarnation) {
	if place, found := slices.BinarySearch(n.peerOrder, run); found {
		n.peerOrder = slices.Delete(n.peerOrder, place, place+1)
		delete(n.peers, run)
	}
}

// updateAttestor passes on whose leases a member holds, if the member counts.
func (n *Node) updateAttestor(run lentilid.Incarnation, doc lentilmember.Doc) {
	var voucher lentilrecord.Attestor
	if doc.CountsAsAlive() {
		voucher.Owners = doc.LeasedAgents
		voucher.Reached = slices.Contains(n.membership.ReachedDomains(), doc.Domain)
	}
	n.records.SetAttestor(run, voucher)
}

// updateAttestors judges all vouchers anew after the failure domains in contact changed.
func (n *Node) updateAttestors() {
	if slices.Equal(n.reachedDomains, n.membership.ReachedDomains()) {
		return
	}
	n.reachedDomains = n.membership.ReachedDomains()
	for _, doc := range n.membership.Members() {
		n.updateAttestor(doc.RunID, doc)
	}
	n.propagateChanges(0)
}

// ensurePeer returns the ensurePeer for a member, made anew if there is none.
func (n *Node) ensurePeer(doc lentilmember.Doc) *peer {
	p := n.peers[doc.RunID]
	if p == nil {
		p = &peer{lastSeen: n.now(), lastSeenByPeer: n.now(), nextCallAt: n.now()}
		p.backoff.Random = n.Random
		p.memberOutbox.push = ownerSet{n.Self.RunID: {}}
		n.peers[doc.RunID] = p
		place, _ := slices.BinarySearch(n.peerOrder, doc.RunID)
		n.peerOrder = slices.Insert(n.peerOrder, place, doc.RunID)
	}
	p.runID = doc.RunID
	p.controlAddress = doc.Control
	p.region = doc.Region
	p.domain = doc.Domain
	return p
}

// region returns the own region, or "" while it is not known.
func (n *Node) region() string { return n.membership.Self().Region }

// updateRegion takes the own region from the configuration in force.
func (n *Node) updateRegion() {
	if domain := n.configuration.Configuration().DomainNamed(n.Self.Domain); domain != nil {
		n.membership.SetRegion(domain.Region())
	}
}

// reachableDomains returns the other failure domains with which this node is in contact.
func (n *Node) reachableDomains(now time.Time) (domains []string) {
	for domain, at := range n.domainContacts {
		if now.Sub(at) < domainContactTimeout {
			domains = append(domains, domain)
		} else {
			delete(n.domainContacts, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// recordContact notes a success with a member of another failure domain. One that comes
// back counts only once all members' entries were found to be equal, so
// that leases which ended meanwhile are known.
func (n *Node) recordContact(p *peer, equal bool) {
	if p.domain == n.Self.Domain {
		return
	}
	if _, reached := n.domainContacts[p.domain]; reached || equal {
		n.domainContacts[p.domain] = n.now()
	}
}

func (n *Node) clock() lentilclock.Clock { return lentilclock.OrSystem(n.Clock) }

func (n *Node) now() time.Time { return n.clock().Now() }

func (n *Node) exchangeInterval() time.Duration {
	return cmp.Or(n.ExchangeInterval, DefaultExchangeInterval)
}
func (n *Node) compareInterval() time.Duration {
	return cmp.Or(n.CompareInterval, DefaultCompareInterval)
}

// jitter returns a time between three quarters and five quarters of d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(n.randomInt(int(d/2)))
}

// randomInt returns a random number below bound.
func (n *Node) randomInt(bound int) int {
	if n.Random == nil {
		return rand.IntN(bound)
	}
	return n.Random.IntN(bound)
}
