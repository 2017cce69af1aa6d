package lentilticket

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/internal/lentilgolden"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

var (
	oldKey = Key{ID: 1, Secret: bytes.Repeat([]byte{1}, 32)}
	newKey = Key{ID: 2, Secret: bytes.Repeat([]byte{2}, 32)}
)

func TestSealParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Ticket{
			incarnation: lentilid.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			service:     lentilid.Service(rapid.Uint16().Draw(t, "service")),
			sequence:    rapid.Uint64().Draw(t, "sequence"),
		}
		address := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "v4")))
		if rapid.Bool().Draw(t, "ipv6") {
			address = netip.AddrFrom16([16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "v6")))
		}
		want.control = netip.AddrPortFrom(address, rapid.Uint16().Draw(t, "port"))
		text, err := Ring{oldKey}.Seal(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Ring{newKey, oldKey}.Parse(text)
		if err != nil || got != want {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
		at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
		other := rapid.SampledFrom([]byte("ABCDEFGHIJKLMNOPabcdefgh0123_-")).Draw(t, "byte")
		changed := text[:at] + string(other) + text[at+1:]
		if forged, err := (Ring{oldKey}).Parse(changed); changed != text && err == nil {
			t.Fatalf("changed byte %d and got %+v", at, forged)
		}
	})
}

func TestParseRejectsInvalidTickets(t *testing.T) {
	ticket := Ticket{control: netip.MustParseAddrPort("10.0.0.1:9000"), incarnation: 5, service: 3, sequence: 9}
	text, err := Ring{oldKey}.Seal(ticket)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		ring Ring
		text string
		want *errorx.Type
	}{
		{"another key", Ring{newKey}, text, ErrForged},
		{"same key number, another secret", Ring{{ID: 1, Secret: newKey.Secret}}, text, ErrForged},
		{"no key", nil, text, ErrForged},
		{"empty", Ring{oldKey}, "", ErrMalformed},
		{"cut short", Ring{oldKey}, text[:20], ErrMalformed},
		{"longer", Ring{oldKey}, text + "AAAA", ErrForged},
		{"not base64", Ring{oldKey}, "%" + text[1:], ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := c.ring.Parse(c.text); !errorx.IsOfType(err, c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
	if _, err := (Ring{}).Seal(ticket); !errorx.IsOfType(err, ErrNoKey) {
		t.Errorf("sealed without a key: %v", err)
	}
	// The text is what other incarnations and releases read, so it must not change unnoticed.
	lentilgolden.Check(t, "testdata/ticket.golden", text)
}

func TestFingerprintSeparatesParts(t *testing.T) {
	seen := map[Fingerprint]string{}
	for _, parts := range [][3]string{{"POST", "/a", "b"}, {"POST", "/ab", ""}, {"POS", "T/a", "b"}, {"PUT", "/a", "b"}, {"POST", "/a", "c"}} {
		f := NewFingerprint(parts[0], parts[1], []byte(parts[2]))
		if other, ok := seen[f]; ok {
			t.Errorf("%v and %s have one fingerprint", parts, other)
		}
		seen[f] = parts[0] + parts[1]
	}
}
