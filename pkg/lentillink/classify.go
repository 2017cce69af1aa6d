package lentillink

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// shortBytes is the amount of data below which a flow counts as short. It holds a booking or some reads.
	shortBytes = 4096
	// halfLife is the time in which the amount of data that counts for a flow halves. A long flow that sends a small
	// request now and then thus stays short.
	halfLife = time.Second
	// trackedFlows is the number of flows whose data is counted, a power of two. The counts take 64 KB. Two flows that
	// share a place reset each other's count.
	trackedFlows = 4096
)

// flowCount is the data that a flow has sent lately.
type flowCount struct {
	// hash tells the flows that share a place apart.
	hash uint32
	// halvings is the number of half-lives since start at the last update.
	halvings uint32
	bytes    uint64
}

// Classifier assigns classes to the packets of flows. The zero Classifier is ready to use.
type Classifier struct {
	counts []flowCount
	start  time.Time
}

// Classify counts a packet that is to be sent, and returns its class.
func (c *Classifier) Classify(now time.Time, p lentilflow.Packet) Class {
	switch {
	case p.OpensFlow():
		return Opening
	case p.Length == 0:
		return Short
	}
	if c.counts == nil {
		c.counts, c.start = make([]flowCount, trackedFlows), now
	}
	const otherBits = 32
	hash := p.Key.Hash()
	f, halvings := &c.counts[hash%trackedFlows], uint32(max(0, now.Sub(c.start))/halfLife)
	if tag := uint32(hash >> otherBits); f.hash != tag {
		*f = flowCount{hash: tag, halvings: halvings}
	}
	if halvings > f.halvings {
		f.bytes >>= halvings - f.halvings
		f.halvings = halvings
	}
	class := Short
	if f.bytes >= shortBytes {
		class = Bulk
	}
	f.bytes += uint64(p.Length)
	return class
}
