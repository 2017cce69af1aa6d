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
	// DefaultHeartbeat is the time between heartbeats.
	DefaultHeartbeat = time.Second
	// weightStep is the change of weight, as a divisor of the weight announced,
	// from which on it is announced at once; smaller changes wait for weightPause.
	weightStep  = 8
	weightPause = 5 * time.Second
	// holderRetryMax bounds the delay between heartbeats to a holder that fails.
	holderRetryMax = 8 * time.Second
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
	// Heartbeat is the time between heartbeats; 0 means DefaultHeartbeat.
	Heartbeat time.Duration

	doc           lentilrecord.Doc
	announced     time.Time
	beat          uint64
	holders       []*holder
	spares        []netip.AddrPort
	digest        uint64
	part          uint64
	configuration lentilconfig.Configuration
	version       uint64
	changes       Changes
	// search is when more balancers are looked for.
	search    time.Time
	searching lentilbudget.Backoff
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
	control  netip.AddrPort
	due      time.Time
	inFlight bool
	// wanted is false for a balancer that is tried only until others are named.
	wanted  bool
	told    uint64
	digest  uint64
	peers   []lentilrecord.Record
	heard   time.Time
	backoff lentilbudget.Backoff
}

// Beat is a heartbeat that the announcer asks its shell to send.
type Beat struct {
	// To is the address of the balancer to call.
	To      netip.AddrPort
	Request *lentilcontrolpb.AnnounceRequest
}

// Set sets what is announced. Owner and addresses must stay the same; the version
// is the announcer's to make, one for each significant change.
func (a *Announcer) Set(doc lentilrecord.Doc) {
	doc.Version = a.doc.Version
	if a.significant(doc) {
		doc.Version++
		a.announced = a.now()
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

// significant reports whether a document deserves a new version.
func (a *Announcer) significant(doc lentilrecord.Doc) bool {
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
	large := change > 0 && change >= a.doc.Weight/weightStep
	return large || (change > 0 && a.now().Sub(a.announced) >= weightPause)
}

// makeAllDue makes the heartbeats due at once to all holders that have not failed.
func (a *Announcer) makeAllDue() {
	for _, h := range a.holders {
		if h.backoff.Failures() == 0 {
			h.due = a.now()
		}
	}
}

// Tick returns the heartbeats that are due.
func (a *Announcer) Tick() (beats []Beat) {
	if a.doc.Version == 0 {
		return nil
	}
	a.replenish()
	now := a.now()
	for _, h := range a.holders {
		if h.inFlight || now.Before(h.due) {
			continue
		}
		h.inFlight = true
		h.due = now.Add(a.jitter())
		a.beat++
		beats = append(beats, Beat{To: h.control, Request: a.request(h)})
	}
	return beats
}

func (a *Announcer) request(h *holder) *lentilcontrolpb.AnnounceRequest {
	h.told = a.doc.Version
	return &lentilcontrolpb.AnnounceRequest{
		Record:               toRecord(lentilrecord.New(a.doc)),
		Beat:                 a.beat,
		ConfigurationVersion: a.version,
		ConfigurationDigest:  a.part,
		PeersDigest:          h.digest,
		BalancersDigest:      a.digest,
	}
}

// replenish adds balancers to turn to while too few answer, at a falling rate.
func (a *Announcer) replenish() {
	answering := 0
	for _, h := range a.holders {
		if h.backoff.Failures() == 0 {
			answering++
		}
	}
	if answering >= leaseHolders || a.now().Before(a.search) {
		return
	}
	a.holders = slices.DeleteFunc(a.holders, func(h *holder) bool { return h.useless() })
	for _, list := range [][]netip.AddrPort{a.spares, a.Seeds} {
		for _, place := range a.shuffled(len(list)) {
			if answering < leaseHolders && a.holder(list[place]) == nil && len(a.holders) < leaseHolders+leaseSpares {
				a.holders = append(a.holders, a.newHolder(list[place]))
				answering++
			}
		}
	}
	a.searching.Random = a.Random
	a.search = a.now().Add(a.searching.Next())
}

// useless reports whether a balancer that nobody named has failed repeatedly.
func (h *holder) useless() bool {
	return !h.wanted && !h.inFlight && h.backoff.Failures() >= suspectFailures
}

func (a *Announcer) newHolder(control netip.AddrPort) *holder {
	h := &holder{control: control, due: a.now()}
	h.backoff = lentilbudget.Backoff{Base: DefaultHeartbeat, Max: holderRetryMax, Random: a.Random}
	return h
}

func (a *Announcer) holder(control netip.AddrPort) *holder {
	for _, h := range a.holders {
		if h.control == control {
			return h
		}
	}
	return nil
}

// Outcome takes in what came of a heartbeat. The response is nil after a failure.
func (a *Announcer) Outcome(beat Beat, response *lentilcontrolpb.AnnounceResponse) {
	h := a.holder(beat.To)
	if h == nil {
		return
	}
	h.inFlight = false
	if response == nil {
		a.failed(h)
		return
	}
	h.backoff.Reset()
	a.searching.Reset()
	h.heard = a.now()
	if h.told != a.doc.Version {
		h.due = a.now()
	}
	a.learnConfiguration(response)
	a.learnPeers(h, response)
	a.learnBalancers(response)
}

// failed puts a holder off.
func (a *Announcer) failed(h *holder) {
	h.due = a.now().Add(a.heartbeat()/2 + h.backoff.Next())
}

// learnConfiguration moves forward only. A new version whose part for this agent
// is the same is in force at once.
func (a *Announcer) learnConfiguration(response *lentilcontrolpb.AnnounceResponse) {
	if response.GetConfigurationVersion() <= a.version {
		return
	}
	if len(response.GetConfiguration()) == 0 {
		if response.GetConfigurationDigest() == a.part && a.part != 0 {
			a.version = response.GetConfigurationVersion()
		}
		return
	}
	configuration, digest, err := openPart(response.GetConfiguration())
	if err != nil || configuration.Version() <= a.version {
		return
	}
	a.configuration = configuration
	a.part = digest
	a.version = configuration.Version()
	a.changes.Configuration = true
}

func (a *Announcer) learnPeers(h *holder, response *lentilcontrolpb.AnnounceResponse) {
	if response.GetPeersDigest() != h.digest {
		h.peers = nil
		for _, message := range response.GetPeers() {
			h.peers = append(h.peers, fromRecord(message))
		}
		h.digest = response.GetPeersDigest()
	}
	if len(response.GetLoads()) != len(h.peers) {
		h.digest = 0
		return
	}
	for i, load := range response.GetLoads() {
		doc := h.peers[i].Doc()
		doc.Load = uint16(min(load, 0xffff))
		h.peers[i] = lentilrecord.New(doc)
	}
	a.changes.Peers = true
}

func (a *Announcer) learnBalancers(response *lentilcontrolpb.AnnounceResponse) {
	if response.GetBalancersDigest() == a.digest || len(response.GetHolders()) == 0 {
		return
	}
	a.digest = response.GetBalancersDigest()
	a.spares = fromEndpoints(response.GetSpares())
	named := fromEndpoints(response.GetHolders())
	for _, control := range named {
		if a.holder(control) == nil {
			a.holders = append(a.holders, a.newHolder(control))
		}
	}
	for _, h := range a.holders {
		h.wanted = slices.Contains(named, h.control)
	}
	a.holders = slices.DeleteFunc(a.holders, func(h *holder) bool { return !h.wanted })
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
	slices.SortStableFunc(holders, func(one, other *holder) int { return one.heard.Compare(other.heard) })
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
		balancers = append(balancers, h.control)
	}
	for _, spare := range a.spares {
		if !slices.Contains(balancers, spare) {
			balancers = append(balancers, spare)
		}
	}
	return balancers
}

// Told reports whether some holder knows the latest version of the record.
func (a *Announcer) Told() bool {
	return slices.ContainsFunc(a.holders, func(h *holder) bool {
		return h.told == a.doc.Version && !h.inFlight && h.backoff.Failures() == 0 && !h.heard.IsZero()
	})
}

func (a *Announcer) now() time.Time { return lentilclock.OrSystem(a.Clock).Now() }

func (a *Announcer) heartbeat() time.Duration { return cmp.Or(a.Heartbeat, DefaultHeartbeat) }

// jitter returns a time between three quarters and five quarters of a heartbeat.
func (a *Announcer) jitter() time.Duration {
	return a.heartbeat()*3/4 + time.Duration(a.draw(int(a.heartbeat()/2)))
}

func (a *Announcer) draw(bound int) int {
	if a.Random == nil {
		return rand.IntN(bound)
	}
	return a.Random.IntN(bound)
}

func (a *Announcer) shuffled(length int) []int {
	if a.Random == nil {
		return rand.Perm(length)
	}
	return a.Random.Perm(length)
}
