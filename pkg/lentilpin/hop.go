package lentilpin

// Hop is a field in the header of a tunnel packet between agents. It holds the
// purpose of the packet, the number of agents that have forwarded it, and a token.
// The zero Hop is that of a packet from a balancer.
type Hop uint16

// Purpose says why an agent receives a packet.
type Purpose uint8

//go:generate stringer -type=Purpose,Verdict -output=enum_string.go

// The purposes.
const (
	// Deliver packets come from a balancer.
	Deliver Purpose = iota
	// Owned packets come from an agent that assumes that their flow lives here.
	Owned
	// Ask packets come from an agent that wants to open their flow unless it lives here.
	Ask
	// Return packets come back to the agent that sent an Ask: the flow doesn't live
	// at the agent that was asked.
	Return
	// HandOff packets come from an agent that has no room for their flow.
	HandOff
	// Found marks a Notice in place of a packet: the flow lives at the place in the notice.
	Found
)

// MaxHops is the highest number of agents that may forward one packet. A packet
// whose flow is known needs one or two. The first packet of a flow that carries no
// place needs two for each agent that is asked while member changes overlap.
const MaxHops = 24

// Layout of a Hop: purpose, count and token, from the high bits to the low bits.
const (
	tokenBits = 8
	countBits = 5
	countMask = 1<<countBits - 1
)

// newHop returns a hop of the given parts.
func newHop(purpose Purpose, count int, token uint8) Hop {
	return Hop(purpose)<<(countBits+tokenBits) | Hop(count)<<tokenBits | Hop(token)
}

// Purpose returns why the packet was sent.
func (h Hop) Purpose() Purpose { return Purpose(h >> (countBits + tokenBits)) }

// Count returns how many agents have forwarded the packet.
func (h Hop) Count() int { return int(h >> tokenBits & countMask) }

// Token returns a number that matches a Return to its Ask. For a HandOff it is the
// number of agents that have handed off the flow.
func (h Hop) Token() uint8 { return uint8(h) }
