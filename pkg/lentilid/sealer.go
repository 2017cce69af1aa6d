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

// Layout of a connection ID: the key ID, one encrypted block and an authentication tag.
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

// ErrKey is the type of errors about an invalid or duplicate key.
var ErrKey = Namespace.NewType("key")

// ErrAddress is the type of errors about an agent address that doesn't fit in a connection ID.
var ErrAddress = Namespace.NewType("address")

// Key is a numbered secret that all balancers and agents share.
type Key struct {
	// ID identifies the key. Connection IDs contain it unencrypted.
	ID uint8
	// Secret has at least 16 bytes. The encryption keys are derived from it.
	Secret []byte
}

// derivedKey holds the ciphers that a Sealer derives from one Key.
type derivedKey struct {
	id    uint8
	block cipher.Block
	tag   cipher.Block
}

// Sealer encodes places in connection IDs, encrypted and authenticated, and decodes them. It
// is safe for concurrent use. The zero Sealer opens no connection ID and must not be used to
// seal.
type Sealer struct {
	sealingKey *derivedKey
	keys       [256]*derivedKey // by key ID
}

// scratch holds the blocks of one call of AppendID or Open. It is pooled because blocks that
// are passed to a cipher through its interface would otherwise be allocated for every packet.
type scratch struct {
	in, out, tag [blockBytes]byte
}

var scratchPool = sync.Pool{New: func() any { return new(scratch) }}

// NewSealer returns a Sealer that seals with the first key and opens with all keys. To rotate
// keys, add the new key at the end on all nodes, then move it to the front on all nodes. Remove
// the old key when no flow is left whose connection ID it sealed.
func NewSealer(keys []Key) (sealer *Sealer, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "create connection ID sealer")
		}
	}()
	sealer = &Sealer{}
	for _, key := range keys {
		if sealer.keys[key.ID] != nil {
			return nil, ErrKey.New("two keys have the ID %d", key.ID)
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

// deriveKey derives the ciphers of a key from its secret.
func deriveKey(key Key) (derived *derivedKey, err error) {
	if len(key.Secret) < keyBytes {
		return nil, ErrKey.New("secret of key %d has %d bytes, want at least %d", key.ID, len(key.Secret), keyBytes)
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

// deriveCipher derives one cipher from a secret and a label.
func deriveCipher(secret []byte, label string) (block cipher.Block, err error) {
	bytes, err := hkdf.Key(sha256.New, secret, nil, label, keyBytes)
	if err != nil {
		return nil, err
	}
	return aes.NewCipher(bytes)
}

// CheckAgentAddress returns an error if an agent address doesn't fit in a connection ID, which
// has room only for an IPv4 address with a port. Settings are checked with it before a place
// is created.
func CheckAgentAddress(agent netip.AddrPort) (err error) {
	if !agent.Addr().Unmap().Is4() {
		return ErrAddress.New("agent address %v is not IPv4 and does not fit in a connection ID", agent)
	}
	if agent.Port() == 0 {
		return ErrAddress.New("agent address %v has no port", agent)
	}
	return nil
}

// CanSeal reports whether the Sealer has a key for sealing.
func (s *Sealer) CanSeal() bool { return s.sealingKey != nil }

// HasKeyFor reports whether the Sealer has the key whose ID is in the connection ID. If it has
// and Open still rejects the connection ID, the system did not issue it.
func (s *Sealer) HasKeyFor(id []byte) bool {
	return len(id) == ConnectionIDLen && s.keys[id[0]] != nil
}

// AppendID appends a connection ID of ConnectionIDLen bytes that contains p. The nonce
// distinguishes connection IDs of the same place. The address of the agent must be accepted by
// CheckAgentAddress, and CanSeal must be true.
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

// Open returns the place in a connection ID. It returns false if no key of the Sealer sealed
// the connection ID. A random connection ID passes this check with a probability of 1 in 2^24.
// It then contains a random service, which the caller must compare with the expected one.
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

// parseBlock parses the place in a decrypted block. It returns false if the port or the service
// is zero.
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
