package lentilid

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"
)

var (
	oldKey    = Key{ID: 7, Secret: bytes.Repeat([]byte{1}, 32)}
	newKey    = Key{ID: 8, Secret: bytes.Repeat([]byte{2}, 32)}
	testPlace = NewPlace(netip.MustParseAddrPort("192.0.2.9:7000"), 3, 0x0102, 0xaabbccddeeff)
)

func newSealer(t testing.TB, keys ...Key) *Sealer {
	t.Helper()
	s, err := NewSealer(keys)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSealOpenRoundTrip(t *testing.T) {
	s := newSealer(t, newKey, oldKey)
	rapid.Check(t, func(t *rapid.T) {
		address := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "address")))
		agent := netip.AddrPortFrom(address, rapid.Uint16Min(1).Draw(t, "port"))
		service := Service(rapid.Uint16Min(1).Draw(t, "service"))
		domain := Domain(rapid.Uint8().Draw(t, "domain"))
		want := NewPlace(agent, domain, service, Incarnation(rapid.Uint64().Draw(t, "incarnation")))
		id := s.AppendID(nil, want, rapid.Uint32().Draw(t, "nonce"))
		if len(id) != ConnectionIDLen {
			t.Fatalf("connection ID has %d bytes", len(id))
		}
		got, ok := s.Open(id)
		if diff := cmp.Diff(want, got); !ok || diff != "" {
			t.Fatalf("ok %v, -want +got:\n%s", ok, diff)
		}
		flipped := rapid.IntRange(0, ConnectionIDLen*8-1).Draw(t, "flipped bit")
		id[flipped/8] ^= 1 << (flipped % 8)
		if place, ok := s.Open(id); ok {
			t.Fatalf("opened with bit %d flipped: %v", flipped, place)
		}
	})
}

func TestSealerKeys(t *testing.T) {
	id := newSealer(t, oldKey).AppendID(nil, testPlace, 1)
	foreign := Key{ID: oldKey.ID, Secret: newKey.Secret}
	tests := []struct {
		name         string
		sealer       *Sealer
		id           []byte
		opens, knows bool
	}{
		{"same key", newSealer(t, oldKey), id, true, true},
		{"new key added", newSealer(t, oldKey, newKey), id, true, true},
		{"new key first", newSealer(t, newKey, oldKey), id, true, true},
		{"old key removed", newSealer(t, newKey), id, false, false},
		{"other secret under the number", newSealer(t, foreign), id, false, true},
		{"zero sealer", &Sealer{}, id, false, false},
		{"empty", newSealer(t, oldKey), nil, false, false},
		{"truncated", newSealer(t, oldKey), id[:ConnectionIDLen-1], false, false},
		{"one byte more", newSealer(t, oldKey), append(bytes.Clone(id), 0), false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, ok := test.sealer.Open(test.id); ok != test.opens {
				t.Errorf("opens: %v", ok)
			}
			if knows := test.sealer.HasKeyFor(test.id); knows != test.knows {
				t.Errorf("knows the key: %v", knows)
			}
		})
	}
}

func TestRejectsInvalidKeysAndAddresses(t *testing.T) {
	tests := []struct {
		name string
		err  func() error
		want *errorx.Type
	}{
		{"short secret", func() error { _, err := NewSealer([]Key{{Secret: make([]byte, 15)}}); return err }, ErrKey},
		{"number twice", func() error { _, err := NewSealer([]Key{oldKey, oldKey}); return err }, ErrKey},
		{"IPv6 agent", func() error { return CheckAgentAddress(netip.MustParseAddrPort("[2001:db8::1]:7000")) }, ErrAddress},
		{"no port", func() error { return CheckAgentAddress(netip.MustParseAddrPort("192.0.2.1:0")) }, ErrAddress},
		{"no address", func() error { return CheckAgentAddress(netip.AddrPort{}) }, ErrAddress},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := test.err(); !errorx.IsOfType(err, test.want) {
				t.Errorf("got %v, want an error of the type %v", err, test.want)
			}
		})
	}
	if err := CheckAgentAddress(testPlace.Agent()); err != nil {
		t.Error(err)
	}
}

func FuzzOpen(f *testing.F) {
	s := newSealer(f, oldKey)
	f.Add(s.AppendID(nil, testPlace, 1))
	f.Add([]byte{})
	f.Add(make([]byte, ConnectionIDLen))
	f.Fuzz(func(t *testing.T, id []byte) {
		before := bytes.Clone(id)
		place, ok := s.Open(id)
		if !bytes.Equal(before, id) {
			t.Error("Open changed the connection ID")
		}
		if ok && (place.Service() == 0 || place.Agent().Port() == 0) {
			t.Errorf("opened a place that is nowhere: %v", place)
		}
	})
}

func TestOpenAllocatesNothing(t *testing.T) {
	s := newSealer(t, oldKey)
	id := s.AppendID(nil, testPlace, 1)
	if allocated := testing.AllocsPerRun(1000, func() { s.Open(id) }); allocated != 0 {
		t.Errorf("%v allocations", allocated)
	}
}

func BenchmarkOpen(b *testing.B) {
	s := newSealer(b, oldKey)
	id := s.AppendID(nil, testPlace, 1)
	b.ReportAllocs()
	for b.Loop() {
		s.Open(id)
	}
}

func BenchmarkOpenForged(b *testing.B) {
	s := newSealer(b, oldKey)
	id := s.AppendID(nil, testPlace, 1)
	id[5]++
	b.ReportAllocs()
	for b.Loop() {
		s.Open(id)
	}
}
