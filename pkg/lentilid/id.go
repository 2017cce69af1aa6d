// Package lentilid names the parties of the system: services, failure domains,
// incarnations of agents, and the place at which a flow lives.
//
// The numbers are small on purpose, since a place travels in every connection ID.
package lentilid

import (
	"fmt"
	"net/netip"
)

// Service is the number of a service. Configuration assigns it and never gives
// it to another service. Zero means no service.
type Service uint16

// Domain is the number of a failure domain, assigned by configuration. Zero
// means no failure domain.
type Domain uint8

// Incarnation tells one run of an agent process from every other run. It is
// drawn at random at start, never zero, and only its low 24 bits travel in a Place.
type Incarnation uint64

// incarnationMask keeps the bits of an incarnation that a place carries.
const incarnationMask = 1<<24 - 1

// Short returns the 24 bits of the incarnation that a Place carries.
func (i Incarnation) Short() uint32 { return uint32(i & incarnationMask) }

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// Place says where a flow lives: which agent, in which failure domain, for which
// service, in which incarnation of that agent. The zero Place is nowhere.
type Place struct {
	agent       netip.AddrPort
	domain      Domain
	service     Service
	incarnation uint32
}

// NewPlace returns the place of the agent that listens for tunnel packets on the
// IPv4 address agent.
func NewPlace(agent netip.AddrPort, domain Domain, service Service, incarnation Incarnation) Place {
	return Place{agent: agent, domain: domain, service: service, incarnation: incarnation.Short()}
}

// Agent returns the tunnel address of the agent.
func (p Place) Agent() netip.AddrPort { return p.agent }

// Domain returns the failure domain of the agent.
func (p Place) Domain() Domain { return p.domain }

// Service returns the service of the flow.
func (p Place) Service() Service { return p.service }

// Incarnation returns the 24 bits that Incarnation.Short gives for the agent.
func (p Place) Incarnation() uint32 { return p.incarnation }

// IsZero reports whether the place is nowhere.
func (p Place) IsZero() bool { return p == Place{} }

// Equal reports whether both places are the same.
func (p Place) Equal(other Place) bool { return p == other }
