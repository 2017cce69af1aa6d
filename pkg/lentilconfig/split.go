package lentilconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"lentilstair.example/lentilstair/pkg/lentilerror"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Digest is the first 16 bytes of a SHA-256 sum in hexadecimal digits.
type Digest string

// digestSize is how much of the sum a digest keeps. 16 bytes make a collision
// by accident out of the question; writers are authenticated.
const digestSize = 16

// DigestOf returns the digest of a body.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:digestSize]))
}

// targetShardWeight is how much one shard bears on average. A copy weighs 1, a service
// 2 and one more for each rule; one unit takes some 100 bytes, 300 at most, so
// that even an unlucky shard stays below a quarter of a megabyte.
const targetShardWeight = 512

// HeadDoc is the written form of the one object that says which configuration
// holds. Services and copies are in the shards that it names; failure domains are
// in the head, so that taking one out is a single write.
type HeadDoc struct {
	Version     uint64            `json:"version" cbor:"1,keyasint"`
	NoteID      string            `json:"noteId,omitempty" cbor:"2,keyasint,omitempty"`
	NextService lentilid.Service  `json:"nextService" cbor:"3,keyasint"`
	NextDomain  lentilid.Domain   `json:"nextDomain" cbor:"4,keyasint"`
	RecentNotes []AcceptedNoteDoc `json:"recent,omitempty" cbor:"5,keyasint,omitempty"`
	Domains     []DomainDoc       `json:"domains,omitempty" cbor:"6,keyasint,omitempty"`
	// Shards are the digests of the shards, which also name their objects.
	Shards []Digest `json:"shards" cbor:"7,keyasint"`
}

// Digest returns the digest of the head, which covers the whole configuration.
func (h HeadDoc) Digest() Digest {
	body, err := json.Marshal(h)
	if err != nil {
		// A head holds strings and numbers only; addresses are in the shards.
		return ""
	}
	return DigestOf(body)
}

// ShardDoc is the written form of a part of the services and copies.
type ShardDoc struct {
	Services []ServiceDoc `json:"services,omitempty"`
	Copies   []CopyDoc    `json:"copies,omitempty"`
}

// Shard is a written shard. It never changes, since its name is its digest.
type Shard struct {
	name Digest
	body []byte
}

// Name returns the digest of the body.
func (s Shard) Name() Digest { return s.name }

// Body returns the JSON form. The caller must not change it.
func (s Shard) Body() []byte { return s.body }

// Split returns the head and the shards of a document. It is a function of the
// canonical document alone, so that all processes split alike.
func Split(document Document) (head HeadDoc, shards []Shard, err error) {
	document = document.Canonical()
	return splitCanonical(document, nil, func(int) (Shard, bool) { return Shard{}, false })
}

// splitCanonical splits a canonical document. Where held returns a shard, that
// shard is known not to have changed and isn't written anew.
func splitCanonical(document Document, touched []string, held func(index int) (Shard, bool)) (head HeadDoc, shards []Shard, err error) {
	defer lentilerror.Annotate(&err, "split configuration")
	count := shardCount(document)
	renewed := make([]bool, count)
	for _, name := range touched {
		renewed[shardIndex(name, count)] = true
	}
	shards = make([]Shard, count)
	for i := range shards {
		shard, found := held(i)
		if found && !renewed[i] {
			shards[i] = shard
		} else {
			renewed[i] = true
		}
	}
	parts := partition(document, renewed)
	head = newHeadDoc(document)
	for i := range shards {
		if renewed[i] {
			if shards[i], err = encodeShard(parts[i]); err != nil {
				return HeadDoc{}, nil, err
			}
		}
		head.Shards = append(head.Shards, shards[i].name)
	}
	return head, shards, nil
}

// partition returns the wanted shards of a canonical document.
func partition(document Document, wanted []bool) (parts []ShardDoc) {
	parts = make([]ShardDoc, len(wanted))
	for _, doc := range document.Services {
		if i := shardIndex(doc.Name, len(parts)); wanted[i] {
			parts[i].Services = append(parts[i].Services, doc)
		}
	}
	for _, doc := range document.Copies {
		if i := shardIndex(doc.Name, len(parts)); wanted[i] {
			parts[i].Copies = append(parts[i].Copies, doc)
		}
	}
	return parts
}

func encodeShard(part ShardDoc) (shard Shard, err error) {
	body, err := json.Marshal(part)
	if err != nil {
		return Shard{}, err
	}
	return Shard{name: DigestOf(body), body: body}, nil
}

// newHeadDoc returns the head of a canonical document, its shards still unnamed.
func newHeadDoc(document Document) HeadDoc {
	return HeadDoc{
		Version:     document.Version,
		NoteID:      document.NoteID,
		NextService: document.NextService,
		NextDomain:  document.NextDomain,
		RecentNotes: document.RecentNotes,
		Domains:     document.Domains,
	}
}

// shardCount returns a power of two, so that growth moves few entries.
func shardCount(document Document) int {
	weight := len(document.Copies)
	for _, doc := range document.Services {
		weight += 2 + len(doc.Rules)
	}
	needed := uint(weight / targetShardWeight)
	return 1 << bits.Len(needed)
}

// shardIndex spreads entries by their own name, so that a service with very many
// copies doesn't fill one shard.
func shardIndex(name string, count int) int {
	return int(xxhash.Sum64String(name) % uint64(count))
}

// Assembly puts a document together from a head and the shards that it names,
// wherever they come from. Nothing of it shows before it is complete.
type Assembly struct {
	head   HeadDoc
	shards map[Digest]ShardDoc
}

// NewAssembly starts an assembly for the head.
func NewAssembly(head HeadDoc) *Assembly {
	return &Assembly{head: head, shards: make(map[Digest]ShardDoc, len(head.Shards))}
}

// Missing returns the names of the shards that are still lacking, each once.
func (a *Assembly) Missing() (names []Digest) {
	listed := make(map[Digest]bool)
	for _, name := range a.head.Shards {
		_, held := a.shards[name]
		if !held && !listed[name] {
			names = append(names, name)
		}
		listed[name] = true
	}
	return names
}

// Add takes a shard's body in. A body that isn't what the name says is refused.
func (a *Assembly) Add(name Digest, body []byte) (err error) {
	defer lentilerror.Annotate(&err, "add shard %s", name)
	if found := DigestOf(body); found != name {
		return fmt.Errorf("%w: its digest is %s", ErrDigestMismatch, found)
	}
	var part ShardDoc
	if err = json.Unmarshal(body, &part); err != nil {
		return err
	}
	a.shards[name] = part
	return nil
}

// Document returns the whole document, or ErrIncomplete while shards are missing.
func (a *Assembly) Document() (document Document, err error) {
	if missing := len(a.Missing()); missing > 0 {
		return Document{}, fmt.Errorf("%w: %d shards are missing", ErrIncomplete, missing)
	}
	document = Document{
		Version:     a.head.Version,
		NoteID:      a.head.NoteID,
		NextService: a.head.NextService,
		NextDomain:  a.head.NextDomain,
		RecentNotes: a.head.RecentNotes,
		Domains:     a.head.Domains,
	}
	for _, name := range uniqueDigests(a.head.Shards) {
		document.Services = append(document.Services, a.shards[name].Services...)
		document.Copies = append(document.Copies, a.shards[name].Copies...)
	}
	return document.Canonical(), nil
}

// uniqueDigests drops repeated names, which empty shards share.
func uniqueDigests(names []Digest) (unique []Digest) {
	seen := make(map[Digest]bool, len(names))
	for _, name := range names {
		if !seen[name] {
			unique = append(unique, name)
		}
		seen[name] = true
	}
	return unique
}

// ParseHead reads the JSON form of a head. Whether the configuration is free of
// faults shows when it is whole.
func ParseHead(body []byte) (head HeadDoc, err error) {
	defer lentilerror.Annotate(&err, "parse head")
	if err = json.Unmarshal(body, &head); err != nil {
		return HeadDoc{}, err
	}
	if len(head.Shards) == 0 || len(head.Shards) > maxShards {
		return HeadDoc{}, fmt.Errorf("%w: the head names %d shards", ErrIncomplete, len(head.Shards))
	}
	return head, nil
}

// maxShards bounds the shards that a head names, well above what the bounds of a
// document lead to.
const maxShards = 1 << 14
