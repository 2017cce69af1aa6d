package lentilagent

import (
	"crypto/rand"

	"github.com/quic-go/quic-go"
)

// connectionIDBytes is the length of every connection ID that agents give out.
const connectionIDBytes = 20

// placeIDs gives out connection IDs that hold the agent's place.
type placeIDs struct {
	seal func() (id [connectionIDBytes]byte)
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (p placeIDs) GenerateConnectionID() (id quic.ConnectionID, err error) {
	sealed := p.seal()
	return quic.ConnectionIDFromBytes(sealed[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (p placeIDs) ConnectionIDLen() (length int) { return connectionIDBytes }

// randomID returns a connection ID without a place.
func randomID() (id [connectionIDBytes]byte) {
	_, _ = rand.Read(id[:])
	return id
}

// sealPlaces returns what makes connection IDs with the agent's place.
func (a *Agent) sealPlaces() (seal func() (id [connectionIDBytes]byte), err error) {
	return randomID, nil
}
