package lentilview

import "lentilstair.example/lentilstair/pkg/lentilrecord"

// takeoverRenewals is how often a challenger must renew its record, while the current
// owner doesn't, to take over.
const takeoverRenewals = 2

// ownershipTable decides which of several claimants is the current owner of a key, that
// is, of a copy name or an agent address. Incarnations are random numbers and clocks
// differ, so neither shows which claimant is newer. A node can only see which claimants
// still renew their records.
//
// An owner that is seen for the first time takes over at once, since a process has just
// started there. Any other owner takes over after it has renewed twice while the current
// owner has not. Two owners that are both alive therefore don't alternate.
//
// Known limitation: if the record of a dead owner arrives late, that owner is the current
// one until the live owner has renewed twice.
type ownershipTable[K comparable] struct{ byKey map[K]*ownership }

// ownership is the state of one key.
type ownership struct {
	// current is the current owner of the key.
	current lentilrecord.Owner
	// challenger is the claimant other than current that has renewed last.
	challenger lentilrecord.Owner
	// challengerRenewals counts the renewals of challenger since the last one of current.
	challengerRenewals int
	// claimants lists all owners that have a record for the key, in the order in which
	// they were added.
	claimants []lentilrecord.Owner
}

// isCurrent reports whether the owner is the current owner of the key.
func (t *ownershipTable[K]) isCurrent(key K, owner lentilrecord.Owner) bool {
	o := t.byKey[key]
	return o != nil && o.current == owner
}

// recordRenewal records that an owner has renewed its record; first is true for its first
// record. It calls changed for the previous and the new owner if the owner takes over.
func (t *ownershipTable[K]) recordRenewal(key K, owner lentilrecord.Owner, first bool, changed func(lentilrecord.Owner)) {
	if t.byKey == nil {
		t.byKey = make(map[K]*ownership)
	}
	o := t.byKey[key]
	if o == nil {
		o = &ownership{}
		t.byKey[key] = o
	}
	o.addClaimant(owner)
	if o.takesOver(owner, first) {
		changed(o.current)
		changed(owner)
		o.current, o.challengerRenewals = owner, 0
	}
}

// addClaimant adds an owner to the claimants unless it is one.
func (o *ownership) addClaimant(owner lentilrecord.Owner) {
	for _, claimant := range o.claimants {
		if claimant == owner {
			return
		}
	}
	o.claimants = append(o.claimants, owner)
}

// takesOver counts a renewal and reports whether the owner takes over with it.
func (o *ownership) takesOver(owner lentilrecord.Owner, first bool) bool {
	if owner == o.current {
		o.challengerRenewals = 0
		return false
	}
	if owner != o.challenger {
		o.challenger, o.challengerRenewals = owner, 0
	}
	o.challengerRenewals++
	return first || o.challengerRenewals >= takeoverRenewals || len(o.claimants) == 1
}

// removeOwner removes an owner from the claimants of a key, for example because its lease
// has ended. It calls changed for the owner that takes over, if any.
func (t *ownershipTable[K]) removeOwner(key K, owner lentilrecord.Owner, changed func(lentilrecord.Owner)) {
	o := t.byKey[key]
	if o == nil {
		return
	}
	kept := o.claimants[:0]
	for _, claimant := range o.claimants {
		if claimant != owner {
			kept = append(kept, claimant)
		}
	}
	o.claimants = kept
	if len(o.claimants) == 0 {
		delete(t.byKey, key)
		return
	}
	if o.current == owner {
		// The claimant that was added last is the most likely to be alive.
		o.current, o.challengerRenewals = o.claimants[len(o.claimants)-1], 0
		changed(o.current)
	}
}
