package lentilmetric

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Poller copies counts that are kept elsewhere, as in the packet path, into a
// registry from time to time. The zero Poller is ready to use.
type Poller struct {
	mu       sync.Mutex
	counters []*polledCounter
	gauges   []polledGauge
}

type polledCounter struct {
	counter    tally.Counter
	read       func() uint64
	onIncrease func(by uint64)
	lastValue  uint64
}

type polledGauge struct {
	gauge tally.Gauge
	read  func() float64
}

// AddCounter copies a count that only grows. When it has grown, grown is called with
// the growth since the last copy; nil means nobody wants to know.
func (m *Poller) AddCounter(counter tally.Counter, read func() uint64, grown func(by uint64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters = append(m.counters, &polledCounter{counter: counter, read: read, onIncrease: grown})
}

// AddGauge copies a value that may grow and shrink.
func (m *Poller) AddGauge(gauge tally.Gauge, read func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges = append(m.gauges, polledGauge{gauge: gauge, read: read})
}

// Poll copies everything once.
func (m *Poller) Poll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.counters {
		c.poll()
	}
	for _, g := range m.gauges {
		g.gauge.Update(g.read())
	}
}

func (c *polledCounter) poll() {
	now := c.read()
	by := now - min(c.lastValue, now)
	c.lastValue = now
	if by == 0 {
		return
	}
	c.counter.Inc(int64(by))
	if c.onIncrease != nil {
		c.onIncrease(by)
	}
}

// Run copies everything again and again until ctx ends, and once more then.
func (m *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.Poll()
		case <-ctx.Done():
			m.Poll()
			return
		}
	}
}
