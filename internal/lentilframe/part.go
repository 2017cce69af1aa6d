package lentilframe

import (
	"encoding/binary"
	"math"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

func appendText(dst []byte, text string) []byte {
	text = text[:min(len(text), math.MaxUint8)]
	return append(append(dst, byte(len(text))), text...)
}

func appendEndpoint(dst []byte, end lentilflow.Endpoint) []byte {
	address := end.Address()
	return binary.BigEndian.AppendUint16(append(dst, address[:]...), end.Port())
}

func appendKey(dst []byte, key lentilflow.Key) []byte {
	return appendEndpoint(appendEndpoint(dst, key.Client()), key.Service())
}

func appendKeys(dst []byte, keys []lentilflow.Key) []byte {
	keys = keys[:min(len(keys), lentilflow.MaxKeys)]
	dst = append(dst, byte(len(keys)))
	for _, k := range keys {
		dst = appendKey(dst, k)
	}
	return dst
}

func appendLoad(dst []byte, load lentilflow.Load) []byte {
	dst = binary.BigEndian.AppendUint32(dst, load.Flows)
	dst = binary.BigEndian.AppendUint16(dst, load.InFlight)
	return binary.BigEndian.AppendUint16(dst, load.Slots)
}

func appendStoreState(dst []byte, k lentilflow.StoreState) []byte {
	dst = binary.BigEndian.AppendUint64(dst, k.ConfigurationRevision)
	dst = binary.BigEndian.AppendUint64(dst, k.DomainsRevision)
	return binary.BigEndian.AppendUint32(dst, uint32(min(k.CheckedAgo.Milliseconds(), math.MaxUint32)))
}

func flagIf(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

// reader takes the parts of a frame one after the other. After the first error, which it keeps,
// every part is zero.
type reader struct {
	data []byte
	kind Kind
	err  error
}

func (r *reader) fail(part string) {
	if r.err == nil {
		r.err = ErrFrame.New("%s: %s is malformed", r.kind, part)
	}
}

func (r *reader) take(n int, part string) (taken []byte) {
	if len(r.data) < n {
		r.fail(part)
	}
	if r.err != nil {
		return nil
	}
	taken, r.data = r.data[:n], r.data[n:]
	return taken
}

func (r *reader) head() *reader {
	const length = 2
	if KindOf(r.data) != r.kind {
		r.fail("head")
	}
	r.take(length, "head")
	return r
}

func (r *reader) byte() byte {
	if b := r.take(1, "byte"); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) uint16() uint16 {
	const length = 2
	if b := r.take(length, "number"); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) uint32() uint32 {
	const length = 4
	if b := r.take(length, "number"); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) uint64() uint64 {
	const length = 8
	if b := r.take(length, "number"); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *reader) text() string { return string(r.take(int(r.byte()), "text")) }

func (r *reader) endpoint() lentilflow.Endpoint {
	const length = 4
	var address [length]byte
	copy(address[:], r.take(length, "address"))
	return lentilflow.NewEndpoint(address, r.uint16())
}

func (r *reader) key() lentilflow.Key {
	client := r.endpoint()
	return lentilflow.NewKey(client, r.endpoint())
}

// keys reads at least one key.
func (r *reader) keys() (keys []lentilflow.Key) {
	n := int(r.byte())
	if n == 0 || n > lentilflow.MaxKeys {
		r.fail("number of flows")
		return nil
	}
	keys = make([]lentilflow.Key, 0, n)
	for range n {
		keys = append(keys, r.key())
	}
	return keys
}

func (r *reader) load() lentilflow.Load {
	flows := r.uint32()
	busy := r.uint16()
	return lentilflow.Load{Flows: flows, InFlight: busy, Slots: r.uint16()}
}

func (r *reader) storeState() lentilflow.StoreState {
	configuration, domains := r.uint64(), r.uint64()
	return lentilflow.StoreState{
		ConfigurationRevision: configuration, DomainsRevision: domains, CheckedAgo: time.Duration(r.uint32()) * time.Millisecond,
	}
}

// rest returns what is left, which must not be empty.
func (r *reader) rest() []byte {
	if len(r.data) == 0 {
		r.fail("packet")
	}
	if r.err != nil {
		return nil
	}
	return r.data
}

// finish returns the error, one about bytes that are left over among them.
func (r *reader) finish() error {
	if len(r.data) != 0 {
		r.fail("end")
	}
	return r.err
}
