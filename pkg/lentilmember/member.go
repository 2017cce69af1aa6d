// Package lentilmember keeps the membership of balancers: who is alive, who
// watches whom, and who does which task for all.
//
// A member's entry is owned by one run of one balancer process, and only that
// run makes new versions of it. Others may only mark a version as suspect or
// dead, and the run answers such a mark with a new version. Entries are joined
// by the higher rank, so the order and the number of deliveries do not matter.
package lentilmember

import (
	"net/netip"
	"slices"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// State is what is thought of a version of a member's entry.
type State uint8

//go:generate stringer -type=State

// The states, each of which replaces those before it in the same version.
const (
	// Alive members answer.
	Alive State = iota
	// Suspect members did not answer somebody; they still count as alive.
	Suspect
	// Dead members did not answer and did not refute the suspicion.
	Dead
	// Left members said that they end.
	Left
)

// stateBits is how many bits of a rank hold the state.
const stateBits = 2

// Limits of a member's entry.
const (
	maxHeld    = 4096
	maxReaches = 64
	maxName    = 64
)

// Doc is the written form of a member's entry.
type Doc struct {
	// Run tells one run of a balancer process from every other run.
	Run lentilid.Incarnation
	// Version counts the versions that the run has made, from 1.
	Version uint64
	State   State
	// Control is the address at which the member serves control calls.
	Control netip.AddrPort
	// Region is empty while the member does not know it yet.
	Region string
	Domain string
	// Held lists the agents whose leases the member holds, in order.
	Held []lentilid.Incarnation
	// Reaches lists the other failure domains with which the member is in contact, in order.
	Reaches []string
}

// Rank orders the entries of one run: by version, then by state.
func (d Doc) Rank() uint64 { return d.Version<<stateBits | uint64(d.State) }

// Counts reports whether the member counts as alive.
func (d Doc) Counts() bool { return d.State == Alive || d.State == Suspect }

// valid reports whether a balancer could have made the entry.
func (d Doc) valid() bool {
	return d.Run != 0 && d.Version != 0 && d.Version < 1<<(64-stateBits) && d.State <= Left &&
		d.Control.Addr().Is4() && d.Control.Port() != 0 &&
		len(d.Region) <= maxName && len(d.Domain) <= maxName &&
		len(d.Held) <= maxHeld && len(d.Reaches) <= maxReaches
}

func (d Doc) clone() Doc {
	d.Held = slices.Clone(d.Held)
	d.Reaches = slices.Clone(d.Reaches)
	return d
}
