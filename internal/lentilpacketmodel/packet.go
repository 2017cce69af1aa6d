package lentilpacketmodel

import (
	"encoding/binary"
	"errors"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Offsets of the fields of a packet. The model has its own packet format, since no decision of balancers and
// agents may depend on the format of the users' platform.
const (
	offsetFlags        = 0
	offsetClient       = 1
	offsetService      = 7
	offsetSequence     = 13
	offsetAcknowledged = 17
	offsetLength       = 21
	// packetSize is the size of a packet without its payload.
	packetSize = 23
)

var errPacket = errors.New("not a packet of the model")

// codec returns the codec of the model's packet format.
func codec() lentilflow.Codec {
	return lentilflow.Codec{
		ParseClientPacket: parsePacket, ParseUpstreamPacket: parsePacket,
		ClearReturned: func(data []byte) { data[offsetFlags] &^= byte(lentilflow.Returned) },
		AppendReset: func(dst []byte, key lentilflow.Key, sequence uint32) []byte {
			return append(dst, encodePacket(lentilflow.Packet{Key: key, Flags: lentilflow.Reset, Sequence: sequence})...)
		},
	}
}

func encodePacket(p lentilflow.Packet) []byte {
	data := make([]byte, packetSize+p.Length)
	data[offsetFlags] = byte(p.Flags)
	encodeEndpoint(data[offsetClient:], p.Key.Client())
	encodeEndpoint(data[offsetService:], p.Key.Service())
	binary.BigEndian.PutUint32(data[offsetSequence:], p.Sequence)
	binary.BigEndian.PutUint32(data[offsetAcknowledged:], p.Acknowledged)
	binary.BigEndian.PutUint16(data[offsetLength:], uint16(p.Length))
	return data
}

func parsePacket(data []byte) (p lentilflow.Packet, err error) {
	if len(data) < packetSize || len(data) != packetSize+int(binary.BigEndian.Uint16(data[offsetLength:])) {
		return p, errPacket
	}
	p = lentilflow.Packet{
		Key:      lentilflow.NewKey(parseEndpoint(data[offsetClient:]), parseEndpoint(data[offsetService:])),
		Flags:    lentilflow.Flags(data[offsetFlags]),
		Sequence: binary.BigEndian.Uint32(data[offsetSequence:]), Acknowledged: binary.BigEndian.Uint32(data[offsetAcknowledged:]),
		Length: int(binary.BigEndian.Uint16(data[offsetLength:])),
	}
	if p.OpensFlow() {
		p.OpeningAge = time.Duration(p.Acknowledged) * time.Millisecond
	}
	return p, nil
}

// addressSize is the size of the IPv4 address of an endpoint, which its port follows.
const addressSize = 4

func encodeEndpoint(data []byte, endpoint lentilflow.Endpoint) {
	address := endpoint.Address()
	copy(data, address[:])
	binary.BigEndian.PutUint16(data[addressSize:], endpoint.Port())
}

func parseEndpoint(data []byte) lentilflow.Endpoint {
	return lentilflow.NewEndpoint([4]byte(data), binary.BigEndian.Uint16(data[addressSize:]))
}
