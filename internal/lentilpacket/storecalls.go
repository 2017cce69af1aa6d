package lentilpacket

import (
	"strings"
	"sync/atomic"

	"lentilstair.example/lentilstair/internal/lentilmetric"
)

//go:generate stringer -type=StoreObject,StoreAction -output=storecalls_string.go

// StoreObject is what a call to the store is about.
type StoreObject uint8

// The objects of the store.
const (
	ConfigurationObject StoreObject = iota
	DomainsObject
	BalancersObject
	AgentsObject
	LedgersObject
	LedgerGroupsObject
	storeObjectCount
)

// StoreAction is what a call to the store does. A call that waits for changes is a watch, and one that creates, replaces or
// removes an object a write.
type StoreAction uint8

// The actions.
const (
	ReadAction StoreAction = iota
	WatchAction
	WriteAction
	storeActionCount
)

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

// export publishes the counts of the calls that this program makes.
func (c *StoreCalls) export(registry *lentilmetric.Registry, poller *lentilmetric.Poller) {
	for object := range c.counts {
		for action := range c.counts[object] {
			// Only what operators write is watched, and only the rest is written.
			ofOperators := StoreObject(object) == ConfigurationObject || StoreObject(object) == DomainsObject
			if unused := map[bool]StoreAction{true: WriteAction, false: WatchAction}[ofOperators]; StoreAction(action) == unused {
				continue
			}
			name := strings.TrimSuffix(StoreObject(object).String(), "Object")
			counter := registry.Counter(lentilmetric.StoreCalls, strings.ToLower(name[:1])+name[1:], strings.ToLower(strings.TrimSuffix(StoreAction(action).String(), "Action")))
			poller.AddCounter(counter, c.counts[object][action].Load, nil)
		}
	}
}
