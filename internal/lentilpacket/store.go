// Package lentilpacket runs the balancer and the agent of packet flows, whose packets don't say which agent
// holds them. It connects the decisions of lentilplacement and lentilconntrack to sockets, timers and the store.
//
// One mutex serializes the events of a process. The actions that a decision returns are performed before the
// next event is handled. Sending doesn't block, since all messages are datagrams.
package lentilpacket

import (
	"context"
	"math/rand/v2"
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
	// RunID identifies the run of the process that wrote the entry; zero if an earlier release did, which doesn't tell it.
	RunID uint64
	// Publication differs each time that the process publishes its entry.
	Publication uint64
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
	// Publish writes a process's own entry, so that its revision in the store changes: conditional writes of the entry that were
	// left without an answer then fail. It does nothing if the store already has the same publication.
	Publish func(ctx context.Context, self Peer) error
	// List returns all entries, including those of processes that have ended.
	List func(ctx context.Context) ([]Peer, error)
	// Find returns the entry of the process of a name. found is false if there is none that can be used.
	Find func(ctx context.Context, name string) (entry Peer, found bool, err error)
	// Withdraw removes the entry of a run of a process that has ended. It leaves an entry that another process of the name or
	// a later run has written.
	Withdraw func(ctx context.Context, ended Peer) error
}

// IsOfRun reports whether an entry was written by a run of a process, as far as the runs are known.
func (p Peer) IsOfRun(run Peer) bool {
	return p.Node.Address == run.Node.Address && (p.RunID == run.RunID || p.RunID == 0 || run.RunID == 0)
}

// publish writes a process's own entry. It returns false if ctx ends before the entry is written.
func publish(ctx context.Context, logger lentilevent.Logger, own Directory, self Peer) (ok bool) {
	self.Publication = rand.Uint64()
	return retry(ctx, logger, "publish", func() error { return own.Publish(ctx, self) })
}

// discoverPeers publishes the process in its own directory and then passes the entries of the other directory
// to add. Every process publishes before it reads, so of two that start at the same time, at least one finds
// the other and introduces itself.
func discoverPeers(ctx context.Context, logger lentilevent.Logger, own, others Directory, self Peer, add func([]Peer)) {
	if !publish(ctx, logger, own, self) {
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

// confirmDelay is the time after which a process looks whether its entry is still in the store. Calls without an answer are
// carried out up to 6 s later, and removals that began before the entry was published take some seconds at a store that is slow.
const confirmDelay = 10 * time.Second

// confirmEntry waits until removals that began before the process published its entry have been carried out, and publishes the
// entry again if it is missing. Balancers that start while it is would hold the process's flows for ended.
func confirmEntry(ctx context.Context, logger lentilevent.Logger, own Directory, self Peer) {
	for {
		select {
		case <-time.After(confirmDelay):
		case <-ctx.Done():
			return
		}
		var entry Peer
		var found bool
		ok := retry(ctx, logger, "confirm", func() (err error) {
			entry, found, err = own.Find(ctx, self.Node.Name)
			return err
		})
		if !ok || found && (entry.RunID == self.RunID || entry.Node.Address != self.Node.Address) {
			// An entry with another address is of the next process of the name.
			return
		}
		logger.Write(lentilevent.EntryLost, lentilevent.Bool("found", found))
		if !publish(ctx, logger, own, self) {
			return
		}
	}
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
