package lentilpacket

import (
	"sync/atomic"

	"lentilstair.example/lentilstair/internal/lentilmetric"
)

//go:generate stringer -type=StoreObject,StoreAction -linecomment -output=storecalls_string.go

// StoreObject is what a call to the store is about.
type StoreObject uint8

// The objects of the store. The comments are their names in metrics.
const (
	ConfigurationObject StoreObject = iota // configuration
	DomainsObject                          // domains
	BalancersObject                        // balancers
	AgentsObject                           // agents
	LedgersObject                          // ledgers
	LedgerGroupsObject                     // ledgerGroups
	storeObjectCount
)

// StoreAction is what a call to the store does. A call that waits for changes is a watch, and one that creates, replaces or
// removes an object a write.
type StoreAction uint8

// The actions. The comments are their names in metrics.
const (
	ReadAction  StoreAction = iota // read
	WatchAction                    // watch
	WriteAction                    // write
	storeActionCount
)

// objectActions has the actions on each object: what operators write is watched, and the rest is written.
var objectActions = [storeObjectCount][]StoreAction{
	ConfigurationObject: {ReadAction, WatchAction}, DomainsObject: {ReadAction, WatchAction},
	BalancersObject: {ReadAction, WriteAction}, AgentsObject: {ReadAction, WriteAction},
	LedgersObject: {ReadAction, WriteAction}, LedgerGroupsObject: {ReadAction, WriteAction},
}

// StoreCalls counts the calls to the store, also those that fail: the store may bill each of them. The zero StoreCalls are
// ready to use.
type StoreCalls struct {
	counts [storeObjectCount][storeActionCount]atomic.Uint64
}

// Record counts a call.
func (c *StoreCalls) Record(object StoreObject, action StoreAction) { c.counts[object][action].Add(1) }

// Count returns the number of calls.
func (c *StoreCalls) Count(object StoreObject, action StoreAction) uint64 {
	return c.counts[object][action].Load()
}

// export publishes the counts.
func (c *StoreCalls) export(registry *lentilmetric.Registry, poller *lentilmetric.Poller) {
	for object, actions := range objectActions {
		for _, action := range actions {
			counter := registry.Counter(lentilmetric.StoreCalls, StoreObject(object).String(), action.String())
			poller.AddCounter(counter, c.counts[object][action].Load, nil)
		}
	}
}
