package lentilticket

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint identifies the content of a request. The Ledger uses it to detect different
// requests that carry the same ticket.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the fingerprint of a request. Target is the path and query, without
// QueryParameter.
func NewFingerprint(method, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil))
}
