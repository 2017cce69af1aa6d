package lentilagent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"lentilstair.example/lentilstair/internal/lentiltunnel"
)

// receiveQueuePackets is the length of the queue to the QUIC transport. Packets beyond it
// are dropped; QUIC treats the loss as congestion, which is intended.
const receiveQueuePackets = 4096

// datagram is a packet of a flow without its tunnel header.
type datagram struct {
	payload []byte
	caller  netip.AddrPort
	pooled  *[lentiltunnel.MaxPayloadBytes]byte
}

// flowConn is the net.PacketConn of the QUIC transport. It reads and writes packets under
// the callers' addresses, while the packets themselves travel through the tunnel.
type flowConn struct {
	local net.Addr
	send  func(payload []byte, caller netip.AddrPort)

	queue     chan datagram
	pool      sync.Pool
	closed    chan struct{}
	closeOnce sync.Once

	mu            sync.Mutex
	deadlineTimer *time.Timer
	expired       chan struct{}
}

// newFlowConn returns a connection that sends packets with send.
func newFlowConn(local net.Addr, send func(payload []byte, caller netip.AddrPort)) (conn *flowConn) {
	return &flowConn{
		local:   local,
		send:    send,
		queue:   make(chan datagram, receiveQueuePackets),
		pool:    sync.Pool{New: func() any { return new([lentiltunnel.MaxPayloadBytes]byte) }},
		closed:  make(chan struct{}),
		expired: make(chan struct{}),
	}
}

// deliver queues a copy of a packet for ReadFrom. ok is false if the queue is full.
func (c *flowConn) deliver(payload []byte, caller netip.AddrPort) (ok bool) {
	pooled := c.pool.Get().(*[lentiltunnel.MaxPayloadBytes]byte)
	d := datagram{payload: pooled[:copy(pooled[:], payload)], caller: caller, pooled: pooled}
	select {
	case c.queue <- d:
		return true
	default:
		c.pool.Put(pooled)
		return false
	}
}

// ReadFrom implements net.PacketConn.
func (c *flowConn) ReadFrom(buffer []byte) (length int, from net.Addr, err error) {
	c.mu.Lock()
	expired := c.expired
	c.mu.Unlock()
	select {
	case d := <-c.queue:
		length = copy(buffer, d.payload)
		c.pool.Put(d.pooled)
		return length, net.UDPAddrFromAddrPort(d.caller), nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	case <-expired:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

// WriteTo implements net.PacketConn. As with UDP, the packet may be lost without an error.
func (c *flowConn) WriteTo(payload []byte, to net.Addr) (length int, err error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	if caller, ok := to.(*net.UDPAddr); ok {
		address := caller.AddrPort()
		c.send(payload, netip.AddrPortFrom(address.Addr().Unmap(), address.Port()))
	}
	return len(payload), nil
}

// Close implements net.PacketConn.
func (c *flowConn) Close() (err error) {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// SetReadBuffer reports success to the QUIC transport, which calls it to enlarge the buffer
// of a socket. flowConn has no such buffer.
func (c *flowConn) SetReadBuffer(int) (err error) { return nil }

// SetWriteBuffer reports success, as SetReadBuffer does.
func (c *flowConn) SetWriteBuffer(int) (err error) { return nil }

// LocalAddr implements net.PacketConn.
func (c *flowConn) LocalAddr() (address net.Addr) { return c.local }

// SetDeadline implements net.PacketConn.
func (c *flowConn) SetDeadline(t time.Time) (err error) { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn. It does nothing, since WriteTo never blocks.
func (c *flowConn) SetWriteDeadline(time.Time) (err error) { return nil }

// SetReadDeadline implements net.PacketConn. It applies to a blocked read as well.
func (c *flowConn) SetReadDeadline(t time.Time) (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadlineTimer != nil {
		c.deadlineTimer.Stop()
		c.deadlineTimer = nil
	}
	select {
	case <-c.expired:
		c.expired = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return nil
	}
	expired := c.expired
	c.deadlineTimer = time.AfterFunc(time.Until(t), func() { close(expired) })
	return nil
}
