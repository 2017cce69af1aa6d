package lentilhandoff

import (
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// peer is what is known of one peer.
type peer struct {
	record lentilrecord.Record
}

// peers is the state of a Chooser, by the name of the copy.
type peers struct {
	known []*peer
}

func (c *Chooser) learn(record lentilrecord.Record) {
	c.known = append(c.known, &peer{record: record})
}

func (c *Chooser) forget(lentilrecord.Owner) {}

func (c *Chooser) observe(lentilrecord.Owner, Load) {}

func (c *Chooser) refused(lentilrecord.Owner) {}

func (c *Chooser) forPacket(Load, int) (chosen lentilrecord.Record, ok bool) {
	return lentilrecord.Record{}, false
}

func (c *Chooser) forRequest(Load) (chosen lentilrecord.Record, ok bool) {
	return lentilrecord.Record{}, false
}

func (c *Chooser) sent(lentilrecord.Owner) {}
