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
	// weightChangeDivisor is the change of weight, as a divisor of the weight announced,
	// from which on it is announced at once; smaller changes wait for weightPause.
	weightChangeDivisor = 8
	minorWeightDelay    = 5 * time.Second
	// maxHolderRetryDelay bounds the delay between heartbeats to a holder that fails.
	maxHolderRetryDelay = 8 * time.Second
)

// Announcer decides which balancers an agent calls, when, and what it tells them:
// documents, answers and a clock in, calls out. It is not safe for use by several
// goroutines.
type Announcer struct {
	// Clock tells the time; nil means the machine's.
	Clock lentilclock.Clock
	// Random is the source of jitter; nil means the shared source.
	Random *rand.Rand
	// Seeds are control addresses of balancers to begin with.
	Seeds []netip.AddrPort
	// HeartbeatInterval is the time between heartbeats; 0 means DefaultHeartbeat.
	HeartbeatInterval time.Duration

	doc             lentilrecord.Doc
	announcedAt     time.Time
	sequence        uint64
	holders         []*holder
	spares          []netip.AddrPort
	balancersDigest uint64
	partDigest      uint64
	configuration   lentilconfig.Configuration
	version         uint64
	changes         Changes
	// nextSearchAt is when more balancers are looked for.
	nextSearchAt  time.Time
	searchBackoff lentilbudget.Backoff
}

// Changes says what answers have brought since it was last asked for.
type Changes struct {
	// Configuration is true when there is a newer configuration.
	Configuration bool
	// Peers is true when the agents of the same service, or their loads, changed.
	Peers bool
	// Balancers is true when there are other balancers to turn to.
	Balancers bool
}

// holder is a balancer that holds, or shall hold, the agent's lease.
type holder struct {
	controlAddress netip.AddrPort
	dueAt          time.Time
	inFlight       bool
	// named is false for a balancer that is tried only until others are named.
	named       bool
	sentVersion uint64
	peersDigest uint64
	peers       []lentilrecord.Record
	lastSeen    time.Time
	backoff     lentilbudget.Backoff
}

// Heartbeat is a heartbeat that the announcer asks its shell to send.
type Heartbeat struct {
	// To is the address of the balancer to call.
	To      netip.AddrPort
	Request *lentilcontrolpb.AnnounceRequest
}

// SetRecord sets what is announced. Owner and addresses must stay the same; the version
// is the announcer's to make, one for each significant change.
func (a *Announcer) SetRecord(doc lentilrecord.Doc) {
	doc.Version = a.doc.Version
	if a.isSignificant(doc) {
		doc.Version++
		a.announcedAt = a.now()
		a.makeAllDue()
	}
	former := a.doc
	a.doc = doc
	if doc.Version == former.Version {
		// What was announced under a version stays as it is, but for the load.
		a.doc = former
		a.doc.Load = doc.Load
	}
}

// isSignificant reports whether a document deserves a new version.
func (a *Announcer) isSignificant(doc lentilrecord.Doc) bool {
	if a.doc.Version == 0 {
		return true
	}
	bare := doc
	bare.Weight = a.doc.Weight
	bare.Load = a.doc.Load
	if bare != a.doc || (doc.Weight == 0) != (a.doc.Weight == 0) {
		return true
	}
	change := max(doc.Weight, a.doc.Weight) - min(doc.Weight, a.doc.Weight)
	large := change > 0 && change >= a.doc.Weight/weightChangeDivisor
	return large || (change > 0 && a.now().Sub(a.announcedAt) >= minorWeightDelay)
}

// makeAllDue makes the heartbeats due at once to all holders that have not failed.
func (a *Announcer) makeAllDue() {
	for _, h := range a.holders {
		if h.backoff.Failures() == 0 {
			h.dueAt = a.now()
		}
	}
}

// Tick returns the heartbeats that are due.
func (a *Announcer) Tick() (beats []Heartbeat) {
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
		beats = append(beats, Heartbeat{To: h.controlAddress, Request: a.newRequest(h)})
	}
	return beats
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

// addFallbackHolders adds balancers to turn to while too few answer, at a falling rate.
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
		for _, place := range a.permutation(len(list)) {
			if answering < leaseHolderCount && a.findHolder(list[place]) == nil && len(a.holders) < leaseHolderCount+spareBalancerCount {
				a.holders = append(a.holders, a.newHolder(list[place]))
				answering++
			}
		}
	}
	a.searchBackoff.Random = a.Random
	a.nextSearchAt = a.now().Add(a.searchBackoff.Next())
}

// shouldDrop reports whether a balancer that nobody named has failed repeatedly.
func (h *holder) shouldDrop() bool {
	return !h.named && !h.inFlight && h.backoff.Failures() >= suspectFailures
}

func (a *Announcer) newHolder(control netip.AddrPort) *holder {
	h := &holder{controlAddress: control, dueAt: a.now()}
	h.backoff = lentilbudget.Backoff{Base: DefaultHeartbeatInterval, Max: maxHolderRetryDelay, Random: a.Random}
	return h
}

func (a *Announcer) findHolder(control netip.AddrPort) *holder {
	for _, h := range a.holders {
		if h.controlAddress == control {
			return h
		}
	}
	return nil
}

// HandleOutcome takes in what came of a heartbeat. The response is nil after a failure.
func (a *Announcer) HandleOutcome(beat Heartbeat, response *lentilcontrolpb.AnnounceResponse) {
	h := a.findHolder(beat.To)
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

// handleFailure puts a holder off.
func (a *Announcer) handleFailure(h *holder) {
	h.dueAt = a.now().Add(a.heartbeatInterval()/2 + h.backoff.Next())
}

// applyConfiguration moves forward only. A new version whose part for this agent
// is the same is in force at once.
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
	for _, control := range named {
		if a.findHolder(control) == nil {
			a.holders = append(a.holders, a.newHolder(control))
		}
	}
	for _, h := range a.holders {
		h.named = slices.Contains(named, h.controlAddress)
	}
	a.holders = slices.DeleteFunc(a.holders, func(h *holder) bool { return !h.named })
	a.changes.Balancers = true
}

// TakeChanges returns what answers have brought since the last call.
func (a *Announcer) TakeChanges() (changes Changes) {
	changes = a.changes
	a.changes = Changes{}
	return changes
}

// Configuration returns the agent's part of the configuration in force.
func (a *Announcer) Configuration() lentilconfig.Configuration { return a.configuration }

// Version returns the version of the configuration in force.
func (a *Announcer) Version() uint64 { return a.version }

// Peers returns the other agents of the same service, with their latest loads, in
// order of their incarnations.
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

// Balancers returns the balancers that hold the lease, then the spares.
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

// Acknowledged reports whether some holder knows the latest version of the record.
func (a *Announcer) Acknowledged() bool {
	return slices.ContainsFunc(a.holders, func(h *holder) bool {
		return h.sentVersion == a.doc.Version && !h.inFlight && h.backoff.Failures() == 0 && !h.lastSeen.IsZero()
	})
}

func (a *Announcer) now() time.Time { return lentilclock.OrSystem(a.Clock).Now() }

func (a *Announcer) heartbeatInterval() time.Duration {
	return cmp.Or(a.HeartbeatInterval, DefaultHeartbeatInterval)
}

// jitteredInterval returns a time between three quarters and five quarters of a heartbeat.
func (a *Announcer) jitteredInterval() time.Duration {
	return a.heartbeatInterval()*3/4 + time.Duration(a.randomInt(int(a.heartbeatInterval()/2)))
}

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
