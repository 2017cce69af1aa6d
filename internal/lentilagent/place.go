package lentilagent

import (
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// placeIDs gives out connection IDs that hold the agent's place.
type placeIDs struct {
	sealer *lentilid.Sealer
	place  lentilid.Place
	nonce  atomic.Uint32
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (p *placeIDs) GenerateConnectionID() (id quic.ConnectionID, err error) {
	sealed := make([]byte, 0, lentilid.ConnectionIDLen)
	return quic.ConnectionIDFromBytes(p.sealer.AppendID(sealed, p.place, p.nonce.Add(1))), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (p *placeIDs) ConnectionIDLen() (length int) { return lentilid.ConnectionIDLen }
