package lentilagent

import (
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// connectionIDGenerator generates QUIC connection IDs that carry the agent's place.
type connectionIDGenerator struct {
	sealer *lentilid.Sealer
	place  lentilid.Place
	nonce  atomic.Uint32
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *connectionIDGenerator) GenerateConnectionID() (id quic.ConnectionID, err error) {
	sealed := make([]byte, 0, lentilid.ConnectionIDLen)
	return quic.ConnectionIDFromBytes(g.sealer.AppendID(sealed, g.place, g.nonce.Add(1))), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *connectionIDGenerator) ConnectionIDLen() (length int) { return lentilid.ConnectionIDLen }
