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
	maxLeasedAgents     = 4096
	maxReachableDomains = 64
	maxNameLength       = 64
)

// Doc is the written form of a member's entry.
type Doc struct {
	// RunID tells one run of a balancer process from every other run.
	RunID lentilid.Incarnation
	// Version counts the versions that the run has made, from 1.
	Version uint64
	State   State
	// Control is the address at which the member serves control calls.
	Control netip.AddrPort
	// Region is empty while the member does not know it yet.
	Region string
	Domain string
	// LeasedAgents lists the agents whose leases the member holds, in order.
	LeasedAgents []lentilid.Incarnation
	// ReachableDomains lists the other failure domains with which the member is in contact, in order.
	ReachableDomains []string
}

// Rank orders the entries of one run: by version, then by state.
func (d Doc) Rank() uint64 { return d.Version<<stateBits | uint64(d.State) }

// CountsAsAlive reports whether the member counts as alive.
func (d Doc) CountsAsAlive() bool { return d.State == Alive || d.State == Suspect }

// valid reports whether a balancer could have made the entry.
func (d Doc) valid() bool {
	return d.RunID != 0 && d.Version != 0 && d.Version < 1<<(64-stateBits) && d.State <= Left &&
		d.Control.Addr().Is4() && d.Control.Port() != 0 &&
		len(d.Region) <= maxNameLength && len(d.Domain) <= maxNameLength &&
		len(d.LeasedAgents) <= maxLeasedAgents && len(d.ReachableDomains) <= maxReachableDomains
}

func (d Doc) clone() Doc {
	d.LeasedAgents = slices.Clone(d.LeasedAgents)
	d.ReachableDomains = slices.Clone(d.ReachableDomains)
	return d
}
