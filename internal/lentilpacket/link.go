package lentilpacket

import (
	"context"
	"math"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/pkg/lentillink"
	"lentilstair.example/lentilstair/pkg/lentilplacement"
)

// The balancer's sockets, as lentillink.Datagram.Socket names them.
const (
	peerSocket uint8 = iota
	ingressSocket
)

// limited reports whether the rate of the balancer's link is set.
func (b *Balancer) limited() bool { return b.link.BytesPerSecond > 0 }

// packetDatagram returns the datagram for a client's packet that goes to an agent, without its bytes.
func (b *Balancer) packetDatagram(a *lentilplacement.Action) (d lentillink.Datagram) {
	d = lentillink.Datagram{Class: lentillink.Short, To: a.To.AddrPort(), Flow: a.Key, Caller: a.Key.Client().Address()}
	if !b.limited() {
		return d
	}
	// The placer has parsed the packet, and holds only packets without errors.
	if p, err := b.Codec.ParseClientPacket(a.Carry.Packet); err == nil {
		d.Class, d.Sequence, d.Length = b.classifier.Classify(time.Now(), p), p.Sequence, p.Length
	}
	return d
}

// transmit sends b.frameBuffer as the datagram d, now or when the link has room for it. The caller holds b.mu.
func (b *Balancer) transmit(d lentillink.Datagram) {
	d.Bytes = b.frameBuffer
	if b.link.Offer(d) {
		b.write(d)
		return
	}
	if b.sendQueued() > 0 {
		select {
		case b.linkQueued <- struct{}{}:
		default:
		}
	}
}

// sendQueued sends the queued datagrams that are due. It returns how long to wait for the next ones, or zero if none
// are queued. The caller holds b.mu.
func (b *Balancer) sendQueued() (wait time.Duration) {
	for {
		d, wait, ok := b.link.Next(time.Now())
		if !ok {
			return wait
		}
		b.write(d)
	}
}

func (b *Balancer) write(d lentillink.Datagram) {
	conn := b.peerConn
	if d.Socket == ingressSocket {
		conn = b.ingressConn
	}
	if _, err := conn.WriteToUDPAddrPort(d.Bytes, d.To); err != nil {
		b.Counts.Unsent.Add(1)
	}
}

// serveLink sends queued datagrams when they are due. It sleeps while none are queued.
func (b *Balancer) serveLink(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-b.linkQueued:
		case <-ctx.Done():
			return
		}
		b.emptyQueue(ctx, timer)
	}
}

// emptyQueue sends queued datagrams until none are left or ctx ends. It waits with the timer.
func (b *Balancer) emptyQueue(ctx context.Context, timer *time.Timer) {
	for {
		b.mu.Lock()
		wait := b.sendQueued()
		b.mu.Unlock()
		if wait == 0 {
			return
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// flushLink sends the queue before the sockets are closed. Datagrams that can't be sent within lentillink.MaxWait would
// be dropped in any case.
func (b *Balancer) flushLink(forced context.Context) {
	if !b.limited() {
		return
	}
	ctx, cancel := context.WithTimeout(forced, lentillink.MaxWait)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	b.emptyQueue(ctx, timer)
}

// observeLink updates the metrics of the link, and logs when it becomes full or free. The caller holds b.mu.
func (b *Balancer) observeLink() {
	if !b.limited() {
		return
	}
	change, episode := b.link.Tick(time.Now())
	switch change {
	case lentillink.BecameFull:
		b.Logger.Write(lentilevent.LinkFull, lentilevent.Int("queuedBytes", episode.QueuedBytes()), lentilevent.Int("bytesPerSecond", b.link.BytesPerSecond),
			lentilevent.Str("caller", netip.AddrFrom4(episode.LongestCaller()).String()))
	case lentillink.BecameFree:
		b.Logger.Write(lentilevent.LinkFree, lentilevent.Int("fullMillis", int(episode.Duration().Milliseconds())), lentilevent.Uint("bytes", episode.SentBytes()),
			lentilevent.Uint("droppedControl", episode.Dropped(lentillink.Control)), lentilevent.Uint("droppedOpening", episode.Dropped(lentillink.Opening)),
			lentilevent.Uint("droppedShort", episode.Dropped(lentillink.Short)), lentilevent.Uint("droppedBulk", episode.Dropped(lentillink.Bulk)))
	case lentillink.Unchanged:
	}
	if b.Counts.Link != nil {
		b.Counts.Link.update(&b.link)
	}
}

// LinkCounts are the counters of a balancer's link. The zero LinkCounts are ready to use.
type LinkCounts struct {
	waited      [lentillink.ClassCount]atomic.Uint64
	dropped     [lentillink.ClassCount][lentillink.ReasonCount]atomic.Uint64
	queuedBytes atomic.Int64
	// utilization holds the bits of a float64.
	utilization atomic.Uint64
	// fullSince is when the link became full; nil while it is free.
	fullSince atomic.Pointer[time.Time]
}

// update copies the state of the scheduler.
func (c *LinkCounts) update(link *lentillink.Scheduler) {
	stats := link.Stats()
	for class := range c.waited {
		c.waited[class].Store(stats.Waited(lentillink.Class(class)))
		for reason := range c.dropped[class] {
			c.dropped[class][reason].Store(stats.Dropped(lentillink.Class(class), lentillink.DropReason(reason)))
		}
	}
	c.queuedBytes.Store(int64(stats.QueuedBytes()))
	c.utilization.Store(math.Float64bits(link.Utilization()))
	since := link.FullSince()
	switch last := c.fullSince.Load(); {
	case since.IsZero():
		c.fullSince.Store(nil)
	case last == nil || !last.Equal(since):
		c.fullSince.Store(&since)
	}
}

// fullSeconds returns for how long the link has been full, or 0 while it is free.
func (c *LinkCounts) fullSeconds() float64 {
	since := c.fullSince.Load()
	if since == nil {
		return 0
	}
	return time.Since(*since).Seconds()
}

// export publishes the counters as metrics.
func (c *LinkCounts) export(registry *lentilmetric.Registry, poller *lentilmetric.Poller) {
	for class := range c.waited {
		name := strings.ToLower(lentillink.Class(class).String())
		poller.AddCounter(registry.Counter(lentilmetric.LinkWaited, name), c.waited[class].Load, nil)
		for reason := range c.dropped[class] {
			counter := registry.Counter(lentilmetric.LinkDropped, name, strings.ToLower(lentillink.DropReason(reason).String()))
			poller.AddCounter(counter, c.dropped[class][reason].Load, nil)
		}
	}
	poller.AddGauge(registry.Gauge(lentilmetric.LinkQueuedBytes), func() float64 { return float64(c.queuedBytes.Load()) })
	poller.AddGauge(registry.Gauge(lentilmetric.LinkUtilization), func() float64 { return math.Float64frombits(c.utilization.Load()) })
	poller.AddGauge(registry.Gauge(lentilmetric.LinkFullSeconds), c.fullSeconds)
}
