package lentilpacketmodel

import "time"

const (
	// linkQueue is how long a datagram waits at most for a link. Those that would wait longer are lost.
	linkQueue = 500 * time.Millisecond
	// datagramHeaders are the bytes of the IP and UDP headers of a datagram.
	datagramHeaders = 28
	// carryBytes are the bytes that a message takes in addition to the client's packet in it, keyBytes those of a
	// flow's key, and messageBytes those of other messages.
	carryBytes   = 45
	keyBytes     = 12
	messageBytes = 90
)

// link is one direction of a process's network link: a FIFO queue with tail drop. A nil link takes no time.
type link struct {
	bytesPerSecond int
	// freeAt is when everything that has been queued is sent.
	freeAt time.Time
}

// newLink returns a link of the given rate, or nil for 0.
func newLink(bytesPerSecond int) *link {
	if bytesPerSecond == 0 {
		return nil
	}
	return &link{bytesPerSecond: bytesPerSecond}
}

// transmit queues a datagram of the given size, without its headers, and returns how long it takes until it is through.
// ok is false if it is lost.
func (l *link) transmit(now time.Time, bytes int) (delay time.Duration, ok bool) {
	if l == nil {
		return 0, true
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	if l.freeAt.Sub(now) > linkQueue {
		return 0, false
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes+datagramHeaders) * time.Second / time.Duration(l.bytesPerSecond))
	return l.freeAt.Sub(now), true
}

// arrive runs the handler of a datagram after it has passed the link into the process.
func (p *process) arrive(bytes int, do func()) {
	delay, ok := p.linkIn.transmit(p.sim.Clock.Now(), bytes)
	switch {
	case !ok:
		p.sim.Stats.LinkLosses++
	case delay == 0:
		p.receive(do)
	default:
		p.schedule(delay, func() { p.receive(do) })
	}
}
