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
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// Defaults of an Announcer's settings.
const (
	// DefaultHeartbeatInterval is the time between heartbeats.
	DefaultHeartbeatInterval = time.Second
	// weightChangeDivisor determines which changes of the weight are announced at once: those
	// of at least the announced weight divided by it.
	weightChangeDivisor = 8
	// minorWeightDelay is the minimum time since the latest announcement before a smaller
	// change is announced.
	minorWeightDelay = 5 * time.Second
	// maxHolderRetryDelay is the maximum backoff delay between heartbeats to a failing holder.
	maxHolderRetryDelay = 8 * time.Second
)

// Announcer is the control state machine of one agent. It decides which balancers the agent
// calls, when, and with what content. Its inputs are the agent's record, answers and a clock,
// its outputs are the heartbeats to send. It is not safe for concurrent use.
type Announcer struct {
	// Clock is the time source; nil means the system clock.
	Clock lentilclock.Clock
	// Random is the source of jitter; nil means the global source.
	Random *rand.Rand
	// Seeds are control addresses of the balancers to contact first.
	Seeds []netip.AddrPort
	// HeartbeatInterval is the time between heartbeats; 0 means DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration

	doc lentilrecord.Doc
	// announcedAt is when the latest version of doc was made.
	announcedAt time.Time
	// sequence numbers the heartbeats.
	sequence uint64
	holders  []*holder
	spares   []netip.AddrPort
	// balancersDigest is the digest of the holders and spares last named by a balancer.
	balancersDigest uint64
	// partDigest is the digest of the service part in configuration.
	partDigest    uint64
	configuration lentilconfig.Configuration
	version       uint64
	changes       Changes
	// nextSearchAt is the earliest time to add fallback holders.
	nextSearchAt  time.Time
	searchBackoff lentilbudget.Backoff
}

// Changes reports which information from balancers has changed.
type Changes struct {
	// Configuration is true if there is a newer configuration.
	Configuration bool
	// Peers is true if an answer brought the other agents of the service, or their loads.
	Peers bool
	// Balancers is true if the balancers named to this agent have changed.
	Balancers bool
}

// holder is a balancer that receives heartbeats so that it holds the agent's lease.
type holder struct {
	controlAddress netip.AddrPort
	dueAt          time.Time
	inFlight       bool
	// named is true if a balancer named this one as a holder. Others, such as seeds, are used
	// only until holders are named.
	named bool
	// sentVersion is the record version in the latest heartbeat.
	sentVersion uint64
	// peersDigest is the digest of peers, the other agents that this holder reported.
	peersDigest uint64
	peers       []lentilrecord.Record
	// lastSeen is when the latest answer arrived.
	lastSeen time.Time
	backoff  lentilbudget.Backoff
}

// Heartbeat is a heartbeat to send. Its outcome must be passed to HandleOutcome.
type Heartbeat struct {
	// To is the address of the balancer to call.
	To      netip.AddrPort
	Request *lentilcontrolpb.AnnounceRequest
}

// SetRecord sets the record to announce. Owner and addresses must not change. The version in
// doc is ignored: the announcer increments its own at each significant change.
func (a *Announcer) SetRecord(doc lentilrecord.Doc) {
	doc.Version = a.doc.Version
	if a.isSignificant(doc) {
		doc.Version++
		a.announcedAt = a.now()
		a.makeAllDue()
	}
	previous := a.doc
	a.doc = doc
	if doc.Version == previous.Version {
		// Only the load may change within a version.
		a.doc = previous
		a.doc.Load = doc.Load
	}
}

// isSignificant reports whether a document differs enough from the announced one to become a
// new version: a change of the load doesn't, a change of the weight to or from 0 does.
func (a *Announcer) isSignificant(doc lentilrecord.Doc) bool {
	if a.doc.Version == 0 {
		return true
	}
	otherFields := doc
	otherFields.Weight = a.doc.Weight
	otherFields.Load = a.doc.Load
	if otherFields != a.doc || (doc.Weight == 0) != (a.doc.Weight == 0) {
		return true
	}
	change := max(doc.Weight, a.doc.Weight) - min(doc.Weight, a.doc.Weight)
	large := change > 0 && change >= a.doc.Weight/weightChangeDivisor
	return large || (change > 0 && a.now().Sub(a.announcedAt) >= minorWeightDelay)
}

// makeAllDue makes the heartbeats to all holders that aren't failing due at once.
func (a *Announcer) makeAllDue() {
	for _, h := range a.holders {
		if h.backoff.Failures() == 0 {
			h.dueAt = a.now()
		}
	}
}

// Tick returns the heartbeats that are due.
func (a *Announcer) Tick() (heartbeats []Heartbeat) {
	if a.doc.Version == 0 {
		return nil
	}
	a.addFallbackHolders()
	now := a.now()
	for _, h := range a.holders {
		if h.inFlight || now.Before(h.dueAt) {
			continue
		}
		h.inFlight = true
		h.dueAt = now.Add(a.jitteredInterval())
		a.sequence++
		heartbeats = append(heartbeats, Heartbeat{To: h.controlAddress, Request: a.newRequest(h)})
	}
	return heartbeats
}

func (a *Announcer) newRequest(h *holder) *lentilcontrolpb.AnnounceRequest {
	h.sentVersion = a.doc.Version
	return &lentilcontrolpb.AnnounceRequest{
		Record:               toRecord(lentilrecord.New(a.doc)),
		Beat:                 a.sequence,
		ConfigurationVersion: a.version,
		ConfigurationDigest:  a.partDigest,
		PeersDigest:          h.peersDigest,
		BalancersDigest:      a.balancersDigest,
	}
}

// addFallbackHolders adds spares and seeds, in random order, as holders while fewer than
// leaseHolderCount answer. It does so at intervals that grow while no holder answers.
func (a *Announcer) addFallbackHolders() {
	answering := 0
	for _, h := range a.holders {
		if h.backoff.Failures() == 0 {
			answering++
		}
	}
	if answering >= leaseHolderCount || a.now().Before(a.nextSearchAt) {
		return
	}
	a.holders = slices.DeleteFunc(a.holders, func(h *holder) bool { return h.shouldDrop() })
	for _, list := range [][]netip.AddrPort{a.spares, a.Seeds} {
		for _, index := range a.permutation(len(list)) {
			if answering < leaseHolderCount && a.findHolder(list[index]) == nil && len(a.holders) < leaseHolderCount+spareBalancerCount {
				a.holders = append(a.holders, a.newHolder(list[index]))
				answering++
			}
		}
	}
	a.searchBackoff.Random = a.Random
	a.nextSearchAt = a.now().Add(a.searchBackoff.Next())
}

// shouldDrop reports whether this balancer has failed repeatedly and wasn't named as a holder.
func (h *holder) shouldDrop() bool {
	return !h.named && !h.inFlight && h.backoff.Failures() >= suspectFailures
}

func (a *Announcer) newHolder(controlAddress netip.AddrPort) *holder {
	h := &holder{controlAddress: controlAddress, dueAt: a.now()}
	h.backoff = lentilbudget.Backoff{Base: DefaultHeartbeatInterval, Max: maxHolderRetryDelay, Random: a.Random}
	return h
}

func (a *Announcer) findHolder(controlAddress netip.AddrPort) *holder {
	for _, h := range a.holders {
		if h.controlAddress == controlAddress {
			return h
		}
	}
	return nil
}

// HandleOutcome processes the outcome of a heartbeat. The response is nil after a failure.
func (a *Announcer) HandleOutcome(heartbeat Heartbeat, response *lentilcontrolpb.AnnounceResponse) {
	h := a.findHolder(heartbeat.To)
	if h == nil {
		return
	}
	h.inFlight = false
	if response == nil {
		a.handleFailure(h)
		return
	}
	h.backoff.Reset()
	a.searchBackoff.Reset()
	h.lastSeen = a.now()
	if h.sentVersion != a.doc.Version {
		h.dueAt = a.now()
	}
	a.applyConfiguration(response)
	a.applyPeers(h, response)
	a.applyBalancers(response)
}

// handleFailure delays the next heartbeat to a holder.
func (a *Announcer) handleFailure(h *holder) {
	h.dueAt = a.now().Add(a.heartbeatInterval()/2 + h.backoff.Next())
}

// applyConfiguration applies the configuration in a response if it is newer. If the service
// part is unchanged, only the version is updated.
func (a *Announcer) applyConfiguration(response *lentilcontrolpb.AnnounceResponse) {
	if response.GetConfigurationVersion() <= a.version {
		return
	}
	if len(response.GetConfiguration()) == 0 {
		if response.GetConfigurationDigest() == a.partDigest && a.partDigest != 0 {
			a.version = response.GetConfigurationVersion()
		}
		return
	}
	configuration, digest, err := openServicePart(response.GetConfiguration())
	if err != nil || configuration.Version() <= a.version {
		return
	}
	a.configuration = configuration
	a.partDigest = digest
	a.version = configuration.Version()
	a.changes.Configuration = true
}

func (a *Announcer) applyPeers(h *holder, response *lentilcontrolpb.AnnounceResponse) {
	if response.GetPeersDigest() != h.peersDigest {
		h.peers = nil
		for _, message := range response.GetPeers() {
			h.peers = append(h.peers, fromRecord(message))
		}
		h.peersDigest = response.GetPeersDigest()
	}
	if len(response.GetLoads()) != len(h.peers) {
		h.peersDigest = 0
		return
	}
	for i, load := range response.GetLoads() {
		doc := h.peers[i].Doc()
		doc.Load = uint16(min(load, 0xffff))
		h.peers[i] = lentilrecord.New(doc)
	}
	a.changes.Peers = true
}

func (a *Announcer) applyBalancers(response *lentilcontrolpb.AnnounceResponse) {
	if response.GetBalancersDigest() == a.balancersDigest || len(response.GetHolders()) == 0 {
		return
	}
	a.balancersDigest = response.GetBalancersDigest()
	a.spares = fromEndpoints(response.GetSpares())
	named := fromEndpoints(response.GetHolders())
	for _, controlAddress := range named {
		if a.findHolder(controlAddress) == nil {
			a.holders = append(a.holders, a.newHolder(controlAddress))
		}
	}
	for _, h := range a.holders {
		h.named = slices.Contains(named, h.controlAddress)
	}
	a.holders = slices.DeleteFunc(a.holders, func(h *holder) bool { return !h.named })
	a.changes.Balancers = true
}

// TakeChanges returns what has changed since the last call.
func (a *Announcer) TakeChanges() (changes Changes) {
	changes = a.changes
	a.changes = Changes{}
	return changes
}

// Configuration returns the configuration in force, reduced to the agent's service part.
func (a *Announcer) Configuration() lentilconfig.Configuration { return a.configuration }

// Version returns the version of the configuration in force.
func (a *Announcer) Version() uint64 { return a.version }

// Peers returns the other agents of the same service with their latest loads, ordered by
// incarnation. It merges the answers of all holders; the more recent answer wins.
func (a *Announcer) Peers() (peers []lentilrecord.Record) {
	latest := map[lentilid.Incarnation]lentilrecord.Record{}
	holders := slices.Clone(a.holders)
	slices.SortStableFunc(holders, func(one, other *holder) int { return one.lastSeen.Compare(other.lastSeen) })
	for _, h := range holders {
		for _, r := range h.peers {
			owner := r.Owner().Incarnation
			if known, ok := latest[owner]; !ok || known.Version() <= r.Version() {
				latest[owner] = r
			}
		}
	}
	delete(latest, a.doc.Owner.Incarnation)
	for _, r := range latest {
		peers = append(peers, r)
	}
	slices.SortFunc(peers, func(one, other lentilrecord.Record) int {
		if one.Owner().Incarnation < other.Owner().Incarnation {
			return -1
		}
		return 1
	})
	return peers
}

// Balancers returns the control addresses of the lease holders, followed by the spares.
func (a *Announcer) Balancers() (balancers []netip.AddrPort) {
	for _, h := range a.holders {
		balancers = append(balancers, h.controlAddress)
	}
	for _, spare := range a.spares {
		if !slices.Contains(balancers, spare) {
			balancers = append(balancers, spare)
		}
	}
	return balancers
}

// Acknowledged reports whether a holder has acknowledged the latest version of the record.
func (a *Announcer) Acknowledged() bool {
	return slices.ContainsFunc(a.holders, func(h *holder) bool {
		return h.sentVersion == a.doc.Version && !h.inFlight && h.backoff.Failures() == 0 && !h.lastSeen.IsZero()
	})
}

func (a *Announcer) now() time.Time { return lentilclock.OrSystem(a.Clock).Now() }

func (a *Announcer) heartbeatInterval() time.Duration {
	return cmp.Or(a.HeartbeatInterval, DefaultHeartbeatInterval)
}

// jitteredInterval returns a time between three quarters and five quarters of the heartbeat
// interval.
func (a *Announcer) jitteredInterval() time.Duration {
	return a.heartbeatInterval()*3/4 + time.Duration(a.randomInt(int(a.heartbeatInterval()/2)))
}

// randomInt returns a random number below bound.
func (a *Announcer) randomInt(bound int) int {
	if a.Random == nil {
		return rand.IntN(bound)
	}
	return a.Random.IntN(bound)
}

func (a *Announcer) permutation(length int) []int {
	if a.Random == nil {
		return rand.Perm(length)
	}
	return a.Random.Perm(length)
}
