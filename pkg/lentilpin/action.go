package lentilpin

import (
	"encoding/binary"
	"net/netip"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// Packet is a tunnel packet that has reached the agent.
type Packet struct {
	// Service is the service in the tunnel header.
	Service lentilid.Service
	// Hop is what the tunnel header says, zero from a balancer.
	Hop Hop
	// From is the agent that the tunnel header names, zero from a balancer: the one
	// that asks in an Ask, in all others the one that sent the packet.
	From lentilid.Place
	// Flow is what lentilroute.Classify says about the packet, with the agent's sealer.
	Flow lentilroute.Flow
}

// Verdict says what the agent does with a packet.
type Verdict uint8

// The verdicts.
const (
	// Unknown is the verdict on nothing.
	Unknown Verdict = iota
	// Local hands the packet to the flow here, which it opens if need be.
	Local
	// Forward sends the packet to Action.Place with Action.Hop and Action.From.
	Forward
	// DropMalformed is for a packet that names no flow.
	DropMalformed
	// DropWrongService is for a packet of another service.
	DropWrongService
	// DropStale is for a flow of an earlier incarnation at this address. A QUIC
	// agent may answer with a stateless reset.
	DropStale
	// DropUnknown is for a packet that opens no flow and belongs to none here.
	DropUnknown
	// DropDomainOut is for a flow in a failure domain that operators have taken out.
	DropDomainOut
	// DropHops is for a packet that has been handed on MaxHops times.
	DropHops
	// DropFull is for a new flow that the keeper has no room to remember.
	DropFull
	// DropNoRoom is for a new flow that the agent must not open and nobody else takes.
	DropNoRoom
)

// Action is what the agent does with a packet.
type Action struct {
	Verdict Verdict
	// Place is the agent to which a Forward goes.
	Place lentilid.Place
	// Hop is what the tunnel header of a Forward says.
	Hop Hop
	// From is the agent that the tunnel header of a Forward names as Arrival.From.
	From lentilid.Place
	// NoticeTo is the agent to which Notice goes in a tunnel packet with NoticeHop
	// in place of a flow's packet. It is often zero: then there is nothing to send.
	NoticeTo lentilid.Place
	Notice   Notice
}

// NoticeHop is what the tunnel header of a Notice says.
const NoticeHop = Hop(Found) << (countBits + tokenBits)

// Notice tells an agent that asked where a flow lives.
type Notice struct {
	Key   lentilroute.Key
	Place lentilid.Place
}

// ErrNotice is the type of errors about notices that can't be read.
var ErrNotice = errorx.NewNamespace("lentilpin").NewType("notice")

// noticeFixedBytes is the length of a notice without its key.
const noticeFixedBytes = 12

// AppendBinary appends the written form of the notice, whose place must pass
// lentilid.CheckAgent.
func (n Notice) AppendBinary(dst []byte) (data []byte, err error) {
	address := n.Place.Agent().Addr().Unmap().As4()
	dst = append(dst, address[:]...)
	dst = binary.BigEndian.AppendUint16(dst, n.Place.Agent().Port())
	dst = append(dst, byte(n.Place.Domain()))
	dst = binary.BigEndian.AppendUint16(dst, uint16(n.Place.Service()))
	short := n.Place.Incarnation()
	dst = append(dst, byte(short>>16), byte(short>>8), byte(short))
	return append(dst, n.Key.Bytes()...), nil
}

// ParseNotice reads the written form of a notice.
func ParseNotice(data []byte) (n Notice, err error) {
	if len(data) <= noticeFixedBytes || len(data) > noticeFixedBytes+lentilroute.MaxKeyBytes {
		return Notice{}, ErrNotice.New("a notice has %d bytes", len(data))
	}
	agent := netip.AddrPortFrom(netip.AddrFrom4([4]byte(data)), binary.BigEndian.Uint16(data[4:]))
	domain := lentilid.Domain(data[6])
	service := lentilid.Service(binary.BigEndian.Uint16(data[7:]))
	short := lentilid.Incarnation(data[9])<<16 | lentilid.Incarnation(binary.BigEndian.Uint16(data[10:]))
	return Notice{
		Key:   lentilroute.NewKey(data[noticeFixedBytes:]),
		Place: lentilid.NewPlace(agent, domain, service, short),
	}, nil
}
