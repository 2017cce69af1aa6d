// Package lentilnode is what the roles balancer and agent have in common when they
// run: the key ring, the admin endpoint, and the metrics and events about packets.
package lentilnode

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/internal/lentilmetric"
)

// watchInterval is how often the state of a role is looked at.
const watchInterval = 100 * time.Millisecond

// Runtime is the frame in which a role runs.
type Runtime struct {
	// Logger takes the role's events.
	Logger lentilevent.Logger
	// Registry holds its metrics, and Mirror copies counts into it.
	Registry *lentilmetric.Registry
	Poller   lentilmetric.Poller
	// Ring and the TLS configurations authenticate it.
	Ring      lentilkey.Ring
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// EventLimiter bounds the events that strangers can provoke.
	EventLimiter lentilevent.RateLimiter

	adminListener net.Listener
	cancel        context.CancelFunc
	workers       sync.WaitGroup
}

// newRuntime authenticates the process by its keys and opens its admin endpoint, on which
// Serve answers.
func (r Role) newRuntime(logger lentilevent.Logger) (common *Runtime, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "prepare the process")
		}
	}()
	c := &Runtime{Logger: logger, Registry: lentilmetric.New(r.Name)}
	if c.Ring, err = lentilkey.FromSettings(r.Keys); err != nil {
		return nil, err
	}
	if c.ServerTLS, err = c.Ring.ServerTLS(lentilkey.ControlProtocol); err != nil {
		return nil, err
	}
	if c.ClientTLS, err = c.Ring.ClientTLS(lentilkey.ControlProtocol); err != nil {
		return nil, err
	}
	c.adminListener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", r.AdminAddress.String())
	return c, err
}

// Serve begins to answer on the admin endpoint, to copy counts and to log changes
// of the state, until the role has ended. It calls the watchers again and again.
func (c *Runtime) Serve(ready func() lentilmetric.Readiness, watchers ...func()) {
	ctx, stop := context.WithCancel(context.Background())
	c.cancel = stop
	admin := lentilmetric.Admin{Ready: ready, Registry: c.Registry}
	c.workers.Go(func() {
		if err := admin.Serve(ctx, c.adminListener); err != nil {
			c.Logger.Write(lentilevent.AdminFailed, lentilevent.Str("address", c.adminListener.Addr().String()), lentilevent.Err(err))
		}
	})
	c.workers.Go(func() { c.Poller.Run(ctx) })
	c.workers.Go(func() { c.runWatchers(ctx, append(watchers, c.readinessWatcher(ready))) })
	c.Logger.Write(lentilevent.Started, lentilevent.Str("admin", c.adminListener.Addr().String()))
}

// runWatchers calls the watchers until ctx ends.
func (c *Runtime) runWatchers(ctx context.Context, watchers []func()) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		for _, watcher := range watchers {
			watcher()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readinessWatcher returns a watcher that logs when the role becomes ready and not ready,
// and when the reason for the latter changes.
func (c *Runtime) readinessWatcher(ready func() lentilmetric.Readiness) func() {
	var last lentilmetric.Readiness
	return func() {
		now := ready()
		if now == last {
			return
		}
		last = now
		if now.Ready {
			c.Logger.Write(lentilevent.Ready)
			return
		}
		c.Logger.Write(lentilevent.NotReady, lentilevent.Str("reason", now.Reason))
	}
}

// close ends the admin endpoint.
func (c *Runtime) close() {
	if c.cancel == nil {
		_ = c.adminListener.Close()
		return
	}
	c.cancel()
	c.workers.Wait()
	_ = c.Registry.Close()
}

// RefusalExport says how a count of refused packets is shown.
type RefusalExport struct {
	// Reason is the label of the metric, as the count's own name.
	Reason string
	Metric lentilmetric.Metric
	// Event is logged at a bounded rate when the count has grown; zero logs nothing.
	Event lentilevent.Event
}

// ExportRefusals shows a count of refused packets as a metric and as events.
func (c *Runtime) ExportRefusals(refusal RefusalExport, read func() uint64) {
	reason := lowerFirst(refusal.Reason)
	c.Poller.AddCounter(c.Registry.Counter(refusal.Metric, reason), read, func(by uint64) {
		if refusal.Event != 0 {
			c.Logger.WriteLimited(&c.EventLimiter, refusal.Event, lentilevent.Str("reason", reason), lentilevent.Uint("packets", by))
		}
	})
}

// lowerFirst returns a name with a small first letter.
func lowerFirst(name string) string {
	first := []rune(name)
	if len(first) == 0 {
		return name
	}
	return string(unicode.ToLower(first[0])) + strings.TrimPrefix(name, string(first[0]))
}
