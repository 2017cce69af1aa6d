package lentilcontrol

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilmember"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// Numbers of balancers named to an agent.
const (
	// leaseHolders is how many balancers hold the lease of an agent.
	leaseHolders = 2
	// leaseSpares is how many others an agent is told of.
	leaseSpares = 3
	// agentsPerHolder is about how many agents of one service share their holders.
	agentsPerHolder = 32
)

// Announce answers the heartbeat of an agent.
func (n *Node) Announce(request *lentilcontrolpb.AnnounceRequest) (response *lentilcontrolpb.AnnounceResponse, err error) {
	r := fromRecord(request.GetRecord())
	n.records.Renew(r, request.GetBeat(), request.GetConfigurationVersion())
	n.absorb(0)
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
	p, err := n.parts.get(n.configuration.Configuration(), n.serviceOf(r))
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
	peers := n.records.Peers(r.Service())
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
	region := n.regionOf(r)
	holders := n.table.Holders(region, n.holderKey(r), leaseHolders)
	spares := n.spares(region, r, holders)
	response.BalancersDigest = balancersDigest(holders, spares)
	if response.BalancersDigest != request.GetBalancersDigest() {
		response.Holders = toEndpoints(holders)
		response.Spares = toEndpoints(spares)
	}
}

func balancersDigest(holders, spares []lentilmember.Doc) uint64 {
	var rows []byte
	for _, list := range [][]lentilmember.Doc{holders, spares} {
		for _, doc := range list {
			rows = binary.LittleEndian.AppendUint64(rows, uint64(doc.Run))
		}
		rows = append(rows, 0)
	}
	return xxhash.Sum64(rows)
}

// spares returns members that are no holders of the agent's lease.
func (n *Node) spares(region string, r lentilrecord.Record, holders []lentilmember.Doc) (spares []lentilmember.Doc) {
	key := xxhash.Sum64String(r.Owner().Copy)
	for _, doc := range n.table.Holders(region, key, leaseHolders+leaseSpares) {
		held := false
		for _, holder := range holders {
			held = held || holder.Run == doc.Run
		}
		if !held && len(spares) < leaseSpares {
			spares = append(spares, doc)
		}
	}
	return spares
}

// regionOf returns the region of a record's failure domain, if members live there.
func (n *Node) regionOf(r lentilrecord.Record) string {
	domain := n.configuration.Configuration().Domain(r.Doc().Domain)
	if domain == nil || len(n.table.Holders(domain.Region(), 0, 1)) == 0 {
		return n.region()
	}
	return domain.Region()
}

// holderKey is the same for the agents of a service, so that its lease holders
// know the loads of all of them at first hand. A service with many copies is
// divided by the names of the copies.
func (n *Node) holderKey(r lentilrecord.Record) uint64 {
	groups := uint64(1) << bits.Len(uint(len(n.configuration.Configuration().CopiesOf(r.Service()))/agentsPerHolder))
	group := xxhash.Sum64String(r.Owner().Copy) & (groups - 1)
	return uint64(r.Service())<<32 | group
}

// Configuration returns the configuration in force.
func (n *Node) Configuration() lentilconfig.Configuration { return n.configuration.Configuration() }

// Reader reports whether this node shall read the platform.
func (n *Node) Reader() bool {
	for _, doc := range n.table.Readers(readersPerRegion) {
		if doc.Run == n.Self.Run {
			return true
		}
	}
	return false
}

// Ready reports whether the node may take packets: it holds a configuration and
// has compared itself with another member, or there is none.
func (n *Node) Ready() bool {
	if n.configuration.Version() == 0 || n.leaving {
		return false
	}
	alone := len(n.table.Alive()) == 1 && n.now().Sub(n.started) > aloneTime
	return !n.synced.IsZero() || alone || (len(n.Seeds) == 0 && len(n.table.Alive()) == 1)
}

// Leave tells the others that this member ends. The next calls carry it.
func (n *Node) Leave() {
	n.leaving = true
	n.table.Leave()
	n.absorb(0)
}
