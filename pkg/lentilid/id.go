// Package lentilid defines the identifiers of services, failure domains, incarnations of
// agents and places. A place identifies the agent that holds a flow.
//
// The identifiers are small because every connection ID contains a place.
package lentilid

import (
	"fmt"
	"net/netip"
)

// Service is the number of a service. The configuration assigns it and never reuses it for
// another service. Zero means no service.
type Service uint16

// Domain is the number of a failure domain. The configuration assigns it. Zero means no
// failure domain.
type Domain uint8

// Incarnation identifies one run of an agent process. It is a random number chosen at the
// start of the process and is never zero. A Place contains only its low 24 bits.
type Incarnation uint64

// incarnationMask selects the bits of an incarnation that a place contains.
const incarnationMask = 1<<24 - 1

// Short returns the low 24 bits of the incarnation, which a Place contains.
func (i Incarnation) Short() uint32 { return uint32(i & incarnationMask) }

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// Place identifies the agent that holds a flow, by its address, failure domain, service and
// incarnation. The zero Place means no place.
type Place struct {
	agent       netip.AddrPort
	domain      Domain
	service     Service
	incarnation uint32
}

// NewPlace returns the place of an agent. Agent is the IPv4 address and port on which it
// receives tunnel packets.
func NewPlace(agent netip.AddrPort, domain Domain, service Service, incarnation Incarnation) Place {
	return Place{agent: agent, domain: domain, service: service, incarnation: incarnation.Short()}
}

// Agent returns the tunnel address of the agent.
func (p Place) Agent() netip.AddrPort { return p.agent }

// Domain returns the failure domain of the agent.
func (p Place) Domain() Domain { return p.domain }

// Service returns the service of the flow.
func (p Place) Service() Service { return p.service }

// Incarnation returns the low 24 bits of the agent's incarnation, as Incarnation.Short does.
func (p Place) Incarnation() uint32 { return p.incarnation }

// IsZero reports whether the place is the zero Place.
func (p Place) IsZero() bool { return p == Place{} }

// Equal reports whether both places are the same.
func (p Place) Equal(other Place) bool { return p == other }
