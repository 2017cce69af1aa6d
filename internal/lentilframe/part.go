package lentilframe

import (
	"encoding/binary"
	"math"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// appendText appends a text with its length. It cuts off what is longer than 255 bytes.
func appendText(dst []byte, text string) []byte {
	text = text[:min(len(text), math.MaxUint8)]
	return append(append(dst, byte(len(text))), text...)
}

func appendEndpoint(dst []byte, endpoint lentilflow.Endpoint) []byte {
	address := endpoint.Address()
	return binary.BigEndian.AppendUint16(append(dst, address[:]...), endpoint.Port())
}

func appendKey(dst []byte, key lentilflow.Key) []byte {
	return appendEndpoint(appendEndpoint(dst, key.Client()), key.Service())
}

// appendKeys appends the number of keys and the first lentilflow.MaxKeys keys.
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

// appendWait appends the fields of a load from which balancers estimate waits, if the load has them.
func appendWait(dst []byte, load lentilflow.Load) []byte {
	if !load.ReportsWait() {
		return dst
	}
	dst = binary.BigEndian.AppendUint16(dst, load.Utilization)
	dst = binary.BigEndian.AppendUint16(dst, load.ServiceTime)
	return binary.BigEndian.AppendUint16(dst, load.Waiting)
}

func appendStoreState(dst []byte, state lentilflow.StoreState) []byte {
	dst = binary.BigEndian.AppendUint64(dst, state.ConfigurationRevision)
	dst = binary.BigEndian.AppendUint64(dst, state.DomainsRevision)
	return binary.BigEndian.AppendUint32(dst, uint32(min(state.CheckedAgo.Milliseconds(), math.MaxUint32)))
}

// appendEra appends the era of the store. Era 0 is left out: processes that don't know of eras reject it.
func appendEra(dst []byte, state lentilflow.StoreState) []byte {
	if state.Era == 0 {
		return dst
	}
	dst = binary.BigEndian.AppendUint64(dst, state.Era)
	return binary.BigEndian.AppendUint32(dst, uint32(min(state.EraAge.Milliseconds(), math.MaxUint32)))
}

// flagIf returns the bit if set is true, and zero otherwise.
func flagIf(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

// reader parses the parts of a frame in order. It keeps the first error; after that, every part is
// zero.
type reader struct {
	data []byte
	kind Kind
	err  error
}

// fail records that a part is malformed, unless an error was recorded before.
func (r *reader) fail(part string) {
	if r.err == nil {
		r.err = ErrFrame.New("%s: %s is malformed", r.kind, part)
	}
}

// take consumes the next n bytes. It returns nil after an error.
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

// head consumes the head and checks the kind.
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

// keys parses a list of keys. An empty list is an error.
func (r *reader) keys() (keys []lentilflow.Key) {
	count := int(r.byte())
	if count == 0 || count > lentilflow.MaxKeys {
		r.fail("number of flows")
		return nil
	}
	keys = make([]lentilflow.Key, 0, count)
	for range count {
		keys = append(keys, r.key())
	}
	return keys
}

func (r *reader) load() lentilflow.Load {
	flows := r.uint32()
	inFlight := r.uint16()
	return lentilflow.Load{Flows: flows, InFlight: inFlight, Slots: r.uint16()}
}

// wait parses the fields of a load from which balancers estimate waits.
func (r *reader) wait(load *lentilflow.Load) {
	load.Utilization, load.ServiceTime, load.Waiting = r.uint16(), r.uint16(), r.uint16()
	if load.ServiceTime == 0 {
		r.fail("service time")
	}
}

func (r *reader) storeState() lentilflow.StoreState {
	configurationRevision, domainsRevision := r.uint64(), r.uint64()
	return lentilflow.StoreState{
		ConfigurationRevision: configurationRevision, DomainsRevision: domainsRevision, CheckedAgo: time.Duration(r.uint32()) * time.Millisecond,
	}
}

// era parses the era of the store.
func (r *reader) era(state *lentilflow.StoreState) {
	if state.Era = r.uint64(); state.Era == 0 {
		r.fail("era")
	}
	state.EraAge = time.Duration(r.uint32()) * time.Millisecond
}

// rest returns the remaining bytes. It is an error if none remain.
func (r *reader) rest() []byte {
	if len(r.data) == 0 {
		r.fail("packet")
	}
	if r.err != nil {
		return nil
	}
	return r.data
}

// finish returns the recorded error. Trailing bytes are an error, too.
func (r *reader) finish() error {
	if len(r.data) != 0 {
		r.fail("end")
	}
	return r.err
}
