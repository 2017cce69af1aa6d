package lentilmetric

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally reports the metrics to the scrape endpoint, and how
// often a Poller polls.
const reportInterval = 250 * time.Millisecond

// Registry collects the metrics of a process. The zero Registry discards them.
type Registry struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns a registry for a process in the given role, such as "agent".
func New(role string) *Registry {
	registry := prom.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		Gatherer:   registry,
		// If two parts of the program register a metric with different labels, that is
		// a bug. Only this metric is lost.
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 namePrefix,
		Tags:                   map[string]string{"role": role},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{scope: scope, closer: closer, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
}

// Close reports the metrics a last time and stops the reporting.
func (r *Registry) Close() (err error) {
	if r.closer == nil {
		return nil
	}
	return r.closer.Close()
}

// Handler returns the scrape endpoint.
func (r *Registry) Handler() http.Handler {
	if r.handler == nil {
		return http.NotFoundHandler()
	}
	return r.handler
}

// Counter returns the counter of a metric, with a value for each of its labels in
// the order of the table. Callers should keep the counter, as each lookup takes locks.
func (r *Registry) Counter(m Metric, values ...string) tally.Counter {
	return r.taggedScope(m, values).Counter(catalogue[m].name)
}

// Gauge returns the gauge of a metric, with a value for each of its labels in
// the order of the table.
func (r *Registry) Gauge(m Metric, values ...string) tally.Gauge {
	return r.taggedScope(m, values).Gauge(catalogue[m].name)
}

// latencyBuckets range from 0.5 ms, about a round trip between failure domains, to 4 s, beyond every deadline.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(firstLatencyBucket, latencyBucketFactor, latencyBucketCount)

const (
	firstLatencyBucket  = 500 * time.Microsecond
	latencyBucketFactor = 2
	latencyBucketCount  = 14
)

// Histogram returns the histogram of a metric that measures durations.
func (r *Registry) Histogram(m Metric) tally.Histogram {
	return r.taggedScope(m, nil).Histogram(catalogue[m].name, latencyBuckets)
}

// taggedScope returns the scope with the metric's labels. A label without a value gets
// the empty value, because a metric must always have the same labels.
func (r *Registry) taggedScope(m Metric, values []string) tally.Scope {
	if r.scope == nil {
		return tally.NoopScope
	}
	labels := catalogue[m].labels
	if len(labels) == 0 {
		return r.scope
	}
	tags := make(map[string]string, len(labels))
	for i, label := range labels {
		tags[label] = ""
		if i < len(values) {
			tags[label] = values[i]
		}
	}
	return r.scope.Tagged(tags)
}
