package lentilagent

import (
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// connectionIDGenerator gives out connection IDs that hold the agent's place.
type connectionIDGenerator struct {
	sealer *lentilid.Sealer
	place  lentilid.Place
	nonce  atomic.Uint32
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (p *connectionIDGenerator) GenerateConnectionID() (id quic.ConnectionID, err error) {
	sealed := make([]byte, 0, lentilid.ConnectionIDLen)
	return quic.ConnectionIDFromBytes(p.sealer.AppendID(sealed, p.place, p.nonce.Add(1))), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (p *connectionIDGenerator) ConnectionIDLen() (length int) { return lentilid.ConnectionIDLen }
