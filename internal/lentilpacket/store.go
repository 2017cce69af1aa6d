// Package lentilpacket runs the balancer and the agent of flows that carry no place: sockets, timers and
// the store around the decisions of lentilplacement and lentilcustody.
//
// Every event of a process goes through one mutex, and what a decision asks for is done before the
// next event is decided; sends are datagrams and don't wait.
package lentilpacket

import (
	"context"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilcustody"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilfollow"
)

// Peer is an entry of the list of processes that the store keeps.
type Peer struct {
	Node lentilflow.Node
	// Service is the service of an agent's upstream; empty for balancers.
	Service string
	// Stopping is set once the process was asked to end.
	Stopping bool
}

// Store is what the processes need of the store.
type Store struct {
	// Configuration reads the configuration; it has one object at most.
	Configuration lentilfollow.Source[lentilflow.Configuration]
	// DomainsOut reads which failure domains operators have taken out, by name.
	DomainsOut lentilfollow.Source[struct{}]
	// Balancers and Agents are the lists of processes.
	Balancers, Agents Directory
	Ledgers           Ledgers
}

// Ledgers keeps the agents' lists of flows, by the agents' names.
type Ledgers struct {
	Save func(ctx context.Context, name string, ledger lentilcustody.Ledger) error
	// Load returns an empty ledger if there is none.
	Load func(ctx context.Context, name string) (lentilcustody.Ledger, error)
}

// Directory is a list of processes that find each other by it.
type Directory struct {
	// Publish writes a process's own entry, and does nothing if it stands there already.
	Publish func(ctx context.Context, self Peer) error
	// List returns all entries, also those of processes that have ended.
	List func(ctx context.Context) ([]Peer, error)
	// Withdraw removes the entry of a process that has ended.
	Withdraw func(ctx context.Context, name string) error
}

// discoverPeers makes processes known to each other: each publishes itself and then reads the others once.
// Of two that start at the same time, at least one finds the other and greets it.
func discoverPeers(ctx context.Context, logger lentilevent.Logger, own, others Directory, self Peer, found func([]Peer)) {
	ok := retry(ctx, logger, "publish", func() error { return own.Publish(ctx, self) })
	if !ok {
		return
	}
	retry(ctx, logger, "peers", func() error {
		peers, err := others.List(ctx)
		if err == nil {
			found(peers)
		}
		return err
	})
}

// retry makes a call to the store until it succeeds, or until ctx ends.
func retry(ctx context.Context, logger lentilevent.Logger, what string, call func() error) (ok bool) {
	backoff := lentilbudget.Backoff{Max: maxRetryDelay}
	for {
		err := call()
		if err == nil {
			return true
		}
		logger.Write(lentilevent.StoreLost, lentilevent.Str("what", what), lentilevent.Err(err))
		select {
		case <-time.After(backoff.Next()):
		case <-ctx.Done():
			return false
		}
	}
}

// maxRetryDelay bounds the pauses between attempts to publish and to read what an earlier run has left.
const maxRetryDelay = 500 * time.Millisecond

// withStoreLogging fills in the parts of a sink that log.
func withStoreLogging[T any](logger lentilevent.Logger, what string, sink lentilfollow.Sink[T]) lentilfollow.Sink[T] {
	sink.Failed = func(err error) {
		logger.Write(lentilevent.StoreLost, lentilevent.Str("what", what), lentilevent.Err(err))
	}
	sink.Recovered = func(after time.Duration) {
		logger.Write(lentilevent.StoreRegained, lentilevent.Str("what", what), lentilevent.Duration("downMillis", after))
	}
	return sink
}
