package lentilrecord

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Line is a row of an owner-version map: the rank that an owner's entry has
// reached. A higher rank always replaces a lower one.
type Line struct {
	Owner uint64
	Rank  uint64
}

// Versions is an owner-version map that two nodes compare to find what either
// of them lacks. The zero Versions is empty and ready to use. It is not safe for
// use by several goroutines.
type Versions struct {
	ranks map[uint64]uint64
	root  uint64
	// sums holds a hash for each of maxBuckets buckets; smaller digests fold it.
	sums []uint32
}

// Set notes the rank of an owner's entry.
func (v *Versions) Set(owner, rank uint64) {
	v.Delete(owner)
	if v.ranks == nil {
		v.ranks = map[uint64]uint64{}
	}
	v.ranks[owner] = rank
	v.flip(owner, rank)
}

// flip puts a row into the hashes or takes it out of them.
func (v *Versions) flip(owner, rank uint64) {
	if v.sums == nil {
		v.sums = make([]uint32, maxBuckets)
	}
	hash := hashLine(owner, rank)
	v.root ^= hash
	v.sums[bucketOf(owner, maxBuckets)] ^= uint32(hash)
}

// Delete forgets an owner.
func (v *Versions) Delete(owner uint64) {
	rank, ok := v.ranks[owner]
	if !ok {
		return
	}
	v.flip(owner, rank)
	delete(v.ranks, owner)
}

// Rank returns the rank of an owner's entry, and false if there is none.
func (v *Versions) Rank(owner uint64) (rank uint64, ok bool) {
	rank, ok = v.ranks[owner]
	return rank, ok
}

// Len returns how many owners the map holds.
func (v *Versions) Len() int { return len(v.ranks) }

// Root returns a hash over the whole map: equal maps have equal roots.
func (v *Versions) Root() uint64 { return v.root }

// Limits of the number of buckets of a digest.
const (
	minBuckets     = 16
	maxBuckets     = 1024
	linesPerBucket = 8
)

// Buckets returns the number of buckets that suits a comparison of maps of this
// many rows: a power of two that grows with them.
func Buckets(rows int) int {
	buckets := minBuckets
	for buckets < maxBuckets && buckets*linesPerBucket < rows {
		buckets *= 2
	}
	return buckets
}

// Digest returns a hash for each of a number of buckets, which Buckets gives.
func (v *Versions) Digest(buckets int) []uint32 {
	digest := make([]uint32, buckets)
	for i, sum := range v.sums {
		digest[i%buckets] ^= sum
	}
	return digest
}

// ValidDigest reports whether a digest from a peer has a size that Buckets gives.
func ValidDigest(digest []uint32) bool {
	buckets := len(digest)
	return buckets >= minBuckets && buckets <= maxBuckets && buckets&(buckets-1) == 0
}

// Differing returns the rows of the buckets whose hashes differ from those of
// another node's digest: whole buckets, until limit is reached.
func (v *Versions) Differing(digest []uint32, limit int) (lines []Line) {
	if !ValidDigest(digest) {
		return nil
	}
	own := v.Digest(len(digest))
	rows := make([][]Line, len(digest))
	for owner, rank := range v.ranks {
		bucket := bucketOf(owner, len(digest))
		if own[bucket] != digest[bucket] {
			rows[bucket] = append(rows[bucket], Line{Owner: owner, Rank: rank})
		}
	}
	for _, bucket := range rows {
		if len(lines) >= limit {
			return lines
		}
		lines = append(lines, bucket...)
	}
	return lines
}

// bucketOf spreads owners, which may be chosen badly, evenly over buckets.
func bucketOf(owner uint64, buckets int) int {
	return int(hashLine(owner, 0) & uint64(buckets-1))
}

func hashLine(owner, rank uint64) uint64 {
	var row [16]byte
	binary.LittleEndian.PutUint64(row[:8], owner)
	binary.LittleEndian.PutUint64(row[8:], rank)
	return xxhash.Sum64(row[:])
}
