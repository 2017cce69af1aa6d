// Command stand holds the stand-ins of the review's scripts: the platform's store, its routers, endpoints and clients on
// loopback addresses. It starts the project's own programs with the commands of the deploy file. It is written from
// the users' pages and shares no code with the project.
package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Bits of the flags of a packet.
const (
	flagReset   = 1
	flagBounced = 2
	flagOpen    = 16
	flagClose   = 32
	flagAck     = 128
	headSize    = 31
)

// packet is a packet of a flow, as PROTOCOL.md describes it.
type packet struct {
	flags    byte
	src, dst netip.AddrPort
	seq, ack uint32
	data     []byte
}

// sum is the keyed sum over all fields but echo, pad and flagBounced.
func (p packet) sum() uint32 {
	h := fnv.New32a()
	h.Write([]byte{'k', 'e', 'y', p.flags &^ flagBounced})
	for _, a := range []netip.AddrPort{p.src, p.dst} {
		ip := a.Addr().As4()
		h.Write(ip[:])
		h.Write(binary.BigEndian.AppendUint16(nil, a.Port()))
	}
	h.Write(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, p.seq), p.ack))
	h.Write(p.data)
	return h.Sum32()
}

func (p packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	b[0] = p.flags
	binary.BigEndian.PutUint16(b[1:], uint16(len(p.data)))
	binary.BigEndian.PutUint16(b[7:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[9:], dst[:])
	copy(b[13:], src[:])
	binary.BigEndian.PutUint16(b[17:], p.dst.Port())
	binary.BigEndian.PutUint32(b[19:], p.seq)
	binary.BigEndian.PutUint32(b[23:], p.ack)
	binary.BigEndian.PutUint32(b[27:], p.sum())
	return append(b, p.data...)
}

// decode returns the packet, whether its sender wrote it so, and whether it is a reset of the system's own.
func decode(b []byte) (p packet, genuine, own bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b[1:])) != len(b)-headSize {
		return p, false, false
	}
	p = packet{
		flags: b[0],
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[13:17])), binary.BigEndian.Uint16(b[7:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[9:13])), binary.BigEndian.Uint16(b[17:])),
		seq:   binary.BigEndian.Uint32(b[19:]), ack: binary.BigEndian.Uint32(b[23:]),
		data: append([]byte(nil), b[headSize:]...),
	}
	sum := binary.BigEndian.Uint32(b[27:])
	return p, sum == p.sum(), p.flags == flagReset && sum == 0 && len(p.data) == 0
}
