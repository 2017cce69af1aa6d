package lentilid

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"net/netip"
	"sync"

	"github.com/joomcode/errorx"
)

// ConnectionIDLen is the length in bytes of every connection ID that the system issues.
const ConnectionIDLen = 20

// Layout of a connection ID: the key's number, one sealed block, a tag.
const (
	blockBytes = aes.BlockSize
	tagBytes   = ConnectionIDLen - 1 - blockBytes
	keyBytes   = 16
)

// Labels of the two keys derived from a secret.
const (
	labelBlock = "lentilstair connection id block"
	labelTag   = "lentilstair connection id tag"
)

// Namespace holds the error types of the package.
var Namespace = errorx.NewNamespace("lentilid")

// ErrKey is the type of errors about a key that can't be used.
var ErrKey = Namespace.NewType("key")

// ErrAddress is the type of errors about an agent address that a connection ID can't carry.
var ErrAddress = Namespace.NewType("address")

// Key is a numbered secret that all balancers and agents share.
type Key struct {
	// ID is the number that a connection ID carries in clear.
	ID uint8
	// Secret is at least 16 bytes, from which the keys in use are derived.
	Secret []byte
}

// derivedKey is what a Sealer derives from one Key.
type derivedKey struct {
	id    uint8
	block cipher.Block
	tag   cipher.Block
}

// Sealer puts places into connection IDs and gets them out again. It may be
// used by several goroutines. The zero Sealer opens nothing and must not seal.
type Sealer struct {
	sealingKey *derivedKey
	keys       [256]*derivedKey
}

// scratch holds the blocks of one sealing or opening. Blocks that are passed to
// a cipher by interface would otherwise be allocated for every packet.
type scratch struct {
	in, out, tag [blockBytes]byte
}

var scratchPool = sync.Pool{New: func() any { return new(scratch) }}

// NewSealer returns a Sealer that seals with the first key and opens with all
// of them. A key is rotated by adding it at the end everywhere, moving it to the
// front everywhere, and removing the old one when no flow that it sealed is left.
func NewSealer(keys []Key) (sealer *Sealer, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "make sealer of connection IDs")
		}
	}()
	sealer = &Sealer{}
	for _, key := range keys {
		if sealer.keys[key.ID] != nil {
			return nil, ErrKey.New("two keys have the number %d", key.ID)
		}
		derived, err := deriveKey(key)
		if err != nil {
			return nil, err
		}
		sealer.keys[key.ID] = derived
		if sealer.sealingKey == nil {
			sealer.sealingKey = derived
		}
	}
	return sealer, nil
}

// deriveKey makes the keys in use from a secret.
func deriveKey(key Key) (derived *derivedKey, err error) {
	if len(key.Secret) < keyBytes {
		return nil, ErrKey.New("key %d has a secret of %d bytes, fewer than %d", key.ID, len(key.Secret), keyBytes)
	}
	block, err := deriveCipher(key.Secret, labelBlock)
	if err != nil {
		return nil, err
	}
	tag, err := deriveCipher(key.Secret, labelTag)
	if err != nil {
		return nil, err
	}
	return &derivedKey{id: key.ID, block: block, tag: tag}, nil
}

// deriveCipher makes one cipher from a secret.
func deriveCipher(secret []byte, label string) (block cipher.Block, err error) {
	bytes, err := hkdf.Key(sha256.New, secret, nil, label, keyBytes)
	if err != nil {
		return nil, err
	}
	return aes.NewCipher(bytes)
}

// CheckAgentAddress refuses the address of an agent that a connection ID can't carry:
// only IPv4 with a port has room in it. Settings are checked with it before a
// place is made.
func CheckAgentAddress(agent netip.AddrPort) (err error) {
	if !agent.Addr().Unmap().Is4() {
		return ErrAddress.New("agent address %v is not IPv4, and a connection ID has no room for another", agent)
	}
	if agent.Port() == 0 {
		return ErrAddress.New("agent address %v has no port", agent)
	}
	return nil
}

// CanSeal reports whether the Sealer has a key to seal with.
func (s *Sealer) CanSeal() bool { return s.sealingKey != nil }

// HasKeyFor reports whether id, a connection ID, names a key of the Sealer. If it
// does and Open still refuses the ID, then the system did not issue it.
func (s *Sealer) HasKeyFor(id []byte) bool {
	return len(id) == ConnectionIDLen && s.keys[id[0]] != nil
}

// AppendID appends a connection ID of ConnectionIDLen bytes that holds p. The
// nonce tells connection IDs of one place from each other. The agent's address
// must pass CheckAgent, and CanSeal must be true.
func (s *Sealer) AppendID(dst []byte, p Place, nonce uint32) []byte {
	buffer := scratchPool.Get().(*scratch)
	defer scratchPool.Put(buffer)
	address := p.agent.Addr().Unmap().As4()
	copy(buffer.in[0:4], address[:])
	binary.BigEndian.PutUint16(buffer.in[4:], p.agent.Port())
	buffer.in[6] = byte(p.domain)
	binary.BigEndian.PutUint16(buffer.in[7:], uint16(p.service))
	buffer.in[9] = byte(p.incarnation >> 16)
	binary.BigEndian.PutUint16(buffer.in[10:], uint16(p.incarnation))
	binary.BigEndian.PutUint32(buffer.in[12:], nonce)
	s.sealingKey.block.Encrypt(buffer.out[:], buffer.in[:])
	s.sealingKey.tag.Encrypt(buffer.tag[:], buffer.out[:])
	dst = append(dst, s.sealingKey.id)
	dst = append(dst, buffer.out[:]...)
	return append(dst, buffer.tag[:tagBytes]...)
}

// Open returns the place that a connection ID holds. It returns false for
// anything that no key of the Sealer has sealed, but for one guess in 2^24; a
// guess yields a random service too, which the caller of Open compares.
func (s *Sealer) Open(id []byte) (p Place, ok bool) {
	if !s.HasKeyFor(id) {
		return Place{}, false
	}
	key := s.keys[id[0]]
	buffer := scratchPool.Get().(*scratch)
	defer scratchPool.Put(buffer)
	copy(buffer.in[:], id[1:])
	key.tag.Encrypt(buffer.tag[:], buffer.in[:])
	if subtle.ConstantTimeCompare(buffer.tag[:tagBytes], id[1+blockBytes:]) != 1 {
		return Place{}, false
	}
	key.block.Decrypt(buffer.out[:], buffer.in[:])
	return parseBlock(&buffer.out)
}

// parseBlock reads a place from an opened block.
func parseBlock(block *[blockBytes]byte) (p Place, ok bool) {
	port := binary.BigEndian.Uint16(block[4:])
	p = Place{
		agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(block[0:4])), port),
		domain:      Domain(block[6]),
		service:     Service(binary.BigEndian.Uint16(block[7:])),
		incarnation: uint32(block[9])<<16 | uint32(binary.BigEndian.Uint16(block[10:])),
	}
	return p, port != 0 && p.service != 0
}
