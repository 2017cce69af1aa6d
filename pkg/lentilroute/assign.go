package lentilroute

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Numbers of buckets. Few sizes keep the number steady while members come and
// go, since a change of size moves most buckets.
const (
	smallBuckets     = 1 << 10
	mediumBuckets    = 1 << 13
	largeBuckets     = 1 << 16
	maxSmallMembers  = 16
	maxMediumMembers = 128
)

// bucketCount returns the number of buckets for a number of members.
func bucketCount(members int) int {
	switch {
	case members == 0:
		return 0
	case members <= maxSmallMembers:
		return smallBuckets
	case members <= maxMediumMembers:
		return mediumBuckets
	default:
		return largeBuckets
	}
}

// assignment is weighted rendezvous hashing with quotas. Every bucket prefers
// members by weighted score, every member prefers buckets by the same score, and a
// member takes no more buckets than its quota. The one stable matching of these
// preferences gives every member its exact share, and moves little more than
// the least possible when members or weights change.
type assignment struct {
	members []Member
	seeds   []uint64
	weights []float64
	quotas  []int
	held    []proposalHeap
	owners  []uint16
}

// proposal is a bucket that a member holds for now.
type proposal struct {
	score  float64
	bucket uint32
	index  int32
}

// proposalHeap is what a member holds. Once the member holds its quota it is a heap whose
// first claim is the one that the member likes least.
type proposalHeap []proposal

// init makes a heap of the claims.
func (c proposalHeap) init() {
	for i := len(c)/2 - 1; i >= 0; i-- {
		c.siftDown(i)
	}
}

// siftDown moves the claim at i down to its place in the heap.
func (c proposalHeap) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(c) {
			return
		}
		if child+1 < len(c) && c[child+1].score > c[child].score {
			child++
		}
		if c[i].score >= c[child].score {
			return
		}
		c[i], c[child] = c[child], c[i]
		i = child
	}
}

// assignBuckets returns the member index of each bucket.
func assignBuckets(members []Member) (owners []uint16) {
	count := bucketCount(len(members))
	if count == 0 {
		return nil
	}
	a := &assignment{
		members: members,
		seeds:   seeds(members),
		weights: weights(members),
		quotas:  quotas(members, count),
		held:    make([]proposalHeap, len(members)),
		owners:  make([]uint16, count),
	}
	for i, quota := range a.quotas {
		a.held[i] = make(proposalHeap, 0, quota)
	}
	for bucket := range uint32(count) {
		a.propose(proposal{score: math.Inf(-1), bucket: bucket})
	}
	for index, held := range a.held {
		for _, c := range held {
			a.owners[c.bucket] = uint16(index)
		}
	}
	return a.owners
}

// propose finds a member for a bucket, and for the bucket that it displaces, until
// none is displaced. The claim names the bucket's last refusal.
func (a *assignment) propose(c proposal) {
	for {
		c = a.nextProposal(c)
		held, quota := a.held[c.index], a.quotas[c.index]
		if len(held) < quota {
			held = append(held, c)
			a.held[c.index] = held
			if len(held) == quota {
				held.init()
			}
			return
		}
		if quota > 0 && held[0].score > c.score {
			c, held[0] = held[0], c
			held.siftDown(0)
		}
	}
}

// nextProposal returns the bucket's claim on the member that it likes nextProposal after its last
// refusal. Members with equal scores follow each other by index.
func (a *assignment) nextProposal(refused proposal) (next proposal) {
	next = proposal{score: math.Inf(1), bucket: refused.bucket}
	for i := range a.members {
		u := a.uniform(i, refused.bucket)
		if 1-u > next.score*a.weights[i] {
			// The logarithm is dear, and -log(u) is never less than 1-u.
			continue
		}
		c := proposal{score: -math.Log(u) / a.weights[i], bucket: refused.bucket, index: int32(i)}
		if refused.precedes(c) && c.precedes(next) {
			next = c
		}
	}
	return next
}

// precedes orders the claims of one bucket.
func (c proposal) precedes(other proposal) bool {
	return c.score < other.score || c.score == other.score && c.index < other.index
}

// uniform returns a number between 0 and 1 for a member and a bucket. The score
// -log(uniform)/weight is exponentially distributed with the weight as its rate, so
// that a member has the best score for a share of the buckets that fits its weight.
func (a *assignment) uniform(index int, bucket uint32) float64 {
	const mantissa = 53
	bits := mix(a.seeds[index]^uint64(bucket)<<1) >> (64 - mantissa)
	return (float64(bits) + 0.5) / (1 << mantissa)
}

// mix spreads every bit of x over the result.
func mix(x uint64) uint64 {
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// seeds returns a number for each member that depends on its address alone: an
// agent that starts anew at the same address keeps its buckets.
func seeds(members []Member) (seeds []uint64) {
	for _, m := range members {
		text := m.Place.Agent().String()
		seeds = append(seeds, xxhash.Sum64String(text))
	}
	return seeds
}

// weights returns the weights as floating-point numbers.
func weights(members []Member) (weights []float64) {
	for _, m := range members {
		weights = append(weights, float64(m.Weight))
	}
	return weights
}

// quotas shares count out by weight; the largest remainders get what is left.
func quotas(members []Member, count int) (quotas []int) {
	var total uint64
	for _, m := range members {
		total += uint64(m.Weight)
	}
	left := count
	order := make([]int, len(members))
	remainders := make([]uint64, len(members))
	for i, m := range members {
		product := uint64(m.Weight) * uint64(count)
		quotas = append(quotas, int(product/total))
		remainders[i] = product % total
		left -= quotas[i]
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(remainders[j], remainders[i]) })
	for _, i := range order[:left] {
		quotas[i]++
	}
	return quotas
}
