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

// Numbers of balancers named to an agent.
const (
	// leaseHolderCount is how many balancers hold the lease of an agent.
	leaseHolderCount = 2
	// spareBalancerCount is how many others an agent is told of.
	spareBalancerCount = 3
	// agentsPerHolderGroup is about how many agents of one service share their holders.
	agentsPerHolderGroup = 32
)

// errJustResumed refuses heartbeats that may have waited while this process was away.
var errJustResumed = errors.New("this node was away and learns anew; ask another one")

// HandleAnnounce answers the heartbeat of an agent.
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

// serviceOf returns the service of a record. An agent that has just started knows
// its copy by name only, and learns the number of the service from its part.
func (n *Node) serviceOf(r lentilrecord.Record) (service lentilid.Service) {
	if r.Service() != 0 {
		return r.Service()
	}
	if listed := n.configuration.Configuration().Copy(r.Owner().Copy); listed != nil {
		return listed.Service()
	}
	return 0
}

func (n *Node) answerPeers(r lentilrecord.Record, request *lentilcontrolpb.AnnounceRequest, response *lentilcontrolpb.AnnounceResponse) {
	peers := n.records.LeasedRecords(r.Service())
	response.PeersDigest = peersDigest(peers)
	differ := response.PeersDigest != request.GetPeersDigest()
	for _, other := range peers {
		response.Loads = append(response.Loads, uint32(other.Load()))
		if differ {
			response.Peers = append(response.Peers, toRecord(other))
		}
	}
}

// peersDigest hashes the owners and versions of records, not their loads.
func peersDigest(peers []lentilrecord.Record) uint64 {
	var rows []byte
	for _, r := range peers {
		rows = binary.LittleEndian.AppendUint64(rows, uint64(r.Owner().Incarnation))
		rows = binary.LittleEndian.AppendUint64(rows, r.Version())
	}
	return xxhash.Sum64(rows)
}

func (n *Node) answerBalancers(r lentilrecord.Record, request *lentilcontrolpb.AnnounceRequest, response *lentilcontrolpb.AnnounceResponse) {
	named := n.holdersOf(r)
	response.BalancersDigest = named.digest
	if named.digest != request.GetBalancersDigest() {
		response.Holders = toEndpoints(named.holders)
		response.Spares = toEndpoints(named.spares)
	}
}

// holderCache keeps the choice of lease holders while the members alive stay the same.
type holderCache struct {
	epoch   uint64
	choices map[holderKey]holderChoice
}

// holderKey is the same for the agents of a service, so that its lease holders know
// the loads of all of them at first hand. A service with many copies is divided.
type holderKey struct {
	region  string
	service lentilid.Service
	group   uint64
}

// holderChoice are the balancers that an agent is told of.
type holderChoice struct {
	holders, spares []lentilmember.Doc
	digest          uint64
}

// holdersOf returns the balancers that an agent is told of, chosen anew when members changed.
func (n *Node) holdersOf(r lentilrecord.Record) holderChoice {
	if epoch := n.membership.Epoch(); n.holderCache.epoch != epoch || n.holderCache.choices == nil {
		n.holderCache = holderCache{epoch: epoch, choices: map[holderKey]holderChoice{}}
	}
	key := holderKey{region: n.regionOf(r), service: r.Service(), group: n.holderGroup(r)}
	named, ok := n.holderCache.choices[key]
	if !ok {
		named = n.chooseHolders(key)
		n.holderCache.choices[key] = named
	}
	return named
}

// chooseHolders returns the lease holders for a key and other balancers to fall back on.
func (n *Node) chooseHolders(key holderKey) (named holderChoice) {
	hash := xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(key.service)<<32|key.group))
	named.holders = n.membership.LeaseHolders(key.region, hash, leaseHolderCount)
	for _, doc := range n.membership.LeaseHolders(key.region, ^hash, leaseHolderCount+spareBalancerCount) {
		held := slices.ContainsFunc(named.holders, func(h lentilmember.Doc) bool { return h.RunID == doc.RunID })
		if !held && len(named.spares) < spareBalancerCount {
			named.spares = append(named.spares, doc)
		}
	}
	named.digest = balancersDigest(named.holders, named.spares)
	return named
}

func balancersDigest(lists ...[]lentilmember.Doc) uint64 {
	var rows []byte
	for _, list := range lists {
		for _, doc := range list {
			rows = binary.LittleEndian.AppendUint64(rows, uint64(doc.RunID))
		}
		rows = append(rows, 0)
	}
	return xxhash.Sum64(rows)
}

// holderGroup divides the copies of a service by their names.
func (n *Node) holderGroup(r lentilrecord.Record) uint64 {
	copies := len(n.configuration.Configuration().CopiesOf(r.Service()))
	groups := uint64(1) << bits.Len(uint(copies/agentsPerHolderGroup))
	return xxhash.Sum64String(r.Owner().Copy) & (groups - 1)
}

// regionOf returns the region of a record's failure domain, if members live there.
func (n *Node) regionOf(r lentilrecord.Record) string {
	domain := n.configuration.Configuration().Domain(r.Doc().Domain)
	if domain == nil || !n.membership.HasAliveMember(domain.Region()) {
		return n.region()
	}
	return domain.Region()
}

// Configuration returns the configuration in force.
func (n *Node) Configuration() lentilconfig.Configuration { return n.configuration.Configuration() }

// IsReader reports whether this node shall read the platform.
func (n *Node) IsReader() bool {
	if epoch := n.membership.Epoch(); epoch != n.readerChoice.epoch {
		readers := n.membership.PlatformReaders(readersPerRegion)
		n.readerChoice.epoch = epoch
		n.readerChoice.chosen = slices.ContainsFunc(readers, func(d lentilmember.Doc) bool { return d.RunID == n.Self.RunID })
	}
	return n.readerChoice.chosen
}

// Ready reports whether the node may take packets: it holds a configuration and
// has compared itself with another member, or there is none.
func (n *Node) Ready() bool {
	if n.configuration.Version() == 0 || n.leaving {
		return false
	}
	alone := len(n.membership.AliveMembers()) == 1 && n.now().Sub(n.startedAt) > seedTimeout
	return !n.syncedAt.IsZero() || alone || (len(n.Seeds) == 0 && len(n.membership.AliveMembers()) == 1)
}

// Leave tells the others that this member ends. The next calls carry it.
func (n *Node) Leave() {
	n.leaving = true
	n.membership.Leave()
	n.propagateChanges(0)
}
