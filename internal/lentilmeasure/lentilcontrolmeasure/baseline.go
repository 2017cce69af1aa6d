package lentilcontrolmeasure

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// fullStatePropagator propagates records by sending all records of a node to random peers
// each second. With a fan-out to all peers it is full-state push. With a fan-out of one it is
// plain gossip, and the peer answers with all its records. It uses the product's record
// store, and counts bytes in the product's encoding.
type fullStatePropagator struct {
	clock      lentilclock.Fake
	random     *rand.Rand
	fanOut     int
	stores     []*lentilrecord.Store
	nextRounds []time.Time
	versions   []uint64
	sent       int
}

func newFullStatePropagator(seed uint64, nodes, fanOut int) *fullStatePropagator {
	b := &fullStatePropagator{
		random:   rand.New(rand.NewPCG(seed, uint64(nodes))),
		fanOut:   min(fanOut, nodes-1),
		versions: make([]uint64, nodes*agentsPerNode),
	}
	owners := make([]lentilid.Incarnation, len(b.versions))
	for agent := range b.versions {
		owners[agent] = lentilid.Incarnation(agentIncarnation(agent))
	}
	for range nodes {
		store := &lentilrecord.Store{Clock: &b.clock}
		// Every record counts as attested, because the store does not advertise unattested records.
		store.SetAttestor(1, lentilrecord.Attestor{Owners: owners, Reached: true})
		b.stores = append(b.stores, store)
		b.nextRounds = append(b.nextRounds, b.clock.Now().Add(time.Duration(b.random.Int64N(int64(time.Second)))))
	}
	for agent := range b.versions {
		b.changeRecord(agent)
	}
	return b
}

func (b *fullStatePropagator) changeRecord(agent int) {
	b.versions[agent]++
	for _, holder := range []int{agent % len(b.stores), (agent + 1) % len(b.stores)} {
		b.stores[holder].Apply(recordFromMessage(recordMessage(agent, b.versions[agent])))
	}
}

// recordFromMessage returns the record that a message encodes.
func recordFromMessage(message *lentilcontrolpb.Record) lentilrecord.Record {
	address := func(e *lentilcontrolpb.Endpoint) netip.AddrPort {
		a := e.GetAddress()
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)}), uint16(e.GetPort()))
	}
	return lentilrecord.New(lentilrecord.Doc{
		Owner:   lentilrecord.Owner{Copy: message.GetCopy(), Incarnation: lentilid.Incarnation(message.GetIncarnation())},
		Version: message.GetVersion(),
		Service: lentilid.Service(message.GetService()),
		Domain:  lentilid.Domain(message.GetDomain()),
		Tunnel:  address(message.GetTunnel()),
		Control: address(message.GetControl()),
		Phase:   lentilrecord.Phase(message.GetPhase()),
		Weight:  uint16(message.GetWeight()),
	})
}

func (b *fullStatePropagator) advance(d time.Duration) {
	const step = 25 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		b.clock.Advance(step)
		for i := range b.stores {
			if !b.clock.Now().Before(b.nextRounds[i]) {
				b.nextRounds[i] = b.nextRounds[i].Add(time.Second)
				b.sendRound(i)
			}
		}
	}
}

// sendRound sends all records of a node to random peers.
func (b *fullStatePropagator) sendRound(from int) {
	records, size := b.heldRecords(from)
	for _, to := range b.random.Perm(len(b.stores) - 1)[:b.fanOut] {
		peer := (from + 1 + to) % len(b.stores)
		b.sent += size
		b.stores[peer].Apply(records...)
		if b.fanOut == 1 {
			answer, size := b.heldRecords(peer)
			b.sent += size
			b.stores[from].Apply(answer...)
		}
	}
}

// heldRecords returns all records of a node and the size of the message that carries them.
func (b *fullStatePropagator) heldRecords(node int) (records []lentilrecord.Record, size int) {
	message := &lentilcontrolpb.ExchangeRequest{Sender: uint64(node)}
	for agent := range b.versions {
		r, ok := b.stores[node].AdvertisedRecord(lentilid.Incarnation(agentIncarnation(agent)))
		if ok {
			records = append(records, r)
			message.Records = append(message.Records, recordMessage(agent, r.Version()))
		}
	}
	return records, proto.Size(message)
}

func (b *fullStatePropagator) knownEverywhere(agent int) bool {
	for _, store := range b.stores {
		if store.Rank(lentilid.Incarnation(agentIncarnation(agent))) < b.versions[agent] {
			return false
		}
	}
	return true
}

func (b *fullStatePropagator) sentBytes() int { return b.sent }
