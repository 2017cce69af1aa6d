// Package lentilnode holds what the roles balancer and agent share at run time: the key
// ring, the admin endpoint, and the metrics and log events about refused packets. With it,
// both roles authenticate, report and log in the same way.
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

// watchInterval is how often the watchers of a role run.
const watchInterval = 100 * time.Millisecond

// Runtime holds the resources that a role's process uses while it runs.
type Runtime struct {
	// Logger writes the role's log events.
	Logger lentilevent.Logger
	// Registry holds the role's metrics. Poller copies counts into it.
	Registry *lentilmetric.Registry
	Poller   lentilmetric.Poller
	// Ring and the TLS configurations authenticate the process to others.
	Ring      lentilkey.Ring
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// EventLimiter bounds how often events are logged that unauthenticated senders can
	// cause.
	EventLimiter lentilevent.RateLimiter

	adminListener net.Listener
	cancel        context.CancelFunc
	workers       sync.WaitGroup
}

// newRuntime builds the key ring and the TLS configurations from the role's keys, and
// opens the listener of the admin endpoint. Serve answers requests on it.
func (r Role) newRuntime(logger lentilevent.Logger, buffer *lentilevent.Buffer) (runtime *Runtime, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "prepare process")
		}
	}()
	rt := &Runtime{Logger: logger, Registry: lentilmetric.New(r.Name)}
	rt.Poller.AddCounter(rt.Registry.Counter(lentilmetric.LogLinesDropped), buffer.Dropped, nil)
	if rt.Ring, err = lentilkey.FromSettings(r.Keys); err != nil {
		return nil, err
	}
	if rt.ServerTLS, err = rt.Ring.ServerTLS(lentilkey.ControlProtocol); err != nil {
		return nil, err
	}
	if rt.ClientTLS, err = rt.Ring.ClientTLS(lentilkey.ControlProtocol); err != nil {
		return nil, err
	}
	rt.adminListener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", r.AdminAddress.String())
	return rt, err
}

// Serve starts to answer on the admin endpoint, to copy counts into the metrics, to log
// changes of readiness and to call the watchers every watchInterval. All of these run in
// the background until the role has ended.
func (rt *Runtime) Serve(ready func() lentilmetric.Readiness, watchers ...func()) {
	ctx, cancel := context.WithCancel(context.Background())
	rt.cancel = cancel
	admin := lentilmetric.Admin{Ready: ready, Registry: rt.Registry}
	rt.workers.Go(func() {
		if err := admin.Serve(ctx, rt.adminListener); err != nil {
			rt.Logger.Write(lentilevent.AdminFailed, lentilevent.Str("address", rt.adminListener.Addr().String()), lentilevent.Err(err))
		}
	})
	rt.workers.Go(func() { rt.Poller.Run(ctx) })
	rt.workers.Go(func() { rt.runWatchers(ctx, append(watchers, rt.readinessWatcher(ready))) })
	rt.Logger.Write(lentilevent.Started, lentilevent.Str("admin", rt.adminListener.Addr().String()))
}

// runWatchers calls the watchers every watchInterval until ctx ends.
func (rt *Runtime) runWatchers(ctx context.Context, watchers []func()) {
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

// readinessWatcher returns a watcher that logs when the role becomes ready, when it
// becomes not ready, and when the reason for being not ready changes.
func (rt *Runtime) readinessWatcher(ready func() lentilmetric.Readiness) func() {
	var last lentilmetric.Readiness
	return func() {
		current := ready()
		if current == last {
			return
		}
		last = current
		if current.Ready {
			rt.Logger.Write(lentilevent.Ready)
			return
		}
		rt.Logger.Write(lentilevent.NotReady, lentilevent.Str("reason", current.Reason))
	}
}

// close ends the admin endpoint and everything that Serve started.
func (rt *Runtime) close() {
	if rt.cancel == nil {
		_ = rt.adminListener.Close()
		return
	}
	rt.cancel()
	rt.workers.Wait()
	_ = rt.Registry.Close()
}

// RefusalExport configures how a count of refused packets is exported.
type RefusalExport struct {
	// Reason is the name of the count. The metric's label and the event carry it with a
	// lower-case first letter.
	Reason string
	Metric lentilmetric.Metric
	// Event is logged, at a bounded rate, when the count has increased. Zero disables it.
	Event lentilevent.Event
}

// ExportRefusals exports a count of refused packets as a metric and as log events. read
// returns the current count.
func (rt *Runtime) ExportRefusals(export RefusalExport, read func() uint64) {
	reason := lowerFirst(export.Reason)
	rt.Poller.AddCounter(rt.Registry.Counter(export.Metric, reason), read, func(increase uint64) {
		if export.Event != 0 {
			rt.Logger.WriteLimited(&rt.EventLimiter, export.Event, lentilevent.Str("reason", reason), lentilevent.Uint("packets", increase))
		}
	})
}

// lowerFirst returns name with its first letter in lower case.
func lowerFirst(name string) string {
	runes := []rune(name)
	if len(runes) == 0 {
		return name
	}
	return string(unicode.ToLower(runes[0])) + strings.TrimPrefix(name, string(runes[0]))
}
