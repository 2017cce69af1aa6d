// Package lentilkey derives everything that processes of the system use to
// recognise each other from the shared secrets in their settings.
//
// A Ring holds a few secrets in the order of preference: the first one signs,
// all of them verify. A secret is rotated without a cut by adding the new one at
// the end everywhere, then moving it to the front everywhere, then removing the
// old one everywhere.
package lentilkey

import (
	"crypto/hkdf"
	"crypto/sha256"
	"fmt"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilsetting"
)

// MinSecretBytes is the least length of a secret.
const MinSecretBytes = 16

// Namespace holds the types of this package's errors.
var Namespace = errorx.NewNamespace("lentilkey")

// ErrRing is the type of errors in the written form of a ring.
var ErrRing = Namespace.NewType("ring")

// KeyDoc is the written form of one secret of a ring.
type KeyDoc struct {
	// ID travels with everything that the secret signs; it is unique in a ring.
	ID uint8 `json:"id"`
	// Secret is at least MinSecretBytes random bytes, in base64.
	Secret []byte `json:"secret"`
}

// Purpose separates the keys that are derived from one secret, so that no key
// is ever used for two things.
type Purpose uint8

//go:generate stringer -type=Purpose

// The purposes. Their names are part of what the keys are derived from.
const (
	// ConnectionID keys seal places into connection IDs.
	ConnectionID Purpose = iota + 1
	// Tunnel keys authenticate tunnel packets.
	Tunnel
	// Ticket keys authenticate tickets of requests that run at most once.
	Ticket
	// Identity keys are the seeds of the TLS identities of control traffic.
	Identity
	// Reset keys make stateless reset tokens of QUIC connections.
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

// Ring holds the secrets that the processes of the system share. The zero Ring
// holds none and recognises nobody.
type Ring struct {
	secrets []KeyDoc
}

// ControlProtocol is what TLS connections for control negotiate (ALPN).
const ControlProtocol = "h2"

// FromSettings returns the ring with the secrets of a process's settings.
func FromSettings(keys []lentilsetting.Key) (ring Ring, err error) {
	docs := make([]KeyDoc, 0, len(keys))
	for _, key := range keys {
		docs = append(docs, KeyDoc{ID: key.ID(), Secret: key.Secret()})
	}
	return New(docs)
}

// New returns the ring with the given secrets; the first one signs.
func New(docs []KeyDoc) (ring Ring, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "make key ring")
		}
	}()
	if len(docs) == 0 {
		return Ring{}, ErrRing.New("there is no key")
	}
	seen := make(map[uint8]bool, len(docs))
	for _, doc := range docs {
		if len(doc.Secret) < MinSecretBytes {
			return Ring{}, ErrRing.New("key %d: the secret has %d bytes, at least %d are needed", doc.ID, len(doc.Secret), MinSecretBytes)
		}
		if seen[doc.ID] {
			return Ring{}, ErrRing.New("key %d stands twice", doc.ID)
		}
		seen[doc.ID] = true
		ring.secrets = append(ring.secrets, KeyDoc{ID: doc.ID, Secret: append([]byte(nil), doc.Secret...)})
	}
	return ring, nil
}

// Derive returns one key of the given length in bytes for each secret, the
// signing one first.
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
