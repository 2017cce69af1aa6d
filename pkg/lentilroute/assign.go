package lentilroute

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Numbers of buckets, and the numbers of members up to which they are used. There are
// only a few sizes, so that the size rarely changes when members join and leave: a
// change of size moves most buckets.
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

// assignment computes weighted rendezvous hashing with quotas. Buckets rank members by
// a weighted score, members rank buckets by the same score, and a member accepts no
// more buckets than its quota. The lowest score is the best. These preferences have
// exactly one stable matching, which is found by deferred acceptance (Gale-Shapley). It
// gives every member its exact share of the buckets. When members or weights change, few
// buckets move beyond those that must; TestChangesMoveFewBuckets allows twice as many.
type assignment struct {
	members []Member
	seeds   []uint64
	weights []float64
	quotas  []int
	// held holds the proposals that each member has accepted so far.
	held []proposalHeap
	// owners holds the member index of each bucket.
	owners []uint16
}

// proposal is the proposal of a bucket to the member with the given index.
type proposal struct {
	score  float64
	bucket uint32
	index  int32
}

// proposalHeap holds the accepted proposals of a member. Once they fill the quota of the
// member they form a heap, whose first proposal has the highest, that is worst, score.
type proposalHeap []proposal

// init turns the proposals into a heap.
func (h proposalHeap) init() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
}

// siftDown moves the proposal at i down to its position in the heap.
func (h proposalHeap) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h[child+1].score > h[child].score {
			child++
		}
		if h[i].score >= h[child].score {
			return
		}
		h[i], h[child] = h[child], h[i]
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
		for _, p := range held {
			a.owners[p.bucket] = uint16(index)
		}
	}
	return a.owners
}

// propose finds a member for a bucket. If the member drops another bucket for it, that
// bucket proposes next, until no bucket is dropped. The argument is the bucket's last
// proposal that was refused.
func (a *assignment) propose(p proposal) {
	for {
		p = a.nextProposal(p)
		held, quota := a.held[p.index], a.quotas[p.index]
		if len(held) < quota {
			held = append(held, p)
			a.held[p.index] = held
			if len(held) == quota {
				held.init()
			}
			return
		}
		if quota > 0 && held[0].score > p.score {
			p, held[0] = held[0], p
			held.siftDown(0)
		}
	}
}

// nextProposal returns the bucket's proposal to the member that it ranks best among
// those ranked after its last refusal. Members with equal scores are ranked by index.
func (a *assignment) nextProposal(refused proposal) (next proposal) {
	next = proposal{score: math.Inf(1), bucket: refused.bucket}
	for i := range a.members {
		u := a.uniform(i, refused.bucket)
		if 1-u > next.score*a.weights[i] {
			// This avoids the expensive logarithm: -log(u) is never less than 1-u.
			continue
		}
		p := proposal{score: -math.Log(u) / a.weights[i], bucket: refused.bucket, index: int32(i)}
		if refused.precedes(p) && p.precedes(next) {
			next = p
		}
	}
	return next
}

// precedes orders the proposals of one bucket, the best one first.
func (p proposal) precedes(other proposal) bool {
	return p.score < other.score || p.score == other.score && p.index < other.index
}

// uniform returns a pseudo-random number between 0 and 1 for a member and a bucket. The
// score -log(uniform)/weight is exponentially distributed with the weight as its rate.
// A member thus has the best score for a share of the buckets in proportion to its weight.
func (a *assignment) uniform(index int, bucket uint32) float64 {
	const mantissa = 53
	bits := mix(a.seeds[index]^uint64(bucket)<<1) >> (64 - mantissa)
	return (float64(bits) + 0.5) / (1 << mantissa)
}

// mix is a 64-bit finalizer: every bit of x affects all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// seeds returns the hash seed of each member. It depends only on the member's address,
// so that an agent that restarts at the same address keeps its buckets.
func seeds(members []Member) (seeds []uint64) {
	for _, m := range members {
		address := m.Place.Agent().String()
		seeds = append(seeds, xxhash.Sum64String(address))
	}
	return seeds
}

// weights returns the weights of the members as floating-point numbers.
func weights(members []Member) (weights []float64) {
	for _, m := range members {
		weights = append(weights, float64(m.Weight))
	}
	return weights
}

// quotas divides count buckets among the members in proportion to their weights, by
// the largest remainder method.
func quotas(members []Member, count int) (quotas []int) {
	var total uint64
	for _, m := range members {
		total += uint64(m.Weight)
	}
	remaining := count
	order := make([]int, len(members))
	remainders := make([]uint64, len(members))
	for i, m := range members {
		product := uint64(m.Weight) * uint64(count)
		quotas = append(quotas, int(product/total))
		remainders[i] = product % total
		remaining -= quotas[i]
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(remainders[j], remainders[i]) })
	for _, i := range order[:remaining] {
		quotas[i]++
	}
	return quotas
}
