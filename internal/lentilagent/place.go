package lentilagent

import (
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

// sealKeyBytes is the length of the secrets for sealing places.
const sealKeyBytes = 32

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

// newSealer returns the sealer of places with the keys of a ring.
func newSealer(ring lentilkey.Ring) (sealer *lentilid.Sealer, err error) {
	keys, err := ring.Derive(lentilkey.ConnectionID, sealKeyBytes)
	if err != nil {
		return nil, err
	}
	var docs []lentilid.Key
	for _, k := range keys {
		docs = append(docs, lentilid.Key{ID: k.ID(), Secret: k.Bytes()})
	}
	return lentilid.NewSealer(docs)
}
