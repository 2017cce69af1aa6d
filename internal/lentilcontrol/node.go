// Package lentilcontrol is the control plane between the processes of the system.
// Agents announce their copies to balancers. Balancers replicate the membership, the
// records of agents and the configuration among themselves. Operators query the status.
//
// An agent sends heartbeats to a few balancers, which hold its lease. Its record is live while
// a lease holder attests it. Balancers replicate the entries of members and agents by
// anti-entropy: each node has exchanges with a few neighbours, which carry recent changes. From
// time to time two neighbours compare their owner-version maps, which hold the rank of each
// owner's entry, to find what either of them lacks. A higher rank replaces a lower one.
//
// Node and Announcer make the decisions and are pure state machines without I/O or
// goroutines. Balancer and Agent run them: an actor or a mutex guards the state, and the
// calls that the state machine requests are made with connect-go over TLS.
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
	// DefaultCompareInterval is the time between comparisons of the complete owner-version
	// maps with a neighbour.
	DefaultCompareInterval = 5 * time.Second
	// DefaultMaxDirectEntries is how many changed entries a Balancer sends in full at most.
	// If more have changed, it sends notices and the peer requests the entries.
	DefaultMaxDirectEntries = 4
	// minExchangeInterval is the minimum time between two exchanges with a neighbour that
	// are triggered by changes. It batches changes that occur close together.
	minExchangeInterval = 50 * time.Millisecond
	// domainContactTimeout is how long a failure domain still counts as reached after the
	// latest contact.
	domainContactTimeout = 5 * time.Second
	// pauseThreshold is the time between two events above which this process must have been
	// paused, or its clock set. Its state may then be out of date.
	pauseThreshold = 10 * time.Second
	// resumeIgnoreTime is how long after a pause the contents of calls are ignored, because
	// they may have been queued during the pause. Clients time out after some seconds and retry.
	resumeIgnoreTime = 500 * time.Millisecond
	// maxPreviousMembers bounds the previously known members that a node rejoins through.
	maxPreviousMembers = 16
	// bulkRecordThreshold is the number of records changed by one message above which a node
	// that isn't in sync yet doesn't pass the changes on.
	bulkRecordThreshold = 64
	// maintenanceInterval is the time between scans of all members.
	maintenanceInterval = 500 * time.Millisecond
	// peerIdleTimeout is how long a peer that isn't a neighbour is kept without contact.
	peerIdleTimeout = 30 * time.Second
	// settleTime is how long a node must have been in sync with the others before its lack
	// of an entry for a member counts as evidence that the entry has expired. The member
	// must have run for as long.
	settleTime = time.Minute
	// seedTimeout is how long a node tries the seeds before it becomes ready without peers.
	seedTimeout = 3 * time.Second
	// suspectFailures is how many calls in a row must fail before a member is suspected.
	suspectFailures = 2
	// suspectRepeatFailures is after how many further failures it is suspected again.
	suspectRepeatFailures = 8
	// promptBytesPerSecond and promptBytesBurst limit the exchanges triggered by changes.
	// The burst lets a node that joins receive the complete state at once.
	promptBytesPerSecond = 16 << 10
	promptBytesBurst     = 8 << 20
	// readersPerRegion is how many members of a region read the platform.
	readersPerRegion = 2
)

// Node is the control state machine of one balancer. Its inputs are events and a clock,
// its outputs are the calls to make. Set the fields, then call Start. It is not safe for
// concurrent use.
type Node struct {
	// Clock is the time source; nil means the system clock.
	Clock lentilclock.Clock
	// Random is the source of jitter; nil means the global source.
	Random *rand.Rand
	// Self identifies this member. Only RunID, Control, Region and Domain are used.
	Self lentilmember.Doc
	// Seeds are control addresses of other balancers, used to join.
	Seeds []netip.AddrPort
	// ExchangeInterval is the time between exchanges with a neighbour; 0 means
	// DefaultExchangeInterval.
	ExchangeInterval time.Duration
	// CompareInterval is the time between comparisons of the complete owner-version maps
	// with a neighbour; 0 means DefaultCompareInterval.
	CompareInterval time.Duration
	// MaxDirectEntries is how many changed entries are sent in full at most. If more have
	// changed, notices are sent and the peer requests the entries.
	MaxDirectEntries int

	membership    lentilmember.Table
	records       lentilrecord.Store
	configuration lentilconfig.Store
	serviceParts  servicePartCache
	peers         map[lentilid.Incarnation]*peer
	// peerOrder holds the sorted keys of peers. Iterating in this order makes simulations
	// with the same random seed reproducible.
	peerOrder   []lentilid.Incarnation
	holderCache holderCache
	// readerChoice caches whether this member is chosen to read the platform, for one epoch
	// of the membership.
	readerChoice struct {
		epoch  uint64
		chosen bool
	}
	probes map[netip.AddrPort]*probe
	// previousMembers holds control addresses of members known before the state was
	// discarded, used to rejoin.
	previousMembers []netip.AddrPort
	// domainContacts holds the time of the latest successful exchange with each other
	// failure domain.
	domainContacts map[string]time.Time
	// reachedDomains are the reached failure domains as of the latest update of all attestors.
	reachedDomains []string
	// lastEventAt is the time of the latest call of detectPause.
	lastEventAt time.Time
	// lastMaintenanceAt is the time of the latest scan of all members.
	lastMaintenanceAt time.Time
	// promptBudget limits the bytes of exchanges that changes trigger in addition to the
	// periodic ones.
	promptBudget lentilbudget.Bucket
	// startedAt is when the node started, or restarted after it discarded its state.
	startedAt time.Time
	// syncedAt is when a comparison with a peer first found equal state since startedAt;
	// zero before.
	syncedAt time.Time
	// inForceSince is when the current configuration came into force here.
	inForceSince time.Time
	pull         pullState
	liveReport   liveReport
	leaving      bool
	// resumedAt is when this process detected that it had been paused.
	resumedAt time.Time
	// changed is true if an entry has changed since the latest Tick.
	changed bool
}

// Start makes the node a member that knows no other members yet.
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

// Call is a call that the node requests. Its outcome must be passed to HandleOutcome.
type Call struct {
	// To is the address of the balancer to call.
	To netip.AddrPort
	// Exchange is the request for an exchange, or nil.
	Exchange *lentilcontrolpb.ExchangeRequest
	// Fetch is the request for a configuration, or nil.
	Fetch *lentilcontrolpb.FetchConfigurationRequest

	runID       lentilid.Incarnation
	sentEntries sentEntries
}

// Tick advances the timers and returns the calls that are due.
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

// detectPause checks whether this process was paused, or its clock set, since the latest
// event, and discards its state if so. Tick and the handlers of exchanges, heartbeats and
// outcomes call it first: otherwise the next answer would report to a peer that nothing was
// heard from it during the whole pause.
func (n *Node) detectPause() {
	now := n.now()
	paused := !n.lastEventAt.IsZero() && (now.Sub(n.lastEventAt) > pauseThreshold || now.Before(n.lastEventAt))
	n.lastEventAt = now
	if !paused {
		return
	}
	n.membership.Expire()
	n.records.Expire()
	n.discardState()
	n.resumedAt = now
}

// justResumed reports whether this process has just detected that it was paused. Messages that
// arrive now may have been queued during the pause: heartbeats of agents that have ended, and
// records that others have dropped.
func (n *Node) justResumed() bool {
	return !n.resumedAt.IsZero() && n.now().Sub(n.resumedAt) < resumeIgnoreTime
}

// Changed reports whether an entry has changed since the latest Tick. If so, the next Tick
// should follow at once.
func (n *Node) Changed() bool { return n.changed }

// discardState drops all leases and everything learned from others. It is called after this
// process was paused or others declared it dead, because the state may be out of date.
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

// propagateChanges applies changed entries to the attestors and queues them for the peers,
// except for the peer that sent them.
func (n *Node) propagateChanges(from lentilid.Incarnation) {
	members := n.membership.TakeChanged()
	for _, runID := range members {
		doc, ok := n.membership.Member(runID)
		if !ok || !doc.CountsAsAlive() {
			n.removePeer(runID)
		}
		n.updateAttestor(runID, doc)
	}
	records := n.records.TakeChanged()
	if len(members)+len(records) == 0 {
		return
	}
	n.changed = true
	n.liveReport.markDirty(records)
	// What a joining node receives in bulk is known to its peers already. If something isn't,
	// the next comparison finds it.
	bulk := n.syncedAt.IsZero() && from != 0 && len(records) > bulkRecordThreshold
	for runID, p := range n.peers {
		if runID != from && !bulk {
			p.memberOutbox.notify(members)
			p.recordOutbox.notify(records)
		}
	}
	if len(members) > 0 {
		n.chooseNeighbours()
	}
}

// chooseNeighbours marks the peers that are neighbours according to the membership, and
// adds those that are missing.
func (n *Node) chooseNeighbours() {
	for _, p := range n.peers {
		p.neighbour = false
	}
	avoid := func(runID lentilid.Incarnation) bool {
		p := n.peers[runID]
		return p != nil && p.backoff.Failures() >= suspectFailures
	}
	for _, doc := range n.membership.Neighbours(avoid) {
		n.ensurePeer(doc).neighbour = true
	}
}

// removePeer ends the exchanges with a peer.
func (n *Node) removePeer(runID lentilid.Incarnation) {
	if index, found := slices.BinarySearch(n.peerOrder, runID); found {
		n.peerOrder = slices.Delete(n.peerOrder, index, index+1)
		delete(n.peers, runID)
	}
}

// updateAttestor passes the leases that a member holds to the record store. A member that
// doesn't count as alive attests no records.
func (n *Node) updateAttestor(runID lentilid.Incarnation, doc lentilmember.Doc) {
	var attestor lentilrecord.Attestor
	if doc.CountsAsAlive() {
		attestor.Owners = doc.LeasedAgents
		attestor.Reached = slices.Contains(n.membership.ReachedDomains(), doc.Domain)
	}
	n.records.SetAttestor(runID, attestor)
}

// updateAttestors updates the attestors of all members if the reached failure domains have
// changed.
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

// ensurePeer returns the peer for a member and creates it if needed.
func (n *Node) ensurePeer(doc lentilmember.Doc) *peer {
	p := n.peers[doc.RunID]
	if p == nil {
		p = &peer{lastSeen: n.now(), lastSeenByPeer: n.now(), nextCallAt: n.now()}
		p.backoff.Random = n.Random
		p.memberOutbox.push = ownerSet{n.Self.RunID: {}}
		n.peers[doc.RunID] = p
		index, _ := slices.BinarySearch(n.peerOrder, doc.RunID)
		n.peerOrder = slices.Insert(n.peerOrder, index, doc.RunID)
	}
	p.runID = doc.RunID
	p.controlAddress = doc.Control
	p.region = doc.Region
	p.domain = doc.Domain
	return p
}

// region returns this node's region, or "" if it isn't known yet.
func (n *Node) region() string { return n.membership.Self().Region }

// updateRegion sets this node's region according to the configuration in force.
func (n *Node) updateRegion() {
	if domain := n.configuration.Configuration().DomainNamed(n.Self.Domain); domain != nil {
		n.membership.SetRegion(domain.Region())
	}
}

// reachableDomains returns the other failure domains with which this node had contact
// recently, sorted.
func (n *Node) reachableDomains(now time.Time) (domains []string) {
	for domain, lastContact := range n.domainContacts {
		if now.Sub(lastContact) < domainContactTimeout {
			domains = append(domains, domain)
		} else {
			delete(n.domainContacts, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// recordContact records a successful exchange with a member of another failure domain. A
// failure domain without recent contact counts only once the member maps are found equal.
// Until then this node may not know of leases that ended in the meantime.
func (n *Node) recordContact(p *peer, sameMembers bool) {
	if p.domain == n.Self.Domain {
		return
	}
	if _, reached := n.domainContacts[p.domain]; reached || sameMembers {
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
