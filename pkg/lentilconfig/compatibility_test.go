package lentilconfig

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// TestUnknownFieldFromNewerVersion reads data from a newer program that writes an unknown
// field. A shard from the platform is rejected, since it doesn't encode to the same
// digest without the field. A head from the platform and a full document from a peer are
// accepted, and lose the field. This is a known weakness; docs/operating/upgrading.md
// gives the order in which to upgrade programs because of it.
func TestUnknownFieldFromNewerVersion(t *testing.T) {
	head, shards, err := Split(sampleDocument(1, 1))
	if err != nil {
		t.Fatal(err)
	}
	addField := func(body []byte, field string) []byte {
		changed := strings.Replace(string(body), `{"name"`, `{"`+field+`":1,"name"`, 1)
		if changed == string(body) {
			t.Fatalf("no object with a name in %s", body)
		}
		return []byte(changed)
	}
	body := addField(shards[0].Body(), "later")
	name := DigestOf(body)
	head.Shards = []Digest{name}

	object := []byte(`{"shard":` + string(body) + `}`)
	if _, err = ParseShardObject(name, object); !errors.Is(err, ErrDigestMismatch) {
		t.Errorf("parsing a shard from the platform: error is %v, want %v", err, ErrDigestMismatch)
	}

	assembly := NewAssembly(head)
	if err = assembly.Add(name, body); err != nil {
		t.Fatalf("adding a shard from a peer: %v", err)
	}
	document, err := assembly.Document()
	if err != nil {
		t.Fatal(err)
	}
	var store Store
	if err = store.Offer(document); err != nil || store.Digest() == head.Digest() {
		t.Errorf("offering the full document from a peer: error is %v, digest is %s, want another digest than the peer's", err, store.Digest())
	}

	encoded, err := json.Marshal(HeadObjectDoc{HeadDoc: head})
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := ParseHeadObject(addField(encoded, "later"))
	if err != nil || parsed.Digest() != head.Digest() {
		t.Errorf("parsing a head from the platform: error is %v, digest is %s, want %s", err, parsed.Digest(), head.Digest())
	}
}
