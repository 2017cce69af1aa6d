package lentilview

import "lentilstair.example/lentilstair/pkg/lentilrecord"

// takeoverRenewals is how often a rival must renew while the holder doesn't.
const takeoverRenewals = 2

// ownershipTable decides, for each copy name or agent address, which of several owners
// has it. Incarnations are random numbers and clocks differ, so neither says who
// is newer. What a node can see is who still renews: an owner that is seen for the
// first time takes over at once, since a process has just started there; any other
// takes over when it has renewed twice and the holder hasn't. An owner that died
// but whose record came late loses again within two renewals; two owners that both
// live don't take turns. Known false case: until then the late record wins.
type ownershipTable[K comparable] struct{ byKey map[K]*ownership }

// ownership is the state for one key.
type ownership struct {
	current lentilrecord.Owner
	// challenger is the last owner but the holder that has renewed, renewals times
	// since the holder did.
	challenger         lentilrecord.Owner
	challengerRenewals int
	// claimants lists all claimants that have a record.
	claimants []lentilrecord.Owner
}

// isCurrent reports whether the owner has the key.
func (s *ownershipTable[K]) isCurrent(key K, owner lentilrecord.Owner) bool {
	c := s.byKey[key]
	return c != nil && c.current == owner
}

// recordRenewal notes that an owner has renewed its record. It calls changed for each
// owner whose standing has changed.
func (s *ownershipTable[K]) recordRenewal(key K, owner lentilrecord.Owner, first bool, changed func(lentilrecord.Owner)) {
	if s.byKey == nil {
		s.byKey = make(map[K]*ownership)
	}
	c := s.byKey[key]
	if c == nil {
		c = &ownership{}
		s.byKey[key] = c
	}
	c.addClaimant(owner)
	if c.takesOver(owner, first) {
		changed(c.current)
		changed(owner)
		c.current, c.challengerRenewals = owner, 0
	}
}

// addClaimant adds an owner to the list of all.
func (c *ownership) addClaimant(owner lentilrecord.Owner) {
	for _, o := range c.claimants {
		if o == owner {
			return
		}
	}
	c.claimants = append(c.claimants, owner)
}

// takesOver notes a renewal and reports whether the owner takes over with it.
func (c *ownership) takesOver(owner lentilrecord.Owner, first bool) bool {
	if owner == c.current {
		c.challengerRenewals = 0
		return false
	}
	if owner != c.challenger {
		c.challenger, c.challengerRenewals = owner, 0
	}
	c.challengerRenewals++
	return first || c.challengerRenewals >= takeoverRenewals || len(c.claimants) == 1
}

// removeOwner notes that an owner's lease has ended.
func (s *ownershipTable[K]) removeOwner(key K, owner lentilrecord.Owner, changed func(lentilrecord.Owner)) {
	c := s.byKey[key]
	if c == nil {
		return
	}
	kept := c.claimants[:0]
	for _, o := range c.claimants {
		if o != owner {
			kept = append(kept, o)
		}
	}
	c.claimants = kept
	if len(c.claimants) == 0 {
		delete(s.byKey, key)
		return
	}
	if c.current == owner {
		// The last one that joined is the likeliest to live.
		c.current, c.challengerRenewals = c.claimants[len(c.claimants)-1], 0
		changed(c.current)
	}
}
