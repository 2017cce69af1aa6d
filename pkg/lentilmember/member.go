// Package lentilmember keeps the membership table of balancers. It decides which
// members count as alive, which members each one exchanges state with, and which
// members take on a task for all: holding leases, reading the platform, probing lost
// members.
//
// Each run of a balancer process owns one entry, and only that run makes new
// versions of it. Other members may only mark a version as suspect or dead. The run
// refutes such a mark with a new version. Entries of the same run are merged by the
// higher rank, so the order and the number of deliveries do not matter.
package lentilmember

import (
	"net/netip"
	"slices"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// State is the state of one version of a member's entry.
type State uint8

//go:generate stringer -type=State

// The states of an entry. Within a version, a later state replaces an earlier one.
const (
	// Alive members answer.
	Alive State = iota
	// Suspect members did not answer at least one other member. They still count as alive.
	Suspect
	// Dead members did not answer and did not refute the suspicion in time.
	Dead
	// Left members announced that they stop.
	Left
)

// stateBits is the number of bits of a rank that hold the state.
const stateBits = 2

// Limits of a member's entry.
const (
	maxLeasedAgents     = 4096
	maxReachableDomains = 64
	maxNameLength       = 64
)

// Doc is the written form of a member's entry.
type Doc struct {
	// RunID identifies one run of a balancer process.
	RunID lentilid.Incarnation
	// Version counts the versions of the entry that the run has made, from 1.
	Version uint64
	State   State
	// Control is the address on which the member serves control calls.
	Control netip.AddrPort
	// Region is empty until the member learns its region.
	Region string
	Domain string
	// LeasedAgents lists the agents whose leases the member holds, in ascending order.
	LeasedAgents []lentilid.Incarnation
	// ReachableDomains lists the other failure domains with which the member is in contact, in ascending order.
	ReachableDomains []string
}

// Rank orders the entries of one run: by version, then by state.
func (d Doc) Rank() uint64 { return d.Version<<stateBits | uint64(d.State) }

// CountsAsAlive reports whether the entry is alive or only suspect.
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
