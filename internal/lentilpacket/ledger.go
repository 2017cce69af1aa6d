package lentilpacket

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilframe"
	"lentilstair.example/lentilstair/pkg/lentilconntrack"
	"lentilstair.example/lentilstair/pkg/lentilledger"
)

const (
	// ledgerInterval is how often the agent checks whether its own ledger is due to be written.
	ledgerInterval = time.Second
	// reportInterval is how often the agent reports changes of its ledger to the writer of its group.
	reportInterval = 500 * time.Millisecond
)

// ledgerGroup returns the name of the group whose object holds the agent's ledger, or "" if agents write their own.
func (a *Agent) ledgerGroup() string {
	groups := a.Settings.LedgerGroups()
	if groups == 0 {
		return ""
	}
	return fmt.Sprintf("%s-%d", a.Settings.Domain(), xxhash.Sum64String(a.Settings.Name())%uint64(groups))
}

// maintainLedger restores the ledger of a previous run. Then it reports the ledger's changes, and saves the ledger
// whenever it is due.
func (a *Agent) maintainLedger(ctx context.Context) {
	a.restoreLedger(ctx)
	ticker, reportTicker := time.NewTicker(ledgerInterval), time.NewTicker(reportInterval)
	defer ticker.Stop()
	defer reportTicker.Stop()
	// After a failed write, the run marker waits for the ticker, so that a store that is down gets few calls.
	markerDue := a.markerDue
	for {
		select {
		case <-reportTicker.C:
			a.reportLedger()
			continue
		case <-ticker.C:
			markerDue = a.markerDue
		case <-markerDue:
		case <-ctx.Done():
			return
		}
		a.mu.Lock()
		ledger, due := a.tracker.DueLedger()
		ledger.Era, ledger.Run, ledger.Sequence = a.era.Era(), a.reporter.Run, a.reporter.Sequence()
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

// restoreLedger reads the ledger of a previous run: the agent's own, or that of its group if it is newer.
func (a *Agent) restoreLedger(ctx context.Context) {
	group := a.ledgerGroup()
	run := uint64(1)
	if !a.Settings.FirstStart() {
		retry(ctx, a.Logger, "ledger", func() error {
			ledger, era, err := a.Store.Ledgers.Load(ctx, a.Settings.Name())
			if err != nil {
				return err
			}
			var entries []lentilledger.Entry
			if group != "" {
				if entries, _, err = a.Store.Groups.Load(ctx, group); err != nil {
					return err
				}
			}
			var fromGroup bool
			ledger, fromGroup, run = lentilledger.Latest(ledger, entries, a.Settings.Name())
			source := "own"
			if fromGroup {
				source = "group"
			}
			a.Logger.Write(lentilevent.LedgerRestored, lentilevent.Str("source", source), lentilevent.Int("flows", len(ledger.Flows)),
				lentilevent.Str("upstream", ledger.UpstreamID), lentilevent.Uint("run", ledger.Run), lentilevent.Uint("sequence", ledger.Sequence),
				lentilevent.Uint("era", ledger.Era))
			a.handleEvent(func(actions []lentilconntrack.Action) []lentilconntrack.Action {
				return a.tracker.Restore(ledger, era, actions)
			})
			return nil
		})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reporter.Run, a.reporter.Group, a.reporter.Agent = run, group, a.Settings.Name()
}

// reportLedger reports what has changed in the agent's ledger to the writer of its group.
func (a *Agent) reportLedger() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reporter.Group == "" {
		return
	}
	ledger, ok := a.tracker.CurrentLedger()
	if !ok {
		return
	}
	ledger.Era = a.era.Era()
	a.reporter.AvoidOverdueWriter()
	writer := a.tracker.LedgerWriter(a.reporter.Group, a.reporter.Avoids)
	for _, m := range a.reporter.Report(writer, ledger) {
		a.send(lentilframe.AppendLedgerReport(a.frameBuffer[:0], m), writer)
	}
}

// writeGroups writes the ledgers that agents report to this balancer.
func (b *Balancer) writeGroups(ctx context.Context) {
	ticker := time.NewTicker(reportInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for {
			b.mu.Lock()
			b.ledgers.Balancers = b.pollSchedule.ProcessCount()
			group, load, due := b.ledgers.Next()
			b.mu.Unlock()
			if !due {
				break
			}
			if err := b.writeGroup(ctx, group, load); err != nil {
				b.mu.Lock()
				b.ledgers.Failed(group)
				b.mu.Unlock()
				if ctx.Err() == nil {
					b.Logger.Write(lentilevent.StoreLost, lentilevent.Str("what", "ledgers"), lentilevent.Err(err))
				}
			}
		}
	}
}

// writeGroup writes the ledgers of a group, and acknowledges them to the agents.
func (b *Balancer) writeGroup(ctx context.Context, group string, load bool) (err error) {
	if load {
		entries, revision, err := b.Store.Groups.Load(ctx, group)
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.ledgers.Loaded(group, revision, entries)
		b.mu.Unlock()
	}
	b.mu.Lock()
	entries, revision := b.ledgers.Compose(group, func(agent string) bool { return b.agentsListedAt.IsZero() || b.placer.KnowsAgent(agent) })
	b.mu.Unlock()
	next, err := b.Store.Groups.Save(ctx, group, entries, revision)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.ledgers.Saved(group, next) {
		b.send(lentilframe.AppendLedgerAck(b.frameBuffer[:0], a.Ack), a.To)
	}
	return nil
}
