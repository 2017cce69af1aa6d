// Package lentilledger holds the lists of open flows that outlive a loss of power, and decides who writes them to the
// store, and when.
//
// Each agent has a ledger. An agent that wrote its own whenever it changed would make most of the store's calls, so agents
// report what changed to a balancer of their failure domain, the writer of their group, which stores the ledgers of all
// agents of the group in one object. Nobody is elected: agents choose the writer by rendezvous hashing among the balancers
// that they hear. Two agents with different views have two writers, which costs writes that conflict, and nothing more. An
// agent whose reports aren't acknowledged in time writes its own ledger.
//
// A ledger is a hint: it tells an agent that starts again which flows to reset or to take over. An agent never concludes
// from a ledger of its group that it knows all flows of its upstream.
package lentilledger

import (
	"cmp"
	"encoding/binary"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// flowRecordSize is the size in bytes of an encoded flow.
const flowRecordSize = 16

// ErrLedger is the type of errors about ledgers that can't be parsed. Its namespace, which is part of the printed
// errors, is an earlier name of this package.
var ErrLedger = errorx.NewNamespace("lentilcustody").NewType("ledger")

// Ledger is the stored list of an upstream's flows, which outlives the agent. After a whole machine has lost
// power, it lets the restarted agent reset the flows at once. Otherwise clients would notice only when they next
// send on a flow, and a request that may not be repeated would be lost with it.
type Ledger struct {
	// Service and Address are those of the agent that wrote the ledger.
	Service string
	Address lentilflow.Endpoint
	// Era is the era of the store, as far as the agent knew, in which the ledger was written.
	Era uint64
	// UpstreamID and UpstreamIncarnation identify the run of the upstream.
	UpstreamID          string
	UpstreamIncarnation int64
	// Run is the number of the run of the agent that wrote the ledger, and Sequence counts its ledgers and reports. Ledgers
	// of earlier releases have neither.
	Run, Sequence uint64
	Flows         []Flow
}

// NewerThan reports whether the agent has written the ledger after another one of its own.
func (l *Ledger) NewerThan(other *Ledger) bool {
	return cmp.Or(cmp.Compare(l.Run, other.Run), cmp.Compare(l.Sequence, other.Sequence)) > 0
}

// Flow is a flow and the last acknowledgement number of its client.
type Flow struct {
	Key          lentilflow.Key
	Acknowledged uint32
}

// Latest returns the latest ledger of an agent: its own, which is empty if there is none, or that in its group. run is the
// number of the agent's next run. An agent of an earlier release writes its own without a run; it is then the later one,
// since this release reports to the group only after it has read both.
func Latest(own Ledger, group []Entry, agent string) (latest Ledger, fromGroup bool, run uint64) {
	latest, run = own, own.Run+1
	for _, e := range group {
		if e.Agent != agent {
			continue
		}
		run = max(run, e.Ledger.Run+1)
		if withoutRun := own.Service != "" && own.Run == 0; !withoutRun && e.Ledger.NewerThan(&own) {
			latest, fromGroup = e.Ledger, true
		}
	}
	return latest, fromGroup, run
}

// AppendFlows appends the encoded flows to dst, 16 bytes each.
func (l Ledger) AppendFlows(dst []byte) []byte {
	for _, f := range l.Flows {
		for _, endpoint := range []lentilflow.Endpoint{f.Key.Client(), f.Key.Service()} {
			address := endpoint.Address()
			dst = binary.BigEndian.AppendUint16(append(dst, address[:]...), endpoint.Port())
		}
		dst = binary.BigEndian.AppendUint32(dst, f.Acknowledged)
	}
	return dst
}

// ParseFlows parses flows that AppendFlows encoded.
func ParseFlows(data []byte) (flows []Flow, err error) {
	if len(data)%flowRecordSize != 0 {
		return nil, ErrLedger.New("length of %d bytes is not a multiple of the flow record size", len(data))
	}
	const clientPortOffset, serviceOffset, servicePortOffset, acknowledgedOffset = 4, 6, 10, 12
	for ; len(data) > 0; data = data[flowRecordSize:] {
		flows = append(flows, Flow{
			Key: lentilflow.NewKey(
				lentilflow.NewEndpoint([4]byte(data), binary.BigEndian.Uint16(data[clientPortOffset:])),
				lentilflow.NewEndpoint([4]byte(data[serviceOffset:]), binary.BigEndian.Uint16(data[servicePortOffset:]))),
			Acknowledged: binary.BigEndian.Uint32(data[acknowledgedOffset:]),
		})
	}
	return flows, nil
}
