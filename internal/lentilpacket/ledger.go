package lentilpacket

import (
	"context"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/pkg/lentilconntrack"
)

// maintainLedger restores the ledger of a previous run, and then saves the ledger whenever it is due.
func (a *Agent) maintainLedger(ctx context.Context) {
	if !a.Settings.FirstStart() {
		retry(ctx, a.Logger, "ledger", func() error {
			ledger, era, err := a.Store.Ledgers.Load(ctx, a.Settings.Name())
			if err == nil {
				a.handleEvent(func(actions []lentilconntrack.Action) []lentilconntrack.Action {
					return a.tracker.Restore(ledger, era, actions)
				})
			}
			return err
		})
	}
	ticker := time.NewTicker(ledgerInterval)
	defer ticker.Stop()
	// After a failed write, the run marker waits for the ticker, so that a store that is down gets few calls.
	markerDue := a.markerDue
	for {
		select {
		case <-ticker.C:
			markerDue = a.markerDue
		case <-markerDue:
		case <-ctx.Done():
			return
		}
		a.mu.Lock()
		ledger, due := a.tracker.DueLedger()
		ledger.Era = a.era.Era()
		a.mu.Unlock()
		if !due {
			continue
		}
		if err := a.Store.Ledgers.Save(ctx, a.Settings.Name(), ledger); err != nil && ctx.Err() == nil {
			a.Logger.Write(lentilevent.StoreLost, lentilevent.Str("what", "ledger"), lentilevent.Err(err))
			markerDue = nil
			a.mu.Lock()
			a.tracker.LedgerFailed(ledger)
			a.mu.Unlock()
		}
	}
}
