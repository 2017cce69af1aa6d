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
	flagSyn     = 16
	flagFin     = 32
	flagAck     = 128
)

const (
	headerSize  = 31
	maxDataSize = 1200
)

// packet is one datagram of a flow.
type packet struct {
	flags    byte
	src, dst netip.AddrPort
	seq, ack uint32
	data     []byte
	raw      []byte
	genuine  bool
}

func (p packet) sum() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte{p.flags &^ flagBounced, 'k', 'e', 'y'})
	for _, e := range []netip.AddrPort{p.src, p.dst} {
		a := e.Addr().As4()
		_, _ = h.Write(a[:])
		_, _ = h.Write(binary.BigEndian.AppendUint16(nil, e.Port()))
	}
	_, _ = h.Write(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, p.seq), p.ack))
	_, _ = h.Write(p.data)
	if s := h.Sum32(); s != 0 {
		return s
	}
	return 1
}

func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	b[0] = p.flags
	binary.BigEndian.PutUint16(b[1:], uint16(len(p.data)))
	binary.BigEndian.PutUint16(b[7:], p.src.Port())
	d, s := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[9:], d[:])
	copy(b[13:], s[:])
	binary.BigEndian.PutUint16(b[17:], p.dst.Port())
	binary.BigEndian.PutUint32(b[19:], p.seq)
	binary.BigEndian.PutUint32(b[23:], p.ack)
	binary.BigEndian.PutUint32(b[27:], p.sum())
	return append(b, p.data...)
}

// parsePacket decodes a datagram. genuine is set if the sum is that of the packet's sender.
func parsePacket(b []byte) (p packet, ok bool) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[1:])) != len(b)-headerSize {
		return p, false
	}
	p = packet{
		flags: b[0],
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[13:17])), binary.BigEndian.Uint16(b[7:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[9:13])), binary.BigEndian.Uint16(b[17:])),
		seq:   binary.BigEndian.Uint32(b[19:]), ack: binary.BigEndian.Uint32(b[23:]),
		data: append([]byte(nil), b[headerSize:]...), raw: append([]byte(nil), b...),
	}
	p.genuine = binary.BigEndian.Uint32(b[27:]) == p.sum()
	return p, true
}

// isSystemReset reports whether the packet is a reset of the system's own.
func (p packet) isSystemReset() bool {
	return p.flags == flagReset && len(p.data) == 0 && binary.BigEndian.Uint32(p.raw[27:]) == 0
}
