package lentilmetric

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Poller periodically copies values that are kept elsewhere, such as the counters of
// the packet path, into a registry. The zero Poller is ready to use.
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

// AddCounter adds a value that only increases. After each increase, onIncrease is called
// with the difference to the value of the last poll. It may be nil.
func (p *Poller) AddCounter(counter tally.Counter, read func() uint64, onIncrease func(by uint64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters = append(p.counters, &polledCounter{counter: counter, read: read, onIncrease: onIncrease})
}

// AddGauge adds a value that may increase and decrease.
func (p *Poller) AddGauge(gauge tally.Gauge, read func() float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gauges = append(p.gauges, polledGauge{gauge: gauge, read: read})
}

// Poll copies all values once.
func (p *Poller) Poll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.counters {
		c.poll()
	}
	for _, g := range p.gauges {
		g.gauge.Update(g.read())
	}
}

func (c *polledCounter) poll() {
	value := c.read()
	by := value - min(c.lastValue, value)
	c.lastValue = value
	if by == 0 {
		return
	}
	c.counter.Inc(int64(by))
	if c.onIncrease != nil {
		c.onIncrease(by)
	}
}

// Run polls every reportInterval until ctx ends, and a last time then.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.Poll()
		case <-ctx.Done():
			p.Poll()
			return
		}
	}
}
