// Package lentilroute decides to which agent a packet from a caller goes.
//
// A place (lentilid.Place) identifies the agent that holds a flow. A QUIC packet carries
// it once the caller uses a connection ID that an agent has issued. Such a packet goes to
// that agent whatever this node knows of the copies, unless the place belongs to another
// service or to a failure domain that is out of service. Any other packet is hashed into
// the weighted bucket table of its service. Balancers with different views may choose
// different agents; the agents then forward the packet to the right one.
//
// A Router is immutable and safe for concurrent use.
package lentilroute

import (
	"encoding/binary"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Namespace holds the error types of the package.
var Namespace = errorx.NewNamespace("lentilroute")

// ErrHeader is the type of errors about packets that are not QUIC packets.
var ErrHeader = Namespace.NewType("header")

// Errors of ParseHeader. They are allocated once, so that a flood of malformed packets
// causes no allocations.
var (
	errShort   = ErrHeader.New("packet is too short for its QUIC header")
	errVersion = ErrHeader.New("packet of a caller has version 0 (version negotiation), which only servers send")
)

// Bits, and offsets in bytes, of the version-independent header.
const (
	longBit           = 0x80
	offsetVersion     = 1
	offsetDestination = 5
)

// Header is the part of a QUIC packet's header that all versions share
// (RFC 8999). Its slices share the packet's memory.
type Header struct {
	long        bool
	version     uint32
	destination []byte
	source      []byte
}

// Long reports whether the header has the long form, which is used until the
// handshake is complete.
func (h Header) Long() bool { return h.long }

// Version returns the QUIC version, which only a long header has.
func (h Header) Version() uint32 { return h.version }

// Destination returns the destination connection ID: chosen by the caller in
// its first packets, issued by an agent in all others.
func (h Header) Destination() []byte { return h.destination }

// Source returns the source connection ID, which only a long header has.
func (h Header) Source() []byte { return h.source }

// ParseHeader parses the header of a packet from a caller. It assumes that the
// connection ID of a short header has lentilid.ConnectionIDLen bytes. Errors are of
// the type ErrHeader.
func ParseHeader(packet []byte) (h Header, err error) {
	if len(packet) == 0 {
		return Header{}, errShort
	}
	if packet[0]&longBit == 0 {
		return parseShort(packet)
	}
	if len(packet) <= offsetDestination {
		return Header{}, errShort
	}
	h = Header{long: true, version: binary.BigEndian.Uint32(packet[offsetVersion:])}
	if h.version == 0 {
		// Only servers send version negotiation packets.
		return Header{}, errVersion
	}
	rest := packet[offsetDestination:]
	if h.destination, rest, err = cutID(rest); err != nil {
		return Header{}, err
	}
	if h.source, _, err = cutID(rest); err != nil {
		return Header{}, err
	}
	return h, nil
}

// parseShort parses a short header.
func parseShort(packet []byte) (h Header, err error) {
	if len(packet) < 1+lentilid.ConnectionIDLen {
		return Header{}, errShort
	}
	return Header{destination: packet[1 : 1+lentilid.ConnectionIDLen]}, nil
}

// cutID splits a connection ID with its length byte off the start of packet.
func cutID(packet []byte) (id, rest []byte, err error) {
	if len(packet) == 0 {
		return nil, nil, errShort
	}
	end := 1 + int(packet[0])
	if len(packet) < end {
		return nil, nil, errShort
	}
	return packet[1:end], packet[end:], nil
}
