// Package lentilkey derives the keys with which processes of the system authenticate each
// other from the shared secrets in their settings.
//
// A Ring holds secrets in order of preference: the first one signs, all of them verify. To
// rotate a secret without an interruption, add the new one at the end of every process's
// ring, then move it to the front of every ring, then remove the old one from every ring.
package lentilkey

import (
	"crypto/hkdf"
	"crypto/sha256"
	"fmt"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilsetting"
)

// MinSecretBytes is the minimum length of a secret.
const MinSecretBytes = 16

// Namespace holds the types of this package's errors.
var Namespace = errorx.NewNamespace("lentilkey")

// ErrRing is the type of errors about a ring that can't be used.
var ErrRing = Namespace.NewType("ring")

// KeyDoc is the JSON form of one secret of a ring.
type KeyDoc struct {
	// ID is sent with everything that the secret signs. It is unique in a ring.
	ID uint8 `json:"id"`
	// Secret consists of at least MinSecretBytes random bytes, in base64.
	Secret []byte `json:"secret"`
}

// Purpose is the use of a derived key. A secret yields a different key for each purpose, so
// that no key has two uses.
type Purpose uint8

//go:generate stringer -type=Purpose

// The purposes of keys. Their names are an input of the key derivation, so renaming one
// changes its keys.
const (
	// ConnectionID keys seal places into connection IDs.
	ConnectionID Purpose = iota + 1
	// Tunnel keys authenticate tunnel packets.
	Tunnel
	// Ticket keys authenticate tickets of requests that run at most once.
	Ticket
	// Identity keys are the seeds of the TLS identities of control traffic.
	Identity
	// Reset keys generate stateless reset tokens of QUIC connections.
	Reset
)

// Key is a key derived for one purpose.
type Key struct {
	id    uint8
	bytes []byte
}

// ID returns the ID of the secret from which the key was derived.
func (k Key) ID() uint8 { return k.id }

// Bytes returns a copy of the key.
func (k Key) Bytes() []byte { return append([]byte(nil), k.bytes...) }

// Ring holds the secrets that the processes of the system share. The zero Ring is empty and
// authenticates no peer.
type Ring struct {
	secrets []KeyDoc
}

// ControlProtocol is the ALPN protocol of control connections.
const ControlProtocol = "h2"

// FromSettings returns a ring with the secrets in the settings of a process.
func FromSettings(keys []lentilsetting.Key) (ring Ring, err error) {
	docs := make([]KeyDoc, 0, len(keys))
	for _, key := range keys {
		docs = append(docs, KeyDoc{ID: key.ID(), Secret: key.Secret()})
	}
	return New(docs)
}

// New returns a ring with the given secrets. The first one signs.
func New(docs []KeyDoc) (ring Ring, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "make key ring")
		}
	}()
	if len(docs) == 0 {
		return Ring{}, ErrRing.New("the key ring is empty")
	}
	usedIDs := make(map[uint8]bool, len(docs))
	for _, doc := range docs {
		if len(doc.Secret) < MinSecretBytes {
			return Ring{}, ErrRing.New("key %d: the secret has %d bytes, but needs at least %d", doc.ID, len(doc.Secret), MinSecretBytes)
		}
		if usedIDs[doc.ID] {
			return Ring{}, ErrRing.New("key %d: the ID is used twice", doc.ID)
		}
		usedIDs[doc.ID] = true
		ring.secrets = append(ring.secrets, KeyDoc{ID: doc.ID, Secret: append([]byte(nil), doc.Secret...)})
	}
	return ring, nil
}

// Derive derives one key of the given length in bytes from each secret, in the order of the
// ring: the key of the signing secret comes first.
func (r Ring) Derive(purpose Purpose, length int) (keys []Key, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "derive %s keys", purpose)
		}
	}()
	for _, doc := range r.secrets {
		info := fmt.Sprintf("lentilstair %s %d", purpose, doc.ID)
		derived, err := hkdf.Key(sha256.New, doc.Secret, nil, info, length)
		if err != nil {
			return nil, err
		}
		keys = append(keys, Key{id: doc.ID, bytes: derived})
	}
	return keys, nil
}
