package lentilticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/netip"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Namespace holds the error types of the package.
var Namespace = errorx.NewNamespace("lentilticket")

var (
	// ErrMalformed is the type of errors about a text that is not a ticket.
	ErrMalformed = Namespace.NewType("malformed")
	// ErrForged is the type of errors about a ticket that no key of the ring authenticates.
	ErrForged = Namespace.NewType("forged")
	// ErrNoKey is the type of errors about a ring without a usable first key.
	ErrNoKey = Namespace.NewType("no_key")
)

const (
	// QueryParameter is the query parameter that carries a ticket.
	QueryParameter = "lentilTicket"

	// Layout of a ticket before it is encoded as text: the format version and the key ID (the
	// header), the service, the incarnation, the sequence and the control port (with the
	// header, the fixed size), the control address of 4 or 16 bytes, and the MAC.
	formatVersion = 1
	macSize       = 16
	fixedSize     = 1 + 1 + 2 + 8 + 8 + 2
	headerSize    = 2
	macLabel      = "lentilstair ticket 1"
)

var textEncoding = base64.RawURLEncoding.Strict()

// Seal returns the text of a ticket. It is authenticated by the first key of the ring and safe
// in a URL.
func (r Ring) Seal(ticket Ticket) (text string, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "seal ticket")
		}
	}()
	if len(r) == 0 || len(r[0].Secret) < MinSecretSize {
		return "", ErrNoKey.New("the ring has no first key with a secret of at least %d bytes", MinSecretSize)
	}
	plain := ticket.marshal(r[0].ID)
	return textEncoding.EncodeToString(append(plain, r[0].mac(plain)...)), nil
}

// Parse returns the ticket in a text. It rejects a text that no key of the ring authenticates.
func (r Ring) Parse(text string) (ticket Ticket, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "parse ticket")
		}
	}()
	sealed, err := textEncoding.DecodeString(text)
	if err != nil {
		return Ticket{}, ErrMalformed.Wrap(err, "text")
	}
	if len(sealed) < fixedSize+macSize || sealed[0] != formatVersion {
		return Ticket{}, ErrMalformed.New("ticket of %d bytes is too short or has an unknown format version", len(sealed))
	}
	plain, mac := sealed[:len(sealed)-macSize], sealed[len(sealed)-macSize:]
	if !r.verifyMAC(plain, mac) {
		return Ticket{}, ErrForged.New("ticket is not authenticated by a key with ID %d", sealed[1])
	}
	return unmarshal(plain)
}

func (r Ring) verifyMAC(plain, mac []byte) bool {
	for _, k := range r {
		if k.ID == plain[1] && len(k.Secret) >= MinSecretSize && hmac.Equal(mac, k.mac(plain)) {
			return true
		}
	}
	return false
}

func (k Key) mac(plain []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write([]byte(macLabel))
	h.Write(plain)
	return h.Sum(nil)[:macSize]
}

func (t Ticket) marshal(keyID uint8) []byte {
	plain := make([]byte, 0, fixedSize+16+macSize)
	plain = append(plain, formatVersion, keyID)
	plain = binary.BigEndian.AppendUint16(plain, uint16(t.service))
	plain = binary.BigEndian.AppendUint64(plain, uint64(t.incarnation))
	plain = binary.BigEndian.AppendUint64(plain, t.sequence)
	plain = binary.BigEndian.AppendUint16(plain, t.control.Port())
	return append(plain, t.control.Addr().AsSlice()...)
}

func unmarshal(plain []byte) (ticket Ticket, err error) {
	fields := plain[headerSize:]
	ticket.service = lentilid.Service(binary.BigEndian.Uint16(fields))
	ticket.incarnation = lentilid.Incarnation(binary.BigEndian.Uint64(fields[2:]))
	ticket.sequence = binary.BigEndian.Uint64(fields[10:])
	address, ok := netip.AddrFromSlice(plain[fixedSize:])
	if !ok {
		return Ticket{}, ErrMalformed.New("control address has %d bytes", len(plain)-fixedSize)
	}
	ticket.control = netip.AddrPortFrom(address, binary.BigEndian.Uint16(fields[18:]))
	return ticket, nil
}
