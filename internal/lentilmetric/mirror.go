package lentilmetric

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Mirror copies counts that are kept elsewhere, as in the packet path, into a
// registry from time to time. The zero Mirror is ready to use.
type Mirror struct {
	mu       sync.Mutex
	counters []*mirroredCounter
	gauges   []mirroredGauge
}

type mirroredCounter struct {
	counter tally.Counter
	read    func() uint64
	grown   func(by uint64)
	last    uint64
}

type mirroredGauge struct {
	gauge tally.Gauge
	read  func() float64
}

// Count copies a count that only grows. When it has grown, grown is called with
// the growth since the last copy; nil means nobody wants to know.
func (m *Mirror) Count(counter tally.Counter, read func() uint64, grown func(by uint64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters = append(m.counters, &mirroredCounter{counter: counter, read: read, grown: grown})
}

// Gauge copies a value that may grow and shrink.
func (m *Mirror) Gauge(gauge tally.Gauge, read func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges = append(m.gauges, mirroredGauge{gauge: gauge, read: read})
}

// Copy copies everything once.
func (m *Mirror) Copy() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.counters {
		c.copy()
	}
	for _, g := range m.gauges {
		g.gauge.Update(g.read())
	}
}

func (c *mirroredCounter) copy() {
	now := c.read()
	by := now - min(c.last, now)
	c.last = now
	if by == 0 {
		return
	}
	c.counter.Inc(int64(by))
	if c.grown != nil {
		c.grown(by)
	}
}

// Run copies everything again and again until ctx ends, and once more then.
func (m *Mirror) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.Copy()
		case <-ctx.Done():
			m.Copy()
			return
		}
	}
}
