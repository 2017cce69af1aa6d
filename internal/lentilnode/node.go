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

// watchPeriod is how often the state of a role is looked at.
const watchPeriod = 100 * time.Millisecond

// Common is the frame in which a role runs.
type Common struct {
	// Logger takes the role's events.
	Logger lentilevent.Logger
	// Registry holds its metrics, and Mirror copies counts into it.
	Registry *lentilmetric.Registry
	Mirror   lentilmetric.Poller
	// Ring and the TLS configurations authenticate it.
	Ring      lentilkey.Ring
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// Limit bounds the events that strangers can provoke.
	Limit lentilevent.RateLimiter

	admin   net.Listener
	stop    context.CancelFunc
	workers sync.WaitGroup
}

// open authenticates the process by its keys and opens its admin endpoint, on which
// Serve answers.
func (r Role) open(logger lentilevent.Logger) (common *Common, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "prepare the process")
		}
	}()
	c := &Common{Logger: logger, Registry: lentilmetric.New(r.Name)}
	if c.Ring, err = lentilkey.FromSettings(r.Keys); err != nil {
		return nil, err
	}
	if c.ServerTLS, err = c.Ring.ServerTLS(lentilkey.ControlProtocol); err != nil {
		return nil, err
	}
	if c.ClientTLS, err = c.Ring.ClientTLS(lentilkey.ControlProtocol); err != nil {
		return nil, err
	}
	c.admin, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", r.Admin.String())
	return c, err
}

// Serve begins to answer on the admin endpoint, to copy counts and to log changes
// of the state, until the role has ended. It calls the watchers again and again.
func (c *Common) Serve(ready func() lentilmetric.Readiness, watchers ...func()) {
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	admin := lentilmetric.Admin{Ready: ready, Registry: c.Registry}
	c.workers.Go(func() {
		if err := admin.Serve(ctx, c.admin); err != nil {
			c.Logger.Write(lentilevent.AdminFailed, lentilevent.Str("address", c.admin.Addr().String()), lentilevent.Err(err))
		}
	})
	c.workers.Go(func() { c.Mirror.Run(ctx) })
	c.workers.Go(func() { c.watch(ctx, append(watchers, c.readiness(ready))) })
	c.Logger.Write(lentilevent.Started, lentilevent.Str("admin", c.admin.Addr().String()))
}

// watch calls the watchers until ctx ends.
func (c *Common) watch(ctx context.Context, watchers []func()) {
	ticker := time.NewTicker(watchPeriod)
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

// readiness returns a watcher that logs when the role becomes ready and not ready,
// and when the reason for the latter changes.
func (c *Common) readiness(ready func() lentilmetric.Readiness) func() {
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
func (c *Common) close() {
	if c.stop == nil {
		_ = c.admin.Close()
		return
	}
	c.stop()
	c.workers.Wait()
	_ = c.Registry.Close()
}

// Refusal says how a count of refused packets is shown.
type Refusal struct {
	// Reason is the label of the metric, as the count's own name.
	Reason string
	Metric lentilmetric.Metric
	// Event is logged at a bounded rate when the count has grown; zero logs nothing.
	Event lentilevent.Event
}

// Refused shows a count of refused packets as a metric and as events.
func (c *Common) Refused(refusal Refusal, read func() uint64) {
	reason := camel(refusal.Reason)
	c.Mirror.AddCounter(c.Registry.Counter(refusal.Metric, reason), read, func(by uint64) {
		if refusal.Event != 0 {
			c.Logger.WriteLimited(&c.Limit, refusal.Event, lentilevent.Str("reason", reason), lentilevent.Uint("packets", by))
		}
	})
}

// camel returns a name with a small first letter.
func camel(name string) string {
	first := []rune(name)
	if len(first) == 0 {
		return name
	}
	return string(unicode.ToLower(first[0])) + strings.TrimPrefix(name, string(first[0]))
}
