package lentilview

import "lentilstair.example/lentilstair/pkg/lentilrecord"

// challengeRenewals is how often a rival must renew while the holder doesn't.
const challengeRenewals = 2

// contests decides, for each copy name or agent address, which of several owners
// has it. Incarnations are random numbers and clocks differ, so neither says who
// is newer. What a node can see is who still renews: an owner that is seen for the
// first time takes over at once, since a process has just started there; any other
// takes over when it has renewed twice and the holder hasn't. An owner that died
// but whose record came late loses again within two renewals; two owners that both
// live don't take turns. Known false case: until then the late record wins.
type contests[K comparable] struct{ byKey map[K]*contest }

// contest is the state for one key.
type contest struct {
	holder lentilrecord.Owner
	// rival is the last owner but the holder that has renewed, renewals times
	// since the holder did.
	rival    lentilrecord.Owner
	renewals int
	// owners lists all owners that have a record.
	owners []lentilrecord.Owner
}

// holds reports whether the owner has the key.
func (s *contests[K]) holds(key K, owner lentilrecord.Owner) bool {
	c := s.byKey[key]
	return c != nil && c.holder == owner
}

// advance notes that an owner has renewed its record. It calls changed for each
// owner whose standing has changed.
func (s *contests[K]) advance(key K, owner lentilrecord.Owner, first bool, changed func(lentilrecord.Owner)) {
	if s.byKey == nil {
		s.byKey = make(map[K]*contest)
	}
	c := s.byKey[key]
	if c == nil {
		c = &contest{}
		s.byKey[key] = c
	}
	c.join(owner)
	if c.wins(owner, first) {
		changed(c.holder)
		changed(owner)
		c.holder, c.renewals = owner, 0
	}
}

// join adds an owner to the list of all.
func (c *contest) join(owner lentilrecord.Owner) {
	for _, o := range c.owners {
		if o == owner {
			return
		}
	}
	c.owners = append(c.owners, owner)
}

// wins notes a renewal and reports whether the owner takes over with it.
func (c *contest) wins(owner lentilrecord.Owner, first bool) bool {
	if owner == c.holder {
		c.renewals = 0
		return false
	}
	if owner != c.rival {
		c.rival, c.renewals = owner, 0
	}
	c.renewals++
	return first || c.renewals >= challengeRenewals || len(c.owners) == 1
}

// leave notes that an owner's lease has ended.
func (s *contests[K]) leave(key K, owner lentilrecord.Owner, changed func(lentilrecord.Owner)) {
	c := s.byKey[key]
	if c == nil {
		return
	}
	kept := c.owners[:0]
	for _, o := range c.owners {
		if o != owner {
			kept = append(kept, o)
		}
	}
	c.owners = kept
	if len(c.owners) == 0 {
		delete(s.byKey, key)
		return
	}
	if c.holder == owner {
		// The last one that joined is the likeliest to live.
		c.holder, c.renewals = c.owners[len(c.owners)-1], 0
		changed(c.holder)
	}
}
