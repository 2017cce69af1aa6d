package lentilcustody

import (
	"encoding/binary"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// minLedgerInterval is how often an agent writes its ledger at most, while balancers are few; beyond
	// ledgerBalancers the interval grows with their number, so that a large fleet writes no more in all.
	minLedgerInterval   = 5 * time.Second
	ledgerBaseBalancers = 16
	// minLedgerFlowAge is how old a flow must be to be written: most flows that last are used again, and
	// those of a single request are gone by then.
	minLedgerFlowAge = 2 * time.Second
	// ledgerChurnDivisor is how many flows must have come or gone since the last writing, as a share of all
	// flows: below it, what is written is good enough.
	ledgerChurnDivisor = 8
	// maxLedgerFlows bounds the flows in a ledger: 700 KB in the store.
	maxLedgerFlows = 1 << 15
	// maxStartupSequence is up to which registration an upstream counts as just started: machine and agent start
	// together, and an upstream that finds no agent yet calls again.
	maxStartupSequence = 3
	// flowRecordSize is the length of a flow in a ledger.
	flowRecordSize = 16
)

// ErrLedger is the type of errors about ledgers that can't be read.
var ErrLedger = errorx.NewNamespace("lentilcustody").NewType("ledger")

// Ledger is the list of an upstream's flows that outlives its agent. When all of a machine has lost its
// power, the flows' clients can then be told at once, and not only when they use their flows
// again: a request that may not be repeated would be lost with its flow.
type Ledger struct {
	// Service and Address are those of the agent that wrote it; Upstream and Born name the run of the upstream.
	Service             string
	Address             lentilflow.Endpoint
	UpstreamID          string
	UpstreamIncarnation int64
	Flows               []LedgerFlow
}

// LedgerFlow is a flow and what its client had acknowledged.
type LedgerFlow struct {
	Key          lentilflow.Key
	Acknowledged uint32
}

// AppendFlows appends the written form of the flows: 16 bytes each.
func (l Ledger) AppendFlows(dst []byte) []byte {
	for _, f := range l.Flows {
		for _, end := range []lentilflow.Endpoint{f.Key.Client(), f.Key.Service()} {
			address := end.Address()
			dst = binary.BigEndian.AppendUint16(append(dst, address[:]...), end.Port())
		}
		dst = binary.BigEndian.AppendUint32(dst, f.Acknowledged)
	}
	return dst
}

// ParseFlows reads the written form of flows.
func ParseFlows(data []byte) (flows []LedgerFlow, err error) {
	if len(data)%flowRecordSize != 0 {
		return nil, ErrLedger.New("%d bytes are no whole number of flows", len(data))
	}
	const portAt, serviceAt, servicePortAt, acknowledgedAt = 4, 6, 10, 12
	for ; len(data) > 0; data = data[flowRecordSize:] {
		flows = append(flows, LedgerFlow{
			Key: lentilflow.NewKey(
				lentilflow.NewEndpoint([4]byte(data), binary.BigEndian.Uint16(data[portAt:])),
				lentilflow.NewEndpoint([4]byte(data[serviceAt:]), binary.BigEndian.Uint16(data[servicePortAt:]))),
			Acknowledged: binary.BigEndian.Uint32(data[acknowledgedAt:]),
		})
	}
	return flows, nil
}

// matches reports whether the ledger is matches the given run matches an upstream.
func (l *Ledger) matches(u upstream) bool {
	return l.UpstreamID == u.id && l.UpstreamIncarnation == u.incarnation
}

// DueLedger returns what is to be written now, and reports whether it is. That a new run of the upstream
// is there is written at once, so that a later run of the agent can tell that this one may have let flows
// open there.
func (c *Tracker) DueLedger() (ledger Ledger, due bool) {
	now := c.now()
	if c.runMarkerDue {
		c.runMarkerDue = false
		return Ledger{Service: c.Service, Address: c.Address, UpstreamID: c.upstream.id, UpstreamIncarnation: c.upstream.incarnation}, true
	}
	interval := max(minLedgerInterval, minLedgerInterval*time.Duration(len(c.balancers))/ledgerBaseBalancers)
	if c.upstream.id == "" || c.previousLedger != nil || now.Sub(c.ledgerWrittenAt) < interval || c.churn == 0 || c.churn*ledgerChurnDivisor < c.openFlows {
		return ledger, false
	}
	c.ledgerWrittenAt, c.churn = now, 0
	ledger = Ledger{Service: c.Service, Address: c.Address, UpstreamID: c.upstream.id, UpstreamIncarnation: c.upstream.incarnation}
	for key, f := range c.flows {
		if f.state == open && now.Sub(f.openedAt) >= minLedgerFlowAge && len(ledger.Flows) < maxLedgerFlows {
			ledger.Flows = append(ledger.Flows, LedgerFlow{Key: key, Acknowledged: f.acknowledged})
		}
	}
	return ledger, true
}

// Restore takes the ledger that an earlier run of the agent has written. The flows are still there if the
// upstream is the same, and have ended with it if it is another one.
func (c *Tracker) Restore(ledger Ledger, actions []Action) []Action {
	if ledger.Service != c.Service || ledger.Address != c.Address {
		ledger = Ledger{}
	}
	c.previousLedger = &ledger
	return c.applyPreviousLedger(actions)
}

// applyPreviousLedger decides about the flows of the ledger as soon as the upstream has told which run it is.
func (c *Tracker) applyPreviousLedger(actions []Action) []Action {
	ledger := c.previousLedger
	if ledger == nil || c.upstream.id == "" {
		return actions
	}
	c.previousLedger = nil
	now := c.now()
	if c.upstream.sequence <= maxStartupSequence && !ledger.matches(c.upstream) {
		// No earlier run of the agent has known this run of the upstream.
		c.FlowsComplete = true
	}
	same := ledger.matches(c.upstream)
	for _, l := range ledger.Flows {
		if c.flows[l.Key] != nil {
			continue
		}
		f := &flow{acknowledged: l.Acknowledged, lastUsed: now}
		c.addFlow(l.Key, f)
		if same {
			c.setState(f, open)
			continue
		}
		c.setState(f, lost)
		actions = append(actions, Action{Kind: ResetClient, Cause: UpstreamReplaced, Key: l.Key, Sequence: l.Acknowledged})
	}
	return actions
}
