package lentilbalancercommand

import (
	"sync"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
)

// outage logs the first failure of the platform and the first answer after it.
type outage struct {
	mu    sync.Mutex
	since time.Time
}

func (o *outage) began(logger lentilevent.Logger, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		o.since = time.Now()
		logger.Write(lentilevent.PlatformDown, lentilevent.Err(err))
	}
}

func (o *outage) ended(logger lentilevent.Logger) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.since.IsZero() {
		logger.Write(lentilevent.PlatformBack, lentilevent.Duration("downMillis", time.Since(o.since)))
		o.since = time.Time{}
	}
}
