package lentilrecord

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Row is a row of an owner-version map: an owner and the rank of its entry. An entry
// of a higher rank always replaces one of a lower rank.
type Row struct {
	Owner uint64
	Rank  uint64
}

// VersionMap is an owner-version map. Two nodes compare their maps to find the entries
// that either of them lacks. The zero VersionMap is empty and ready to use. It is not
// safe for concurrent use.
type VersionMap struct {
	ranks map[uint64]uint64
	root  uint64
	// bucketHashes holds a hash for each of maxBuckets buckets. Digests of fewer buckets
	// combine several of these hashes by XOR.
	bucketHashes []uint32
}

// Set sets the rank of an owner's entry.
func (v *VersionMap) Set(owner, rank uint64) {
	v.Delete(owner)
	if v.ranks == nil {
		v.ranks = map[uint64]uint64{}
	}
	v.ranks[owner] = rank
	v.toggleRow(owner, rank)
}

// toggleRow adds a row to the hashes, or removes it if they include it.
func (v *VersionMap) toggleRow(owner, rank uint64) {
	if v.bucketHashes == nil {
		v.bucketHashes = make([]uint32, maxBuckets)
	}
	hash := hashRow(owner, rank)
	v.root ^= hash
	v.bucketHashes[bucketOf(owner, maxBuckets)] ^= uint32(hash)
}

// Delete removes the row of an owner.
func (v *VersionMap) Delete(owner uint64) {
	rank, ok := v.ranks[owner]
	if !ok {
		return
	}
	v.toggleRow(owner, rank)
	delete(v.ranks, owner)
}

// Rank returns the rank of an owner's entry, and false if the map has no row for it.
func (v *VersionMap) Rank(owner uint64) (rank uint64, ok bool) {
	rank, ok = v.ranks[owner]
	return rank, ok
}

// Len returns the number of owners in the map.
func (v *VersionMap) Len() int { return len(v.ranks) }

// Root returns a hash of the whole map. Equal maps have equal roots.
func (v *VersionMap) Root() uint64 { return v.root }

// Limits of the number of buckets of a digest.
const (
	minBuckets    = 16
	maxBuckets    = 1024
	rowsPerBucket = 8
)

// BucketCount returns the number of buckets for comparing maps with the given number of
// rows. It is a power of two that grows with the rows.
func BucketCount(rows int) int {
	buckets := minBuckets
	for buckets < maxBuckets && buckets*rowsPerBucket < rows {
		buckets *= 2
	}
	return buckets
}

// Digest returns a hash for each of the given number of buckets, a result of BucketCount.
func (v *VersionMap) Digest(buckets int) []uint32 {
	digest := make([]uint32, buckets)
	for i, hash := range v.bucketHashes {
		digest[i%buckets] ^= hash
	}
	return digest
}

// ValidDigest reports whether a digest from a peer has a size that BucketCount may return.
func ValidDigest(digest []uint32) bool {
	buckets := len(digest)
	return buckets >= minBuckets && buckets <= maxBuckets && buckets&(buckets-1) == 0
}

// DifferingRows returns the rows of the buckets whose hashes differ from those of another
// node's digest. It adds whole buckets until there are at least limit rows.
func (v *VersionMap) DifferingRows(digest []uint32, limit int) (rows []Row) {
	if !ValidDigest(digest) {
		return nil
	}
	ownDigest := v.Digest(len(digest))
	rowsByBucket := make([][]Row, len(digest))
	for owner, rank := range v.ranks {
		bucket := bucketOf(owner, len(digest))
		if ownDigest[bucket] != digest[bucket] {
			rowsByBucket[bucket] = append(rowsByBucket[bucket], Row{Owner: owner, Rank: rank})
		}
	}
	for _, bucketRows := range rowsByBucket {
		if len(rows) >= limit {
			return rows
		}
		rows = append(rows, bucketRows...)
	}
	return rows
}

// bucketOf returns the bucket of an owner. It hashes the owner, since owner numbers may be
// distributed unevenly.
func bucketOf(owner uint64, buckets int) int {
	return int(hashRow(owner, 0) & uint64(buckets-1))
}

func hashRow(owner, rank uint64) uint64 {
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:8], owner)
	binary.LittleEndian.PutUint64(input[8:], rank)
	return xxhash.Sum64(input[:])
}
