package lentilbalancercommand

import (
	"sync"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
)

// outage logs the beginning and the end of an outage of the platform: the first failed
// read, and the first answer after it. downSince is zero unless an outage lasts.
type outage struct {
	mu        sync.Mutex
	downSince time.Time
}

func (o *outage) recordFailure(logger lentilevent.Logger, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.downSince.IsZero() {
		o.downSince = time.Now()
		logger.Write(lentilevent.PlatformDown, lentilevent.Err(err))
	}
}

func (o *outage) recordSuccess(logger lentilevent.Logger) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.downSince.IsZero() {
		logger.Write(lentilevent.PlatformBack, lentilevent.Duration("downMillis", time.Since(o.downSince)))
		o.downSince = time.Time{}
	}
}
