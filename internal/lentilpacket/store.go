// Package lentilpacket runs the balancer and the agent of packet flows, whose packets don't say which agent
// holds them. It connects the decisions of lentilplacement and lentilconntrack to sockets, timers and the store.
//
// One mutex serializes the events of a process. The actions that a decision returns are performed before the
// next event is handled. Sending doesn't block, since all messages are datagrams.
package lentilpacket

import (
	"context"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilfollow"
	"lentilstair.example/lentilstair/pkg/lentilledger"
)

// Peer is a process's entry in a directory of the store.
type Peer struct {
	Node lentilflow.Node
	// Service is the service of an agent's upstream; empty for balancers.
	Service string
	// Stopping is set once the process was asked to stop.
	Stopping bool
}

// Store gives the processes access to the store.
type Store struct {
	// NotifyEra sets the function that is called with each later era that the store's answers tell. It is called
	// before the first call to the store.
	NotifyEra func(handle func(era uint64))
	// Configuration reads the configuration, which is one object at most.
	Configuration lentilfollow.Source[lentilflow.Configuration]
	// DomainsOut reads the names of the failure domains that operators have taken out of service.
	DomainsOut lentilfollow.Source[struct{}]
	// Balancers and Agents list the processes of each kind.
	Balancers, Agents Directory
	Ledgers           Ledgers
	Groups            LedgerGroups
}

// Ledgers stores the agents' lists of flows by agent name.
type Ledgers struct {
	Save func(ctx context.Context, name string, ledger lentilledger.Ledger) error
	// Load returns a ledger and the era of the store in which it was read. The ledger is empty if there is none.
	Load func(ctx context.Context, name string) (ledger lentilledger.Ledger, era uint64, err error)
}

// LedgerGroups stores the ledgers of groups of agents.
type LedgerGroups struct {
	// Load returns the ledgers of a group and the revision of its object, which is 0 if there is none.
	Load func(ctx context.Context, group string) (entries []lentilledger.Entry, revision uint64, err error)
	// Save writes the ledgers of a group if its object still has the given revision, or if there is none for 0. It returns
	// the new revision, or 0 if the store doesn't tell it.
	Save func(ctx context.Context, group string, entries []lentilledger.Entry, revision uint64) (next uint64, err error)
}

// Directory lists processes, so they can find each other.
type Directory struct {
	// Publish writes a process's own entry. It does nothing if the store already has the same entry.
	Publish func(ctx context.Context, self Peer) error
	// List returns all entries, including those of processes that have ended.
	List func(ctx context.Context) ([]Peer, error)
	// Withdraw removes the entry of a process that has ended, unless another process of its name has the entry by now.
	Withdraw func(ctx context.Context, node lentilflow.Node) error
}

// discoverPeers publishes the process in its own directory and then passes the entries of the other directory
// to add. Every process publishes before it reads, so of two that start at the same time, at least one finds
// the other and introduces itself.
func discoverPeers(ctx context.Context, logger lentilevent.Logger, own, others Directory, self Peer, add func([]Peer)) {
	ok := retry(ctx, logger, "publish", func() error { return own.Publish(ctx, self) })
	if !ok {
		return
	}
	retry(ctx, logger, "peers", func() error {
		peers, err := others.List(ctx)
		if err == nil {
			add(peers)
		}
		return err
	})
}

// retry repeats a call to the store until it succeeds or ctx ends. It reports whether the call succeeded.
func retry(ctx context.Context, logger lentilevent.Logger, operation string, call func() error) (ok bool) {
	backoff := lentilbudget.Backoff{Max: maxRetryDelay}
	for {
		err := call()
		if err == nil {
			return true
		}
		logger.Write(lentilevent.StoreLost, lentilevent.Str("what", operation), lentilevent.Err(err))
		select {
		case <-time.After(backoff.Next()):
		case <-ctx.Done():
			return false
		}
	}
}

// maxRetryDelay bounds the delay between attempts of a store call that retry repeats.
const maxRetryDelay = 500 * time.Millisecond

// withStoreLogging sets the functions of a sink that log when the store fails and when it recovers.
func withStoreLogging[T any](logger lentilevent.Logger, source string, sink lentilfollow.Sink[T]) lentilfollow.Sink[T] {
	sink.Failed = func(err error) {
		logger.Write(lentilevent.StoreLost, lentilevent.Str("what", source), lentilevent.Err(err))
	}
	sink.Recovered = func(outage time.Duration) {
		logger.Write(lentilevent.StoreRegained, lentilevent.Str("what", source), lentilevent.Duration("downMillis", outage))
	}
	return sink
}
