// Package lentilframe implements the wire format of the datagrams that balancers and agents exchange
// about flows whose packets carry no routing information. A frame holds a message of package lentilflow,
// such as a forwarded client packet or an agent's status.
//
// A frame begins with a fixed head of two bytes. Numbers are big-endian, and a text is preceded by its
// length in one byte. In some kinds of frames a client's packet follows and extends to the end of the frame.
// Frames aren't signed. Where processes share no secret, the network between them must keep other hosts out.
package lentilframe

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Kind is the kind of message in a frame.
type Kind uint8

//go:generate stringer -type=Kind

// Kinds of frames. Each is named after the message type of lentilflow, or of lentilledger, that the frame holds.
const (
	Carry Kind = iota + 1
	Taken
	Refused
	Denied
	Status
	Hello
	Ask
	Relay
	StopRequest
	StopAnswer
	LedgerReport
	LedgerAck
)

// magic is the first byte of every frame. It changes with the format.
const magic = 0xE1

// MaxBytes is the maximum size of a frame: that of a Carry with a packet of 1,300 bytes. The other terms are
// the head, the purpose, the longest service name with its length, the version, the cold rate, the terms and the
// age.
const MaxBytes = 1300 + 2 + 1 + 256 + 8 + 4 + 6 + 2

// ErrFrame is the type of errors about malformed or unexpected frames.
var ErrFrame = errorx.NewNamespace("lentilframe").NewType("frame")

// KindOf returns the kind in the head of a frame, or zero if data isn't a frame. The kind may be unknown.
func KindOf(data []byte) Kind {
	const headSize = 2
	if len(data) < headSize || data[0] != magic {
		return 0
	}
	return Kind(data[1])
}

// Flags of a Status frame. With flagStatusHasEra, the era of the store follows the load, and with
// flagHasConfiguredBalancer the address of such a balancer ends the frame.
const (
	flagCold = 1 << iota
	flagOut
	flagStopping
	flagEnded
	flagUnderstandsTerms
	flagAgentUnderstandsEra
	flagStatusHasEra
	flagHasConfiguredBalancer
)

// Bits of the purpose of a Carry frame. hasTerms means that the terms of the flow follow the cold rate. Releases
// that don't know it reject such frames, so only agents that announce that they understand terms get them.
const (
	purposeMask = 0x7F
	hasTerms    = 0x80
)

// Flags in bytes that hold another value too. With them, Load.Utilization, ServiceTime and Waiting follow the load.
// Releases that don't know them reject such frames or misread them, so only balancers that announce that they understand
// these fields get them. All flags of a Status frame are taken, so its flag is in the byte of the phase.
const (
	hasWait      = 0x80
	takenHasWait = 0x02
	takenOpen    = 0x01
)

// Flags of the terms of a Carry frame.
const (
	flagRepeatable = 1 << iota
	flagMayWait
	flagLastResort
	flagMayQueue
)

// Flags of a Hello frame. With flagHasDomainState, the state of the agent's failure domain follows, and with
// flagHelloHasEra the era of the store ends the frame.
const (
	flagBalancerStopping = 1 << iota
	flagHasDomainState
	flagDomainOut
	flagBalancerUnderstandsEra
	flagHelloHasEra
	flagConfigured
	flagRelays
	flagUnderstandsWait
)

// AppendCarry appends a Carry frame, which ends with the client's packet.
func AppendCarry(dst []byte, m lentilflow.Carry) []byte {
	withTerms := m.MayWait || m.MayQueue || m.LastResort || m.Age > 0 || m.Terms != lentilflow.Terms{}
	dst = append(dst, magic, byte(Carry), byte(m.Purpose)|flagIf(withTerms, hasTerms))
	dst = appendText(dst, m.Service)
	dst = binary.BigEndian.AppendUint64(dst, m.Version)
	dst = binary.BigEndian.AppendUint32(dst, math.Float32bits(m.ColdRate))
	if withTerms {
		dst = binary.BigEndian.AppendUint32(dst, uint32(m.Terms.Target.Milliseconds()))
		dst = append(dst, m.Terms.Priority,
			flagIf(m.Terms.Repeatable, flagRepeatable)|flagIf(m.MayWait, flagMayWait)|flagIf(m.LastResort, flagLastResort)|flagIf(m.MayQueue, flagMayQueue))
		dst = binary.BigEndian.AppendUint16(dst, uint16(min(m.Age.Milliseconds(), math.MaxUint16)))
	}
	return append(dst, m.Packet...)
}

// ParseCarry parses a Carry frame. The client's packet in the result shares the memory of data.
func ParseCarry(data []byte) (m lentilflow.Carry, err error) {
	r := reader{data: data, kind: Carry}
	purpose := r.head().byte()
	m.Purpose = lentilflow.Purpose(purpose & purposeMask)
	m.Service = r.text()
	m.Version = r.uint64()
	m.ColdRate = math.Float32frombits(r.uint32())
	if purpose&hasTerms != 0 {
		m.Terms.Target = time.Duration(r.uint32()) * time.Millisecond
		m.Terms.Priority = r.byte()
		flags := r.byte()
		m.Terms.Repeatable, m.MayWait, m.LastResort = flags&flagRepeatable != 0, flags&flagMayWait != 0, flags&flagLastResort != 0
		m.MayQueue = flags&flagMayQueue != 0
		m.Age = time.Duration(r.uint16()) * time.Millisecond
	}
	m.Packet = r.rest()
	if m.Purpose > lentilflow.Lookup {
		r.fail("purpose")
	}
	return m, r.err
}

// AppendRelay appends a Relay frame, which is a client's packet.
func AppendRelay(dst []byte, m lentilflow.Relay) []byte {
	return append(append(dst, magic, byte(Relay)), m.Packet...)
}

// ParseRelay parses a Relay frame. The client's packet in the result shares the memory of data.
func ParseRelay(data []byte) (m lentilflow.Relay, err error) {
	r := reader{data: data, kind: Relay}
	m.Packet = r.head().rest()
	return m, r.err
}

// AppendTaken appends a Taken frame.
func AppendTaken(dst []byte, m lentilflow.Taken) []byte {
	dst = append(dst, magic, byte(Taken))
	dst = appendKey(dst, m.Key)
	dst = append(dst, flagIf(m.Open, takenOpen)|flagIf(m.Load.ReportsWait(), takenHasWait))
	return appendWait(appendLoad(dst, m.Load), m.Load)
}

// ParseTaken parses a Taken frame.
func ParseTaken(data []byte) (m lentilflow.Taken, err error) {
	r := reader{data: data, kind: Taken}
	m.Key = r.head().key()
	flags := r.byte()
	m.Open = flags&takenOpen != 0
	m.Load = r.load()
	if flags&takenHasWait != 0 {
		r.wait(&m.Load)
	}
	return m, r.finish()
}

// AppendRefused appends a Refused frame, which ends with the client's packet.
func AppendRefused(dst []byte, m lentilflow.Refused) []byte {
	dst = append(dst, magic, byte(Refused), byte(m.Reason)|flagIf(m.Load.ReportsWait(), hasWait))
	dst = appendWait(appendLoad(dst, m.Load), m.Load)
	return append(dst, m.Packet...)
}

// ParseRefused parses a Refused frame. The client's packet in the result shares the memory of data.
func ParseRefused(data []byte) (m lentilflow.Refused, err error) {
	r := reader{data: data, kind: Refused}
	reason := r.head().byte()
	m.Reason = lentilflow.Refusal(reason &^ hasWait)
	m.Load = r.load()
	if reason&hasWait != 0 {
		r.wait(&m.Load)
	}
	m.Packet = r.rest()
	if m.Reason == lentilflow.NotRefused || m.Reason > lentilflow.UpstreamOverloaded {
		r.fail("reason")
	}
	return m, r.err
}

// AppendDenied appends a Denied frame with at most lentilflow.MaxKeys keys; further keys are left out.
func AppendDenied(dst []byte, m lentilflow.Denied) []byte {
	return appendKeys(append(dst, magic, byte(Denied), flagIf(m.Unsure, 1)), m.Keys)
}

// ParseDenied parses a Denied frame.
func ParseDenied(data []byte) (m lentilflow.Denied, err error) {
	r := reader{data: data, kind: Denied}
	m.Unsure = r.head().byte() != 0
	m.Keys = r.keys()
	return m, r.finish()
}

// AppendAsk appends an Ask frame with at most lentilflow.MaxKeys keys; further keys are left out.
func AppendAsk(dst []byte, m lentilflow.Ask) []byte {
	return appendKeys(append(dst, magic, byte(Ask)), m.Keys)
}

// ParseAsk parses an Ask frame.
func ParseAsk(data []byte) (m lentilflow.Ask, err error) {
	r := reader{data: data, kind: Ask}
	m.Keys = r.head().keys()
	return m, r.finish()
}

// AppendStatus appends a Status frame.
func AppendStatus(dst []byte, m lentilflow.Status) []byte {
	dst = append(dst, magic, byte(Status))
	dst = appendText(dst, m.Name)
	dst = appendText(dst, m.Service)
	dst = appendText(dst, m.Domain)
	dst = binary.BigEndian.AppendUint64(dst, m.RunID)
	dst = binary.BigEndian.AppendUint64(dst, m.Sequence)
	dst = append(dst, byte(m.Phase)|flagIf(m.Load.ReportsWait(), hasWait), flagIf(m.Cold, flagCold)|flagIf(m.Out, flagOut)|flagIf(m.Stopping, flagStopping)|
		flagIf(m.UpstreamEnded, flagEnded)|flagIf(m.UnderstandsTerms, flagUnderstandsTerms)|
		flagIf(m.UnderstandsEra, flagAgentUnderstandsEra)|flagIf(m.Store.Era > 0, flagStatusHasEra)|
		flagIf(m.ConfiguredBalancer != lentilflow.Endpoint{}, flagHasConfiguredBalancer))
	dst = binary.BigEndian.AppendUint32(dst, uint32(m.Interval.Milliseconds()))
	dst = binary.BigEndian.AppendUint16(dst, m.BalancerCount)
	dst = appendStoreState(dst, m.Store)
	dst = appendEra(appendWait(appendLoad(dst, m.Load), m.Load), m.Store)
	if m.ConfiguredBalancer != (lentilflow.Endpoint{}) {
		dst = appendEndpoint(dst, m.ConfiguredBalancer)
	}
	return dst
}

// ParseStatus parses a Status frame.
func ParseStatus(data []byte) (m lentilflow.Status, err error) {
	r := reader{data: data, kind: Status}
	m.Name = r.head().text()
	m.Service = r.text()
	m.Domain = r.text()
	m.RunID = r.uint64()
	m.Sequence = r.uint64()
	phase := r.byte()
	m.Phase = lentilflow.Phase(phase &^ hasWait)
	flags := r.byte()
	m.Cold, m.Out, m.Stopping, m.UpstreamEnded = flags&flagCold != 0, flags&flagOut != 0, flags&flagStopping != 0, flags&flagEnded != 0
	m.UnderstandsTerms, m.UnderstandsEra = flags&flagUnderstandsTerms != 0, flags&flagAgentUnderstandsEra != 0
	m.Interval = time.Duration(r.uint32()) * time.Millisecond
	m.BalancerCount = r.uint16()
	m.Store = r.storeState()
	m.Load = r.load()
	if phase&hasWait != 0 {
		r.wait(&m.Load)
	}
	if flags&flagStatusHasEra != 0 {
		r.era(&m.Store)
	}
	if flags&flagHasConfiguredBalancer != 0 {
		m.ConfiguredBalancer = r.endpoint()
	}
	if m.Phase > lentilflow.Gone {
		r.fail("phase")
	}
	return m, r.finish()
}

// AppendHello appends a Hello frame.
func AppendHello(dst []byte, m lentilflow.Hello) []byte {
	dst = append(dst, magic, byte(Hello))
	dst = appendText(dst, m.Name)
	dst = appendText(dst, m.Domain)
	dst = binary.BigEndian.AppendUint64(dst, m.RunID)
	withDomain := m.DomainState != lentilflow.DomainState{}
	dst = append(dst, flagIf(m.Stopping, flagBalancerStopping)|flagIf(withDomain, flagHasDomainState)|flagIf(m.DomainState.Out, flagDomainOut)|
		flagIf(m.UnderstandsEra, flagBalancerUnderstandsEra)|flagIf(m.Store.Era > 0, flagHelloHasEra)|
		flagIf(m.Configured, flagConfigured)|flagIf(m.Relays, flagRelays)|flagIf(m.UnderstandsWait, flagUnderstandsWait))
	dst = appendStoreState(dst, m.Store)
	if withDomain {
		dst = binary.BigEndian.AppendUint64(dst, m.DomainState.AsOf)
	}
	return appendEra(dst, m.Store)
}

// ParseHello parses a Hello frame.
func ParseHello(data []byte) (m lentilflow.Hello, err error) {
	r := reader{data: data, kind: Hello}
	m.Name = r.head().text()
	m.Domain = r.text()
	m.RunID = r.uint64()
	flags := r.byte()
	m.Stopping, m.UnderstandsEra = flags&flagBalancerStopping != 0, flags&flagBalancerUnderstandsEra != 0
	m.Configured, m.Relays, m.UnderstandsWait = flags&flagConfigured != 0, flags&flagRelays != 0, flags&flagUnderstandsWait != 0
	m.Store = r.storeState()
	if flags&flagHasDomainState != 0 {
		m.DomainState = lentilflow.DomainState{AsOf: r.uint64(), Out: flags&flagDomainOut != 0}
	}
	if flags&flagHelloHasEra != 0 {
		r.era(&m.Store)
	}
	return m, r.finish()
}

// AppendStopRequest appends a StopRequest frame. Agents of earlier releases ignore it.
func AppendStopRequest(dst []byte, m lentilflow.StopRequest) []byte {
	dst = appendText(append(dst, magic, byte(StopRequest)), m.Name)
	return binary.BigEndian.AppendUint64(appendText(dst, m.Domain), m.RunID)
}

// ParseStopRequest parses a StopRequest frame.
func ParseStopRequest(data []byte) (m lentilflow.StopRequest, err error) {
	r := reader{data: data, kind: StopRequest}
	m.Name = r.head().text()
	m.Domain = r.text()
	m.RunID = r.uint64()
	return m, r.finish()
}

// AppendStopAnswer appends a StopAnswer frame.
func AppendStopAnswer(dst []byte, m lentilflow.StopAnswer) []byte {
	return append(binary.BigEndian.AppendUint64(append(dst, magic, byte(StopAnswer)), m.RunID), flagIf(m.Granted, 1))
}

// ParseStopAnswer parses a StopAnswer frame.
func ParseStopAnswer(data []byte) (m lentilflow.StopAnswer, err error) {
	r := reader{data: data, kind: StopAnswer}
	m.RunID = r.head().uint64()
	m.Granted = r.byte() != 0
	return m, r.finish()
}
