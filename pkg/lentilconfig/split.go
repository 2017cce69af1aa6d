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

// digestSize is the number of bytes of the sum in a digest. 16 bytes rule out accidental
// collisions. Deliberate collisions are no concern, since writers are authenticated.
const digestSize = 16

// DigestOf returns the digest of a body.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:digestSize]))
}

// targetShardWeight is the upper limit of the average weight of a shard. A copy has
// weight 1, and a service has weight 2 plus 1 for each rule. A unit of weight takes
// about 100 bytes and at most 300, so that even a shard far above the average stays
// below a quarter of a megabyte.
const targetShardWeight = 512

// HeadDoc is the serialized head of a configuration, which determines the version in
// force. Services and copies are in the shards that the head names. Failure domains
// are in the head itself, so that taking one out of service is a single write.
type HeadDoc struct {
	Version     uint64            `json:"version" cbor:"1,keyasint"`
	NoteID      string            `json:"noteId,omitempty" cbor:"2,keyasint,omitempty"`
	NextService lentilid.Service  `json:"nextService" cbor:"3,keyasint"`
	NextDomain  lentilid.Domain   `json:"nextDomain" cbor:"4,keyasint"`
	RecentNotes []AcceptedNoteDoc `json:"recent,omitempty" cbor:"5,keyasint,omitempty"`
	Domains     []DomainDoc       `json:"domains,omitempty" cbor:"6,keyasint,omitempty"`
	// Shards lists the digests of the shards, which are also the names of their objects.
	Shards []Digest `json:"shards" cbor:"7,keyasint"`
}

// Digest returns the digest of the head, which covers the whole configuration.
func (h HeadDoc) Digest() Digest {
	body, err := json.Marshal(h)
	if err != nil {
		// Not reached: a head holds only strings, numbers and booleans. Addresses are
		// in the shards.
		return ""
	}
	return DigestOf(body)
}

// ShardDoc is a serialized shard, which holds some of the services and copies.
type ShardDoc struct {
	Services []ServiceDoc `json:"services,omitempty"`
	Copies   []CopyDoc    `json:"copies,omitempty"`
}

// Shard is an encoded shard. It is immutable, since its name is its digest.
type Shard struct {
	name Digest
	body []byte
}

// Name returns the digest of the body.
func (s Shard) Name() Digest { return s.name }

// Body returns the JSON form. The caller must not change it.
func (s Shard) Body() []byte { return s.body }

// Split returns the head and the shards of a document. The result depends only on the
// canonical document, so that all processes get the same shards.
func Split(document Document) (head HeadDoc, shards []Shard, err error) {
	document = document.Canonical()
	return splitCanonical(document, nil, func(int) (Shard, bool) { return Shard{}, false })
}

// splitCanonical splits a canonical document. It encodes the shards to which the changed
// names belong, and those for which current finds none. It reuses the other shards that
// current returns.
func splitCanonical(document Document, changedNames []string, current func(index int) (Shard, bool)) (head HeadDoc, shards []Shard, err error) {
	defer lentilerror.Annotate(&err, "split configuration")
	count := shardCount(document)
	changed := make([]bool, count)
	for _, name := range changedNames {
		changed[shardIndex(name, count)] = true
	}
	shards = make([]Shard, count)
	for i := range shards {
		shard, found := current(i)
		if found && !changed[i] {
			shards[i] = shard
		} else {
			changed[i] = true
		}
	}
	parts := partition(document, changed)
	head = newHeadDoc(document)
	for i := range shards {
		if changed[i] {
			if shards[i], err = encodeShard(parts[i]); err != nil {
				return HeadDoc{}, nil, err
			}
		}
		head.Shards = append(head.Shards, shards[i].name)
	}
	return head, shards, nil
}

// partition returns the shards of a canonical document. It leaves shards empty that aren't wanted.
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

// newHeadDoc returns the head of a canonical document without its list of shards.
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

// shardCount returns the number of shards of a document. It is a power of two, so that
// growth of the document moves few entries to another shard.
func shardCount(document Document) int {
	weight := len(document.Copies)
	for _, doc := range document.Services {
		weight += 2 + len(doc.Rules)
	}
	needed := uint(weight / targetShardWeight)
	return 1 << bits.Len(needed)
}

// shardIndex returns the shard of an entry. It hashes the entry's own name rather than
// the service's, so that the copies of a large service don't all fill one shard.
func shardIndex(name string, count int) int {
	return int(xxhash.Sum64String(name) % uint64(count))
}

// Assembly assembles a document from a head and the shards that the head names. The
// shards may come from different sources. The document is available only when all
// shards have been added.
type Assembly struct {
	head   HeadDoc
	shards map[Digest]ShardDoc
}

// NewAssembly returns an assembly for the head without any shards.
func NewAssembly(head HeadDoc) *Assembly {
	return &Assembly{head: head, shards: make(map[Digest]ShardDoc, len(head.Shards))}
}

// Missing returns the names of the missing shards, each once.
func (a *Assembly) Missing() (names []Digest) {
	listed := make(map[Digest]bool)
	for _, name := range a.head.Shards {
		_, added := a.shards[name]
		if !added && !listed[name] {
			names = append(names, name)
		}
		listed[name] = true
	}
	return names
}

// Add adds a shard. It fails with ErrDigestMismatch if the name isn't the body's digest.
func (a *Assembly) Add(name Digest, body []byte) (err error) {
	defer lentilerror.Annotate(&err, "add shard %s", name)
	if digest := DigestOf(body); digest != name {
		return fmt.Errorf("%w: the body has digest %s", ErrDigestMismatch, digest)
	}
	var part ShardDoc
	if err = json.Unmarshal(body, &part); err != nil {
		return err
	}
	a.shards[name] = part
	return nil
}

// Document returns the canonical document, or ErrIncomplete if shards are missing.
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

// uniqueDigests removes duplicates. Empty shards all have the same digest.
func uniqueDigests(digests []Digest) (unique []Digest) {
	seen := make(map[Digest]bool, len(digests))
	for _, digest := range digests {
		if !seen[digest] {
			unique = append(unique, digest)
		}
		seen[digest] = true
	}
	return unique
}

// ParseHead parses the JSON form of a head. It doesn't validate the configuration,
// which requires all shards.
func ParseHead(body []byte) (head HeadDoc, err error) {
	defer lentilerror.Annotate(&err, "parse head")
	if err = json.Unmarshal(body, &head); err != nil {
		return HeadDoc{}, err
	}
	if len(head.Shards) == 0 || len(head.Shards) > maxShards {
		return HeadDoc{}, fmt.Errorf("%w: the head lists %d shards", ErrIncomplete, len(head.Shards))
	}
	return head, nil
}

// maxShards is the maximum number of shards in a head. It lies well above the number
// that a document within the limits can need.
const maxShards = 1 << 14
