package lentilpacket

import (
	"context"
	"math/rand/v2"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/pkg/lentilera"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// minRenewSpread is the shortest time over which the processes of a site write their entries again after the
	// store has returned from an older copy. With many balancers it is renewSpreadPerBalancer for each of them: a
	// balancer has some eight agents, so the store gets fewer than 200 writes a second.
	minRenewSpread         = time.Second
	renewSpreadPerBalancer = 50 * time.Millisecond
)

// Sources of an era.
const (
	eraFromStore = "store"
	eraFromPeer  = "peer"
)

// observeEra records an era of the store. If the store has returned from an older copy, it logs that and reports true.
func observeEra(logger lentilevent.Logger, tracker *lentilera.Tracker, era uint64, age time.Duration, source string) (returned bool) {
	previous := tracker.Era()
	if returned = tracker.Observe(era, age); returned {
		logger.Write(lentilevent.StoreReturned, lentilevent.Uint("previous", previous), lentilevent.Uint("era", era), lentilevent.Str("source", source))
	}
	return returned
}

// renewEntry makes sure that the process's own entry is in the store after its return, by a call of discover at a
// random time, so that the processes don't call at the same moment.
func renewEntry(ctx context.Context, logger lentilevent.Logger, era uint64, balancers int, discover func()) {
	spread := max(minRenewSpread, time.Duration(balancers)*renewSpreadPerBalancer)
	select {
	case <-time.After(time.Duration(rand.Float64() * float64(spread))):
	case <-ctx.Done():
		return
	}
	discover()
	if ctx.Err() == nil {
		logger.Write(lentilevent.EntryRenewed, lentilevent.Uint("era", era))
	}
}

// mergeStoreState adds a state that another process reports to what is known. Revisions of different eras can't be
// compared, so a later era replaces what is known, and an earlier one adds nothing.
func mergeStoreState(known, reported lentilflow.StoreState) lentilflow.StoreState {
	switch {
	case reported.Era > known.Era:
		return reported
	case reported.Era == known.Era:
		known.ConfigurationRevision = max(known.ConfigurationRevision, reported.ConfigurationRevision)
		known.DomainsRevision = max(known.DomainsRevision, reported.DomainsRevision)
	}
	return known
}
