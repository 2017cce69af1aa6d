package lentilconfig

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// TestUnknownFieldFromNewerVersion reads what a program wrote that knows one field more. What
// the platform holds of services and copies is refused. A head from the platform, and
// the whole from a peer, are taken without the field, which is a known weakness:
// docs/operating/upgrading.md says in which order programs are replaced therefore.
func TestUnknownFieldFromNewerVersion(t *testing.T) {
	head, shards, err := Split(sampleDocument(1, 1))
	if err != nil {
		t.Fatal(err)
	}
	newer := func(body []byte, field string) []byte {
		changed := strings.Replace(string(body), `{"name"`, `{"`+field+`":1,"name"`, 1)
		if changed == string(body) {
			t.Fatalf("no object with a name in %s", body)
		}
		return []byte(changed)
	}
	body := newer(shards[0].Body(), "later")
	name := DigestOf(body)
	head.Shards = []Digest{name}

	object := []byte(`{"shard":` + string(body) + `}`)
	if _, err = ParseShardObject(name, object); !errors.Is(err, ErrDigestMismatch) {
		t.Errorf("a shard from the platform: %v, want %v", err, ErrDigestMismatch)
	}

	assembly := NewAssembly(head)
	if err = assembly.Add(name, body); err != nil {
		t.Fatalf("a shard from a peer: %v", err)
	}
	document, err := assembly.Document()
	if err != nil {
		t.Fatal(err)
	}
	var store Store
	if err = store.Offer(document); err != nil || store.Digest() == head.Digest() {
		t.Errorf("the whole from a peer: %v, digest %s as at the peer", err, store.Digest())
	}

	written, err := json.Marshal(HeadObjectDoc{HeadDoc: head})
	if err != nil {
		t.Fatal(err)
	}
	read, err := ParseHeadObject(newer(written, "later"))
	if err != nil || read.Digest() != head.Digest() {
		t.Errorf("a head from the platform: %v, digest %s, want %s", err, read.Digest(), head.Digest())
	}
}
