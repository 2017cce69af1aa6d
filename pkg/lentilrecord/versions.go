package lentilrecord

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Row is a row of an owner-version map: the rank that an owner's entry has
// reached. A higher rank always replaces a lower one.
type Row struct {
	Owner uint64
	Rank  uint64
}

// VersionMap is an owner-version map that two nodes compare to find what either
// of them lacks. The zero VersionMap is empty and ready to use. It is not safe for
// use by several goroutines.
type VersionMap struct {
	ranks map[uint64]uint64
	root  uint64
	// bucketHashes holds a hash for each of maxBuckets buckets; smaller digests fold it.
	bucketHashes []uint32
}

// Set notes the rank of an owner's entry.
func (v *VersionMap) Set(owner, rank uint64) {
	v.Delete(owner)
	if v.ranks == nil {
		v.ranks = map[uint64]uint64{}
	}
	v.ranks[owner] = rank
	v.toggleRow(owner, rank)
}

// toggleRow puts a row into the hashes or takes it out of them.
func (v *VersionMap) toggleRow(owner, rank uint64) {
	if v.bucketHashes == nil {
		v.bucketHashes = make([]uint32, maxBuckets)
	}
	hash := hashRow(owner, rank)
	v.root ^= hash
	v.bucketHashes[bucketOf(owner, maxBuckets)] ^= uint32(hash)
}

// Delete forgets an owner.
func (v *VersionMap) Delete(owner uint64) {
	rank, ok := v.ranks[owner]
	if !ok {
		return
	}
	v.toggleRow(owner, rank)
	delete(v.ranks, owner)
}

// Rank returns the rank of an owner's entry, and false if there is none.
func (v *VersionMap) Rank(owner uint64) (rank uint64, ok bool) {
	rank, ok = v.ranks[owner]
	return rank, ok
}

// Len returns how many owners the map holds.
func (v *VersionMap) Len() int { return len(v.ranks) }

// Root returns a hash over the whole map: equal maps have equal roots.
func (v *VersionMap) Root() uint64 { return v.root }

// Limits of the number of buckets of a digest.
const (
	minBuckets    = 16
	maxBuckets    = 1024
	rowsPerBucket = 8
)

// BucketCount returns the number of buckets that suits a comparison of maps of this
// many rows: a power of two that grows with them.
func BucketCount(rows int) int {
	buckets := minBuckets
	for buckets < maxBuckets && buckets*rowsPerBucket < rows {
		buckets *= 2
	}
	return buckets
}

// Digest returns a hash for each of a number of buckets, which Buckets gives.
func (v *VersionMap) Digest(buckets int) []uint32 {
	digest := make([]uint32, buckets)
	for i, sum := range v.bucketHashes {
		digest[i%buckets] ^= sum
	}
	return digest
}

// ValidDigest reports whether a digest from a peer has a size that Buckets gives.
func ValidDigest(digest []uint32) bool {
	buckets := len(digest)
	return buckets >= minBuckets && buckets <= maxBuckets && buckets&(buckets-1) == 0
}

// DifferingRows returns the rows of the buckets whose hashes differ from those of
// another node's digest: whole buckets, until limit is reached.
func (v *VersionMap) DifferingRows(digest []uint32, limit int) (lines []Row) {
	if !ValidDigest(digest) {
		return nil
	}
	own := v.Digest(len(digest))
	rows := make([][]Row, len(digest))
	for owner, rank := range v.ranks {
		bucket := bucketOf(owner, len(digest))
		if own[bucket] != digest[bucket] {
			rows[bucket] = append(rows[bucket], Row{Owner: owner, Rank: rank})
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
	return int(hashRow(owner, 0) & uint64(buckets-1))
}

func hashRow(owner, rank uint64) uint64 {
	var row [16]byte
	binary.LittleEndian.PutUint64(row[:8], owner)
	binary.LittleEndian.PutUint64(row[8:], rank)
	return xxhash.Sum64(row[:])
}
