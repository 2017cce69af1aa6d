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
}

// Set notes the rank of an owner's entry.
func (v *Versions) Set(owner, rank uint64) {
	v.Delete(owner)
	if v.ranks == nil {
		v.ranks = map[uint64]uint64{}
	}
	v.ranks[owner] = rank
	v.root ^= hashLine(owner, rank)
}

// Delete forgets an owner.
func (v *Versions) Delete(owner uint64) {
	rank, ok := v.ranks[owner]
	if !ok {
		return
	}
	v.root ^= hashLine(owner, rank)
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

// Digest returns a hash for each bucket of the map. The number of buckets is a
// power of two that grows with the map.
func (v *Versions) Digest() []uint32 {
	buckets := minBuckets
	for buckets < maxBuckets && buckets*linesPerBucket < len(v.ranks) {
		buckets *= 2
	}
	return v.digest(buckets)
}

func (v *Versions) digest(buckets int) []uint32 {
	digest := make([]uint32, buckets)
	for owner, rank := range v.ranks {
		digest[bucketOf(owner, buckets)] ^= uint32(hashLine(owner, rank))
	}
	return digest
}

// Differing returns the rows of the buckets whose hashes differ from those of
// another node's digest, at most limit of them. A digest of a size that no
// Versions makes has no differing rows.
func (v *Versions) Differing(digest []uint32, limit int) (lines []Line) {
	buckets := len(digest)
	if buckets < minBuckets || buckets > maxBuckets || buckets&(buckets-1) != 0 {
		return nil
	}
	own := v.digest(buckets)
	for owner, rank := range v.ranks {
		if len(lines) == limit {
			return lines
		}
		bucket := bucketOf(owner, buckets)
		if own[bucket] != digest[bucket] {
			lines = append(lines, Line{Owner: owner, Rank: rank})
		}
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
