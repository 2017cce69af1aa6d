// Package lentilframe is the wire format of the datagrams between balancers and agents for flows
// without a place: client packets on their way, and what both tell each other about flows.
//
// A frame is a fixed head of two bytes, numbers in big endian order, texts with a length of one
// byte, and for some kinds a client's packet up to the end. Nothing is signed: where processes
// have no shared secret, the network between them has to keep strangers out.
package lentilframe

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Kind says what a frame holds.
type Kind uint8

//go:generate stringer -type=Kind

// The kinds of frames, each named like the message of lentilflow that it holds.
const (
	Carry Kind = iota + 1
	Taken
	Refused
	Denied
	Status
	Hello
	Ask
)

// magic begins every frame; it changes with the format.
const magic = 0xE1

// MaxBytes is the longest frame: a packet of 1,300 bytes at most and the longest head.
const MaxBytes = 1300 + 2 + 1 + 256 + 8 + 4

// ErrFrame is the type of errors about frames that can't be read.
var ErrFrame = errorx.NewNamespace("lentilframe").NewType("frame")

// KindOf returns the kind of a frame, or zero if it is none.
func KindOf(data []byte) Kind {
	const head = 2
	if len(data) < head || data[0] != magic {
		return 0
	}
	return Kind(data[1])
}

// Flags of a status.
const (
	flagCold = 1 << iota
	flagOut
	flagStopping
	flagEnded
)

// AppendCarry appends a frame with a client's packet.
func AppendCarry(dst []byte, m lentilflow.Carry) []byte {
	dst = append(dst, magic, byte(Carry), byte(m.Purpose))
	dst = appendText(dst, m.Service)
	dst = binary.BigEndian.AppendUint64(dst, m.Version)
	dst = binary.BigEndian.AppendUint32(dst, math.Float32bits(m.ColdRate))
	return append(dst, m.Packet...)
}

// ParseCarry reads a frame with a client's packet, which shares the memory of data.
func ParseCarry(data []byte) (m lentilflow.Carry, err error) {
	r := reader{data: data, kind: Carry}
	m.Purpose = lentilflow.Purpose(r.head().byte())
	m.Service = r.text()
	m.Version = r.uint64()
	m.ColdRate = math.Float32frombits(r.uint32())
	m.Packet = r.rest()
	if m.Purpose > lentilflow.Lookup {
		r.fail("purpose")
	}
	return m, r.err
}

// AppendTaken appends a frame.
func AppendTaken(dst []byte, m lentilflow.Taken) []byte {
	dst = append(dst, magic, byte(Taken))
	dst = appendKey(dst, m.Key)
	dst = append(dst, flagIf(m.Open, 1))
	return appendLoad(dst, m.Load)
}

// ParseTaken reads a frame.
func ParseTaken(data []byte) (m lentilflow.Taken, err error) {
	r := reader{data: data, kind: Taken}
	m.Key = r.head().key()
	m.Open = r.byte() != 0
	m.Load = r.load()
	return m, r.finish()
}

// AppendRefused appends a frame with a first packet.
func AppendRefused(dst []byte, m lentilflow.Refused) []byte {
	dst = append(dst, magic, byte(Refused), byte(m.Reason))
	dst = appendLoad(dst, m.Load)
	return append(dst, m.Packet...)
}

// ParseRefused reads a frame with a first packet, which shares the memory of data.
func ParseRefused(data []byte) (m lentilflow.Refused, err error) {
	r := reader{data: data, kind: Refused}
	m.Reason = lentilflow.Refusal(r.head().byte())
	m.Load = r.load()
	m.Packet = r.rest()
	if m.Reason == lentilflow.NotRefused || m.Reason > lentilflow.Stopping {
		r.fail("reason")
	}
	return m, r.err
}

// AppendDenied appends a frame.
func AppendDenied(dst []byte, m lentilflow.Denied) []byte {
	return appendKeys(append(dst, magic, byte(Denied), flagIf(m.Unsure, 1)), m.Keys)
}

// ParseDenied reads a frame.
func ParseDenied(data []byte) (m lentilflow.Denied, err error) {
	r := reader{data: data, kind: Denied}
	m.Unsure = r.head().byte() != 0
	m.Keys = r.keys()
	return m, r.finish()
}

// AppendAsk appends a frame.
func AppendAsk(dst []byte, m lentilflow.Ask) []byte {
	return appendKeys(append(dst, magic, byte(Ask)), m.Keys)
}

// ParseAsk reads a frame.
func ParseAsk(data []byte) (m lentilflow.Ask, err error) {
	r := reader{data: data, kind: Ask}
	m.Keys = r.head().keys()
	return m, r.finish()
}

// AppendStatus appends a frame.
func AppendStatus(dst []byte, m lentilflow.Status) []byte {
	dst = append(dst, magic, byte(Status))
	dst = appendText(dst, m.Name)
	dst = appendText(dst, m.Service)
	dst = appendText(dst, m.Domain)
	dst = binary.BigEndian.AppendUint64(dst, m.RunID)
	dst = binary.BigEndian.AppendUint64(dst, m.Sequence)
	dst = append(dst, byte(m.Phase), flagIf(m.Cold, flagCold)|flagIf(m.Out, flagOut)|flagIf(m.Stopping, flagStopping)|flagIf(m.UpstreamEnded, flagEnded))
	dst = binary.BigEndian.AppendUint32(dst, uint32(m.Interval.Milliseconds()))
	dst = binary.BigEndian.AppendUint16(dst, m.BalancerCount)
	dst = appendStoreState(dst, m.Store)
	return appendLoad(dst, m.Load)
}

// ParseStatus reads a frame.
func ParseStatus(data []byte) (m lentilflow.Status, err error) {
	r := reader{data: data, kind: Status}
	m.Name = r.head().text()
	m.Service = r.text()
	m.Domain = r.text()
	m.RunID = r.uint64()
	m.Sequence = r.uint64()
	m.Phase = lentilflow.Phase(r.byte())
	flags := r.byte()
	m.Cold, m.Out, m.Stopping, m.UpstreamEnded = flags&flagCold != 0, flags&flagOut != 0, flags&flagStopping != 0, flags&flagEnded != 0
	m.Interval = time.Duration(r.uint32()) * time.Millisecond
	m.BalancerCount = r.uint16()
	m.Store = r.storeState()
	m.Load = r.load()
	if m.Phase > lentilflow.Gone {
		r.fail("phase")
	}
	return m, r.finish()
}

// AppendHello appends a frame.
func AppendHello(dst []byte, m lentilflow.Hello) []byte {
	dst = append(dst, magic, byte(Hello))
	dst = appendText(dst, m.Name)
	dst = appendText(dst, m.Domain)
	dst = binary.BigEndian.AppendUint64(dst, m.RunID)
	return appendStoreState(append(dst, flagIf(m.Stopping, 1)), m.Store)
}

// ParseHello reads a frame.
func ParseHello(data []byte) (m lentilflow.Hello, err error) {
	r := reader{data: data, kind: Hello}
	m.Name = r.head().text()
	m.Domain = r.text()
	m.RunID = r.uint64()
	m.Stopping = r.byte() != 0
	m.Store = r.storeState()
	return m, r.finish()
}
