package lentilpin

// Hop says what a tunnel packet between agents is for, how many agents have
// handed it on, and to which question it belongs. A tunnel header carries it as it
// is. The zero Hop is that of a packet from a balancer.
type Hop uint16

// Purpose says why an agent got a packet.
type Purpose uint8

//go:generate stringer -type=Purpose,Verdict -output=enum_string.go

// The purposes.
const (
	// Deliver packets come from a balancer.
	Deliver Purpose = iota
	// Owned packets come from an agent that knows or believes their flow to live here.
	Owned
	// Ask packets come from an agent that wants to open their flow unless it lives here.
	Ask
	// Return packets come back to the agent that asked: their flow doesn't live
	// where it has asked.
	Return
	// HandOff packets come from an agent that has no room for their flow.
	HandOff
	// Found marks a Notice in place of a packet: the flow lives at the place in it.
	Found
)

// MaxHops is the highest number of agents that may hand on one packet. A packet
// whose flow is known needs one or two; the first packet of a flow that carries no
// place needs two for each agent that is asked while changes overlap.
const MaxHops = 24

// Layout of a Hop: purpose, count and token from the high bits down.
const (
	tokenBits = 8
	countBits = 5
	countMask = 1<<countBits - 1
)

// newHop returns a hop of the given parts.
func newHop(purpose Purpose, count int, token uint8) Hop {
	return Hop(purpose)<<(countBits+tokenBits) | Hop(count)<<tokenBits | Hop(token)
}

// Purpose returns what the packet is for.
func (h Hop) Purpose() Purpose { return Purpose(h >> (countBits + tokenBits)) }

// Count returns how many agents have handed the packet on.
func (h Hop) Count() int { return int(h >> tokenBits & countMask) }

// Token returns the number of the question to which an Ask or a Return belongs.
func (h Hop) Token() uint8 { return uint8(h) }
