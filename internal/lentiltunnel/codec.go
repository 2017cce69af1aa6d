package lentiltunnel

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilkey"
)

// KeyBytes is the length of a tunnel key (AES-128).
const KeyBytes = 16

// Fault is the reason for which a tunnel packet was rejected.
type Fault uint8

//go:generate stringer -type=Fault

// The faults of tunnel packets.
const (
	// None is the fault of a valid packet.
	None Fault = iota
	// Malformed packets are too short, too long, or of an unknown version or kind.
	Malformed
	// UnknownKey packets are authenticated with a key that is not in the ring.
	UnknownKey
	// Forged packets have an invalid authentication tag.
	Forged
)

// Codec seals and opens tunnel packets. It is safe for concurrent use. A Codec never uses a
// nonce twice: nonces count up from a random start of 96 bits, so the nonces of different
// processes practically never coincide.
type Codec struct {
	signingKeyID uint8
	keys         [256]cipher.AEAD
	noncePrefix  uint32
	nonceCounter atomic.Uint64
}

// New returns a codec with the tunnel keys of the ring.
func New(ring lentilkey.Ring) (codec *Codec, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "make tunnel codec")
		}
	}()
	keys, err := ring.Derive(lentilkey.Tunnel, KeyBytes)
	if err != nil {
		return nil, err
	}
	if len(keys) == 0 {
		return nil, lentilkey.ErrRing.New("the key ring is empty")
	}
	codec = &Codec{signingKeyID: keys[0].ID()}
	for _, k := range keys {
		block, err := aes.NewCipher(k.Bytes())
		if err != nil {
			return nil, err
		}
		if codec.keys[k.ID()], err = cipher.NewGCM(block); err != nil {
			return nil, err
		}
	}
	var start [nonceBytes]byte
	if _, err = rand.Read(start[:]); err != nil {
		return nil, err
	}
	codec.noncePrefix = binary.BigEndian.Uint32(start[:])
	codec.nonceCounter.Store(binary.BigEndian.Uint64(start[4:]))
	return codec, nil
}

// Seal builds a tunnel packet in buffer. The payload, of length bytes, must already be at
// PayloadArea(buffer). The packet shares buffer's memory.
func (c *Codec) Seal(buffer []byte, h *Header, length int) (packet []byte) {
	end := HeaderBytes + length
	packet = buffer[:end:len(buffer)]
	h.encode(packet, c.signingKeyID)
	nonce := packet[offsetNonce:HeaderBytes]
	binary.BigEndian.PutUint32(nonce, c.noncePrefix)
	binary.BigEndian.PutUint64(nonce[4:], c.nonceCounter.Add(1))
	return c.keys[c.signingKeyID].Seal(packet, nonce, nil, packet)
}

// Open authenticates a tunnel packet and decodes its header into h. The payload shares
// packet's memory. h is undefined unless fault is None.
func (c *Codec) Open(packet []byte, h *Header) (payload []byte, fault Fault) {
	if len(packet) < OverheadBytes || len(packet) > MaxPacketBytes || packet[offsetVersion] != version {
		return nil, Malformed
	}
	kind := Kind(packet[offsetKind])
	if kind < Inbound || kind > Handed {
		return nil, Malformed
	}
	aead := c.keys[packet[offsetKey]]
	if aead == nil {
		return nil, UnknownKey
	}
	end := len(packet) - TagBytes
	nonce := packet[offsetNonce:HeaderBytes]
	if _, err := aead.Open(nil, nonce, packet[end:], packet[:end]); err != nil {
		return nil, Forged
	}
	h.decode(packet)
	return packet[HeaderBytes:end], None
}
