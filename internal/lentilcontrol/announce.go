package lentilcontrol

import (
	"encoding/binary"
	"errors"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilmember"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// Numbers of balancers assigned to an agent.
const (
	// leaseHolderCount is how many balancers hold the lease of an agent.
	leaseHolderCount = 2
	// spareBalancerCount is how many further balancers are named to an agent as spares.
	spareBalancerCount = 3
	// agentsPerHolderGroup is about how many agents of one service share the same lease
	// holders at most.
	agentsPerHolderGroup = 32
)

// errJustResumed is the answer to heartbeats that may have been queued while this process was
// paused.
var errJustResumed = errors.New("balancer was paused and is resynchronizing; try another balancer")

// HandleAnnounce processes the heartbeat of an agent and renews its lease. The answer holds
// what the agent lacks: the configuration, the other agents of its service, and the balancers
// assigned to it.
func (n *Node) HandleAnnounce(request *lentilcontrolpb.AnnounceRequest) (response *lentilcontrolpb.AnnounceResponse, err error) {
	n.detectPause()
	if n.justResumed() {
		return nil, errJustResumed
	}
	r := fromRecord(request.GetRecord())
	n.records.RenewLease(r, request.GetBeat(), request.GetConfigurationVersion())
	n.propagateChanges(0)
	response = &lentilcontrolpb.AnnounceResponse{ConfigurationVersion: n.configuration.Version()}
	if r.Phase() == lentilrecord.Gone {
		return response, nil
	}
	if err = n.answerConfiguration(r, request, response); err != nil {
		return nil, err
	}
	n.answerPeers(r, request, response)
	n.answerBalancers(r, request, response)
	return response, nil
}

func (n *Node) answerConfiguration(r lentilrecord.Record, request *lentilcontrolpb.AnnounceRequest, response *lentilcontrolpb.AnnounceResponse) (err error) {
	if request.GetConfigurationVersion() >= n.configuration.Version() {
		return nil
	}
	p, err := n.serviceParts.get(n.configuration.Configuration(), n.serviceOf(r))
	if err != nil {
		return err
	}
	response.ConfigurationDigest = p.digest
	if p.digest != request.GetConfigurationDigest() {
		response.Configuration = p.body
	}
	return nil
}

// serviceOf returns the service of a record. An agent that has just started knows only the
// name of its copy, and learns the number of its service from the service part.
func (n *Node) serviceOf(r lentilrecord.Record) (service lentilid.Service) {
	if r.Service() != 0 {
		return r.Service()
	}
	if configured := n.configuration.Configuration().Copy(r.Owner().Copy); configured != nil {
		return configured.Service()
	}
	return 0
}

func (n *Node) answerPeers(r lentilrecord.Record, request *lentilcontrolpb.AnnounceRequest, response *lentilcontrolpb.AnnounceResponse) {
	peers := n.records.LeasedRecords(r.Service())
	response.PeersDigest = peersDigest(peers)
	changed := response.PeersDigest != request.GetPeersDigest()
	for _, other := range peers {
		response.Loads = append(response.Loads, uint32(other.Load()))
		if changed {
			response.Peers = append(response.Peers, toRecord(other))
		}
	}
}

// peersDigest hashes the owners and versions of records without their loads, which are sent
// with every answer.
func peersDigest(peers []lentilrecord.Record) uint64 {
	var data []byte
	for _, r := range peers {
		data = binary.LittleEndian.AppendUint64(data, uint64(r.Owner().Incarnation))
		data = binary.LittleEndian.AppendUint64(data, r.Version())
	}
	return xxhash.Sum64(data)
}

func (n *Node) answerBalancers(r lentilrecord.Record, request *lentilcontrolpb.AnnounceRequest, response *lentilcontrolpb.AnnounceResponse) {
	named := n.holdersOf(r)
	response.BalancersDigest = named.digest
	if named.digest != request.GetBalancersDigest() {
		response.Holders = toEndpoints(named.holders)
		response.Spares = toEndpoints(named.spares)
	}
}

// holderCache caches the chosen lease holders until the living members change.
type holderCache struct {
	epoch   uint64
	choices map[holderKey]holderChoice
}

// holderKey determines the lease holders of an agent. It is the same for all agents of a
// service in a region, so their lease holders receive the loads of all of them directly. A
// service with many copies is divided into groups.
type holderKey struct {
	region  string
	service lentilid.Service
	group   uint64
}

// holderChoice holds the balancers that are named to an agent.
type holderChoice struct {
	holders, spares []lentilmember.Doc
	// digest is the hash of both lists.
	digest uint64
}

// holdersOf returns the balancers that are named to an agent. They are chosen again when the
// living members change.
func (n *Node) holdersOf(r lentilrecord.Record) holderChoice {
	if epoch := n.membership.Epoch(); n.holderCache.epoch != epoch || n.holderCache.choices == nil {
		n.holderCache = holderCache{epoch: epoch, choices: map[holderKey]holderChoice{}}
	}
	key := holderKey{region: n.regionOf(r), service: r.Service(), group: n.holderGroup(r)}
	choice, ok := n.holderCache.choices[key]
	if !ok {
		choice = n.chooseHolders(key)
		n.holderCache.choices[key] = choice
	}
	return choice
}

// chooseHolders returns the lease holders for a key, and spares for when these fail.
func (n *Node) chooseHolders(key holderKey) (choice holderChoice) {
	hash := xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(key.service)<<32|key.group))
	choice.holders = n.membership.LeaseHolders(key.region, hash, leaseHolderCount)
	for _, doc := range n.membership.LeaseHolders(key.region, ^hash, leaseHolderCount+spareBalancerCount) {
		isHolder := slices.ContainsFunc(choice.holders, func(h lentilmember.Doc) bool { return h.RunID == doc.RunID })
		if !isHolder && len(choice.spares) < spareBalancerCount {
			choice.spares = append(choice.spares, doc)
		}
	}
	choice.digest = balancersDigest(choice.holders, choice.spares)
	return choice
}

func balancersDigest(lists ...[]lentilmember.Doc) uint64 {
	var data []byte
	for _, list := range lists {
		for _, doc := range list {
			data = binary.LittleEndian.AppendUint64(data, uint64(doc.RunID))
		}
		data = append(data, 0)
	}
	return xxhash.Sum64(data)
}

// holderGroup returns the group of a record's copy among those of its service, by a hash of
// the copy's name.
func (n *Node) holderGroup(r lentilrecord.Record) uint64 {
	copies := len(n.configuration.Configuration().CopiesOf(r.Service()))
	groups := uint64(1) << bits.Len(uint(copies/agentsPerHolderGroup))
	return xxhash.Sum64String(r.Owner().Copy) & (groups - 1)
}

// regionOf returns the region of a record's failure domain. If it isn't known or no member is
// alive in it, regionOf returns this node's region.
func (n *Node) regionOf(r lentilrecord.Record) string {
	domain := n.configuration.Configuration().Domain(r.Doc().Domain)
	if domain == nil || !n.membership.HasAliveMember(domain.Region()) {
		return n.region()
	}
	return domain.Region()
}

// Configuration returns the configuration in force.
func (n *Node) Configuration() lentilconfig.Configuration { return n.configuration.Configuration() }

// IsReader reports whether this node is chosen to read the platform.
func (n *Node) IsReader() bool {
	if epoch := n.membership.Epoch(); epoch != n.readerChoice.epoch {
		readers := n.membership.PlatformReaders(readersPerRegion)
		n.readerChoice.epoch = epoch
		n.readerChoice.chosen = slices.ContainsFunc(readers, func(d lentilmember.Doc) bool { return d.RunID == n.Self.RunID })
	}
	return n.readerChoice.chosen
}

// Ready reports whether the node may receive packets: it has a configuration and is in sync
// with a peer. A node that knows no other member needs no peer if it has no seeds, or after
// seedTimeout.
func (n *Node) Ready() bool {
	if n.configuration.Version() == 0 || n.leaving {
		return false
	}
	alone := len(n.membership.AliveMembers()) == 1 && n.now().Sub(n.startedAt) > seedTimeout
	return !n.syncedAt.IsZero() || alone || (len(n.Seeds) == 0 && len(n.membership.AliveMembers()) == 1)
}

// Leave marks this member as leaving. The next calls pass this on to the others.
func (n *Node) Leave() {
	n.leaving = true
	n.membership.Leave()
	n.propagateChanges(0)
}
