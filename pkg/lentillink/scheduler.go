package lentillink

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

const (
	// usableShare is the part of the link's rate that is used. The rest is for traffic that the process doesn't count,
	// such as ARP, TCP to the store and health checks.
	usableShare = .95
	// packetBytes is the size of a packet of full size in the tunnel.
	packetBytes = 1300
	// burstPackets is the number of packets that may be sent at once after the link was idle.
	burstPackets = 16
	// minBurstTime is the least time for which the burst lasts at the rate. Below it, timers with a precision of a
	// millisecond couldn't use the rate of fast links. It exceeds burstPackets above 44 Mbit/s.
	minBurstTime = 4 * time.Millisecond
	// burstWakeups is how many wake-ups a burst's worth of queued datagrams takes. A wake-up for each datagram would cost
	// 900 a second at 10 Mbit/s.
	burstWakeups = 4
	// bulkShare is the part of the link that bulk gets while other classes are queued: one in so many bytes.
	bulkShare = 10
	// maxQueuedBytes limits the queue. It is 0.2 s at 10 Mbit/s.
	maxQueuedBytes = 256 << 10
	// reservedForBulk is the part of the queue that other classes don't take from bulk. Without it, bulk would lose its
	// share of the link while other classes fill the queue.
	reservedForBulk = maxQueuedBytes / bulkShare
	// fullTime is the length of the queue, in time to send it, above which the link counts as full.
	fullTime = 50 * time.Millisecond
	// freeAfter is how long the queue must have been shorter for the link to count as free again.
	freeAfter = 2 * time.Second
)

// MaxWait is how long a datagram may wait. Clients have retransmitted it by then.
const MaxWait = 400 * time.Millisecond

// Change is a change of the state of the link.
type Change uint8

// The changes.
const (
	// Unchanged means that the link is as full or free as before.
	Unchanged Change = iota
	// BecameFull means that the queue takes more than 50 ms to send.
	BecameFull
	// BecameFree means that the queue has been shorter for two seconds.
	BecameFree
)

// Episode is a time in which the link was full.
type Episode struct {
	since, until time.Time
	queuedBytes  int
	longest      [4]byte
	sentBytes    uint64
	dropped      [ClassCount]uint64
}

// Duration returns how long the link was full, until the last time that its queue was too long.
func (e Episode) Duration() time.Duration { return e.until.Sub(e.since) }

// QueuedBytes returns the length of the queue when the link became full.
func (e Episode) QueuedBytes() int { return e.queuedBytes }

// LongestCaller returns the caller with most bytes in the lowest class when the link became full.
func (e Episode) LongestCaller() [4]byte { return e.longest }

// SentBytes returns the number of bytes that were sent meanwhile.
func (e Episode) SentBytes() uint64 { return e.sentBytes }

// Dropped returns the number of datagrams of a class that were lost meanwhile. Duplicates don't count.
func (e Episode) Dropped(class Class) uint64 { return e.dropped[class] }

// Scheduler decides when datagrams are sent. The zero Scheduler sends all of them immediately. It is not safe for
// concurrent use.
type Scheduler struct {
	// Clock is the source of time; nil is the system clock.
	Clock lentilclock.Clock
	// BytesPerSecond is the rate of the link; zero means that it isn't limited.
	BytesPerSecond int

	// tokens is the number of bytes that may be sent now. The last datagram of a burst may exceed it.
	tokens     float64
	refilledAt time.Time
	usage      usage
	classes    [ClassCount]classQueue
	// bulkCredit is the number of bytes that other classes have sent while bulk was waiting, less those for which bulk has
	// had its share.
	bulkCredit int
	stats      Stats

	// fullSince is when the link became full; zero while it is free. overFullAt is when the queue was last too long.
	fullSince, overFullAt time.Time
	// announced is set while the caller of Tick knows that the link is full.
	announced bool
	episode   Episode
	// atFull are the counts when the link became full.
	atFull Stats
}

func (s *Scheduler) now() time.Time { return lentilclock.OrSystem(s.Clock).Now() }

// rate returns the number of bytes per second that may be sent.
func (s *Scheduler) rate() float64 { return usableShare * float64(s.BytesPerSecond) }

// burst returns the size of the token bucket.
func (s *Scheduler) burst() float64 {
	return max(burstPackets*packetBytes, s.rate()*minBurstTime.Seconds())
}

func (s *Scheduler) refill(now time.Time) {
	if s.refilledAt.IsZero() {
		s.tokens, s.refilledAt = s.burst(), now
		return
	}
	if elapsed := now.Sub(s.refilledAt); elapsed > 0 {
		s.tokens, s.refilledAt = min(s.tokens+elapsed.Seconds()*s.rate(), s.burst()), now
	}
}

func (s *Scheduler) charge(now time.Time, cost int) {
	s.tokens -= float64(cost)
	s.stats.sentBytes += uint64(cost)
	s.usage.add(now, cost)
}

// Offer reports whether a datagram may be sent now. Otherwise it is queued or dropped; the bytes are copied, and Next
// returns what is due.
func (s *Scheduler) Offer(d Datagram) (sendNow bool) {
	if s.BytesPerSecond <= 0 {
		return true
	}
	now := s.now()
	s.refill(now)
	if s.stats.queuedBytes == 0 && s.tokens > 0 {
		s.charge(now, d.cost())
		return true
	}
	s.enqueue(now, d)
	return false
}

func (s *Scheduler) enqueue(now time.Time, d Datagram) {
	if d.Class != Control && (s.classes[d.Class].holds(d) || d.Class >= Short && s.classes[Short+Bulk-d.Class].holds(d)) {
		s.stats.dropped[d.Class][Duplicate]++
		return
	}
	if d.Class == Short && d.Length > 0 && s.classes[Bulk].flows[d.Flow] != nil {
		// Data doesn't overtake earlier data of its flow.
		d.Class = Bulk
	}
	d.Bytes = slices.Clone(d.Bytes)
	s.classes[d.Class].push(entry{Datagram: d, since: now})
	s.stats.queuedBytes += d.cost()
	for s.stats.queuedBytes > maxQueuedBytes {
		s.shrink(now)
	}
	s.observeLength(now)
}

// shrink drops a datagram to make room.
func (s *Scheduler) shrink(now time.Time) {
	q := s.lowest()
	f := q.longest()
	if now.Sub(f.entries[0].since) >= MaxWait {
		s.drop(q.remove(f, 0), Late)
		return
	}
	s.drop(q.remove(f, len(f.entries)-1), Overflow)
}

// lowest returns the queue of the lowest class that has more than is reserved for it. The queue must not be empty.
func (s *Scheduler) lowest() *classQueue {
	if q := &s.classes[Bulk]; q.bytes > reservedForBulk || q.bytes == s.stats.queuedBytes {
		return q
	}
	for class := Short; class > Control; class-- {
		if q := &s.classes[class]; !q.empty() {
			return q
		}
	}
	return &s.classes[Control]
}

func (s *Scheduler) drop(e entry, reason DropReason) {
	s.stats.queuedBytes -= e.cost()
	s.stats.dropped[e.Class][reason]++
}

// Next returns the next datagram to send, or, if none is due, how long to wait for it. ok is false if none is due, and
// wait is zero if none is queued.
func (s *Scheduler) Next(now time.Time) (d Datagram, wait time.Duration, ok bool) {
	s.refill(now)
	for s.stats.queuedBytes > 0 && s.tokens > 0 {
		class := s.nextClass()
		q := &s.classes[class]
		f := q.current()
		if now.Sub(f.entries[0].since) >= MaxWait {
			s.drop(q.remove(f, 0), Late)
			continue
		}
		cost := f.headCost()
		f.credit -= cost
		f.caller.credit -= cost
		e := q.remove(f, 0)
		s.chargeBulk(class, cost)
		s.stats.queuedBytes -= cost
		s.stats.waited[class]++
		s.charge(now, cost)
		return e.Datagram, 0, true
	}
	return Datagram{}, s.untilDue(), false
}

// nextClass returns the class to serve. At least one must be queued.
func (s *Scheduler) nextClass() Class {
	if bulk := &s.classes[Bulk]; !bulk.empty() && s.bulkCredit >= (bulkShare-1)*bulk.current().headCost() {
		return Bulk
	}
	for class := Control; class < Bulk; class++ {
		if !s.classes[class].empty() {
			return class
		}
	}
	return Bulk
}

// chargeBulk counts a datagram for the share of bulk.
func (s *Scheduler) chargeBulk(class Class, cost int) {
	switch {
	case s.classes[Bulk].empty():
		s.bulkCredit = 0
	case class == Bulk:
		// What bulk sends because nothing else is queued doesn't count.
		s.bulkCredit = max(0, s.bulkCredit-(bulkShare-1)*cost)
	default:
		s.bulkCredit += cost
	}
}

// untilDue returns how long to wait until a part of the burst, or all that is queued, may be sent.
func (s *Scheduler) untilDue() time.Duration {
	if s.stats.queuedBytes == 0 {
		return 0
	}
	batch := min(s.burst()/burstWakeups, float64(s.stats.queuedBytes))
	return max(time.Duration((batch-s.tokens)/s.rate()*float64(time.Second)), time.Microsecond)
}

// observeLength records whether the queue is too long.
func (s *Scheduler) observeLength(now time.Time) {
	if float64(s.stats.queuedBytes) <= s.rate()*fullTime.Seconds() {
		return
	}
	s.overFullAt = now
	if s.fullSince.IsZero() {
		s.fullSince, s.atFull = now, s.stats
		s.episode = Episode{since: now, queuedBytes: s.stats.queuedBytes, longest: s.lowest().longest().caller.address}
	}
}

// Tick returns whether the link has become full or free since the last call, and the episode. It is called now and
// then while the link is limited.
func (s *Scheduler) Tick(now time.Time) (change Change, episode Episode) {
	s.observeLength(now)
	switch {
	case s.fullSince.IsZero():
		return Unchanged, Episode{}
	case !s.announced:
		s.announced = true
		return BecameFull, s.episode
	case now.Sub(s.overFullAt) < freeAfter:
		return Unchanged, Episode{}
	}
	episode = s.episode
	episode.until, episode.sentBytes = s.overFullAt, s.stats.sentBytes-s.atFull.sentBytes
	for class := range Class(ClassCount) {
		episode.dropped[class] = s.stats.lost(class) - s.atFull.lost(class)
	}
	s.fullSince, s.announced = time.Time{}, false
	return BecameFree, episode
}

// FullSince returns when the link became full, or the zero time while it is free.
func (s *Scheduler) FullSince() time.Time { return s.fullSince }

// Utilization returns the part of the link's rate that was used in the last second.
func (s *Scheduler) Utilization() float64 {
	if s.BytesPerSecond <= 0 {
		return 0
	}
	return s.usage.perSecond(s.now()) / float64(s.BytesPerSecond)
}

// Stats returns the counts and the length of the queue.
func (s *Scheduler) Stats() Stats { return s.stats }

const (
	usageSlots    = 10
	usageSlotTime = time.Second / usageSlots
)

// usage counts the bytes sent in the last second. The zero usage is ready to use.
type usage struct {
	start  time.Time
	newest int64
	bytes  [usageSlots]int
}

func (u *usage) advance(now time.Time) {
	if u.start.IsZero() {
		u.start = now
	}
	slot := int64(now.Sub(u.start) / usageSlotTime)
	for range min(slot-u.newest, usageSlots) {
		u.newest++
		u.bytes[u.newest%usageSlots] = 0
	}
	if u.newest < slot {
		u.newest = slot
	}
}

func (u *usage) add(now time.Time, bytes int) {
	u.advance(now)
	u.bytes[u.newest%usageSlots] += bytes
}

// perSecond returns the bytes per second in the slots of the last second, of which the newest is still filling.
func (u *usage) perSecond(now time.Time) float64 {
	u.advance(now)
	total := 0
	for _, b := range u.bytes {
		total += b
	}
	covered := (usageSlots-1)*usageSlotTime + now.Sub(u.start)%usageSlotTime
	return float64(total) / covered.Seconds()
}
