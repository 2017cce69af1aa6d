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
	// Hop is the hop field of the tunnel header, zero from a balancer.
	Hop Hop
	// From is the agent in the tunnel header, zero from a balancer. In an Ask it is
	// the agent that looks up the flow, in all others the agent that sent the packet.
	From lentilid.Place
	// Flow is the result of lentilroute.Classify for the packet, with the agent's sealer.
	Flow lentilroute.Flow
}

// Verdict says what the agent does with a packet.
type Verdict uint8

// The verdicts.
const (
	// Unknown is the zero value; Decide never returns it.
	Unknown Verdict = iota
	// Local passes the packet to the flow at this agent, which opens the flow if necessary.
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
	// DropUnknown is for a packet that can't open a flow and belongs to no flow known here.
	DropUnknown
	// DropDomainOut is for a flow in a failure domain that operators have taken out of service.
	DropDomainOut
	// DropHops is for a packet that has been forwarded MaxHops times.
	DropHops
	// DropFull is for a new flow for which the table has no room.
	DropFull
	// DropNoRoom is for a new flow that this agent must not open and no other agent takes.
	DropNoRoom
)

// Action is what the agent does with a packet.
type Action struct {
	Verdict Verdict
	// Place is the agent to which a Forward goes.
	Place lentilid.Place
	// Hop is the hop field in the tunnel header of a Forward.
	Hop Hop
	// From is the agent in the tunnel header of a Forward, see Packet.From.
	From lentilid.Place
	// NoticeTo is the agent to which Notice is sent, in a tunnel packet with NoticeHop
	// whose payload is the notice. If it is zero, no notice is sent.
	NoticeTo lentilid.Place
	Notice   Notice
}

// NoticeHop is the hop field in the tunnel header of a Notice.
const NoticeHop = Hop(Found) << (countBits + tokenBits)

// Notice informs an agent that asked for a flow where the flow lives.
type Notice struct {
	Key   lentilroute.Key
	Place lentilid.Place
}

// ErrNotice is the type of errors about malformed notices.
var ErrNotice = errorx.NewNamespace("lentilpin").NewType("notice")

// noticeFixedBytes is the length of a notice without its key.
const noticeFixedBytes = 12

// AppendBinary appends the encoded notice. The address of the agent in its place must be
// accepted by lentilid.CheckAgentAddress.
func (n Notice) AppendBinary(dst []byte) (data []byte, err error) {
	address := n.Place.Agent().Addr().Unmap().As4()
	dst = append(dst, address[:]...)
	dst = binary.BigEndian.AppendUint16(dst, n.Place.Agent().Port())
	dst = append(dst, byte(n.Place.Domain()))
	dst = binary.BigEndian.AppendUint16(dst, uint16(n.Place.Service()))
	incarnation := n.Place.Incarnation()
	dst = append(dst, byte(incarnation>>16), byte(incarnation>>8), byte(incarnation))
	return append(dst, n.Key.Bytes()...), nil
}

// ParseNotice decodes a notice.
func ParseNotice(data []byte) (n Notice, err error) {
	if len(data) <= noticeFixedBytes || len(data) > noticeFixedBytes+lentilroute.MaxKeyBytes {
		return Notice{}, ErrNotice.New("invalid notice length of %d bytes", len(data))
	}
	agent := netip.AddrPortFrom(netip.AddrFrom4([4]byte(data)), binary.BigEndian.Uint16(data[4:]))
	domain := lentilid.Domain(data[6])
	service := lentilid.Service(binary.BigEndian.Uint16(data[7:]))
	incarnation := lentilid.Incarnation(data[9])<<16 | lentilid.Incarnation(binary.BigEndian.Uint16(data[10:]))
	return Notice{
		Key:   lentilroute.NewKey(data[noticeFixedBytes:]),
		Place: lentilid.NewPlace(agent, domain, service, incarnation),
	}, nil
}
