package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Bits of the flags byte of a packet, as PROTOCOL.md gives them.
const (
	bitReset   = 1
	bitBounced = 2
	bitSYN     = 16
	bitFIN     = 32
	bitACK     = 128

	headSize = 31
	// resetWindow is how far the seq of a reset of the system may be from the client's last ack on an open flow.
	resetWindow = 76_800
)

type packet struct {
	flags    byte
	echo     uint32
	src, dst netip.AddrPort
	seq, ack uint32
	sum      uint32
	data     []byte
}

// keyedSum covers all fields but echo, pad and the mark of a returned packet.
func (p packet) keyedSum() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte{p.flags &^ bitBounced, 'r', '3'})
	for _, e := range []netip.AddrPort{p.src, p.dst} {
		a := e.Addr().As4()
		_, _ = h.Write(a[:])
		_, _ = h.Write(binary.BigEndian.AppendUint16(nil, e.Port()))
	}
	_, _ = h.Write(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, p.seq), p.ack))
	_, _ = h.Write(p.data)
	return h.Sum32()
}

func (p packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	b[0] = p.flags
	binary.BigEndian.PutUint16(b[1:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[3:], p.echo)
	binary.BigEndian.PutUint16(b[7:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[9:], dst[:])
	copy(b[13:], src[:])
	binary.BigEndian.PutUint16(b[17:], p.dst.Port())
	binary.BigEndian.PutUint32(b[19:], p.seq)
	binary.BigEndian.PutUint32(b[23:], p.ack)
	binary.BigEndian.PutUint32(b[27:], p.keyedSum())
	return append(b, p.data...)
}

// parsePacket decodes a packet. genuine is set if an end wrote it so, and ownReset if it is a reset of the system's own.
func parsePacket(b []byte) (p packet, genuine, ownReset bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b[1:])) != len(b)-headSize {
		return p, false, false
	}
	p = packet{
		flags: b[0], echo: binary.BigEndian.Uint32(b[3:]),
		src: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[13:])), binary.BigEndian.Uint16(b[7:])),
		dst: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[9:])), binary.BigEndian.Uint16(b[17:])),
		seq: binary.BigEndian.Uint32(b[19:]), ack: binary.BigEndian.Uint32(b[23:]), sum: binary.BigEndian.Uint32(b[27:]),
		data: append([]byte(nil), b[headSize:]...),
	}
	ownReset = p.flags == bitReset && p.sum == 0 && len(p.data) == 0
	return p, p.sum == p.keyedSum(), ownReset
}

func within(a, b uint32, limit uint32) bool { return min(a-b, b-a) <= limit }
