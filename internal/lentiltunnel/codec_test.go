package lentiltunnel

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

var (
	oldKey       = lentilkey.KeyDoc{ID: 1, Secret: []byte("the old secret of the tests")}
	newKey       = lentilkey.KeyDoc{ID: 2, Secret: []byte("the new secret of the tests")}
	sampleHeader = Header{
		Kind:        Handed,
		Hop:         0x1203,
		Service:     0x0102,
		Domain:      3,
		Incarnation: 0x040506,
		Caller:      netip.MustParseAddrPort("192.0.2.7:4433"),
		Via:         netip.MustParseAddrPort("198.51.100.9:7000"),
		From:        lentilid.NewPlace(netip.MustParseAddrPort("198.51.100.8:7001"), 4, 0x0102, 0x070809),
	}
)

func newCodec(t testing.TB, docs ...lentilkey.KeyDoc) *Codec {
	t.Helper()
	ring, err := lentilkey.New(docs)
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(ring)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func sealPacket(c *Codec, h Header, payload string) []byte {
	buffer := make([]byte, MaxPacketBytes)
	return c.Seal(buffer, &h, copy(PayloadArea(buffer), payload))
}

var compareAddr = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

func TestRoundTrip(t *testing.T) {
	ipv6 := sampleHeader
	ipv6.Caller = netip.MustParseAddrPort("[2001:db8::1]:443")
	answer := sampleHeader
	answer.Kind, answer.Via = Answer, netip.AddrPort{}
	for _, want := range []Header{sampleHeader, ipv6, answer} {
		var got Header
		payload, fault := newCodec(t, newKey, oldKey).Open(sealPacket(newCodec(t, oldKey), want, "payload"), &got)
		if fault != None || string(payload) != "payload" {
			t.Fatalf("Open = %q, %s, want the sealed payload", payload, fault)
		}
		if diff := cmp.Diff(want, got, compareAddr); diff != "" {
			t.Errorf("header (-want +got):\n%s", diff)
		}
	}
}

// TestRejectsFlippedBits flips each bit of a packet in turn. Open must reject every result.
func TestRejectsFlippedBits(t *testing.T) {
	c := newCodec(t, oldKey)
	packet := sealPacket(c, sampleHeader, "payload")
	for i := range len(packet) * 8 {
		packet[i/8] ^= 1 << (i % 8)
		var h Header
		if _, fault := c.Open(packet, &h); fault == None {
			t.Errorf("Open accepted a packet with bit %d flipped", i)
		}
		packet[i/8] ^= 1 << (i % 8)
	}
}

func TestFaults(t *testing.T) {
	c := newCodec(t, oldKey)
	packet := sealPacket(c, sampleHeader, "payload")
	tests := []struct {
		name   string
		packet []byte
		want   Fault
	}{
		{"empty", nil, Malformed},
		{"truncated header", packet[:HeaderBytes-1], Malformed},
		{"truncated payload", packet[:len(packet)-1], Forged},
		{"too long", make([]byte, MaxPacketBytes+1), Malformed},
		{"unknown version", append([]byte{9}, packet[1:]...), Malformed},
		{"unknown kind", append([]byte{version, 9}, packet[2:]...), Malformed},
		{"key not in the ring", sealPacket(newCodec(t, newKey), sampleHeader, "x"), UnknownKey},
		{"same key ID, other secret", sealPacket(newCodec(t, lentilkey.KeyDoc{ID: 1, Secret: newKey.Secret}), sampleHeader, "x"), Forged},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var h Header
			if _, fault := c.Open(tt.packet, &h); fault != tt.want {
				t.Errorf("Open: fault %s, want %s", fault, tt.want)
			}
		})
	}
}

func TestNoAllocation(t *testing.T) {
	c := newCodec(t, oldKey)
	buffer := make([]byte, MaxPacketBytes)
	got := testing.AllocsPerRun(100, func() {
		h := sampleHeader
		packet := c.Seal(buffer, &h, MaxPayloadBytes)
		if _, fault := c.Open(packet, &h); fault != None {
			t.Fatal(fault)
		}
	})
	if got != 0 {
		t.Errorf("%v allocations per packet, want 0", got)
	}
}

func FuzzOpen(f *testing.F) {
	c := newCodec(f, oldKey)
	f.Add(sealPacket(c, sampleHeader, "payload"))
	f.Add([]byte{version, byte(Inbound)})
	f.Fuzz(func(t *testing.T, packet []byte) {
		var h Header
		payload, fault := c.Open(packet, &h)
		if fault == None && len(payload) != len(packet)-OverheadBytes {
			t.Errorf("payload of %d bytes in a packet of %d bytes", len(payload), len(packet))
		}
	})
}

func BenchmarkSealOpen(b *testing.B) {
	c := newCodec(b, oldKey)
	buffer := make([]byte, MaxPacketBytes)
	h := sampleHeader
	b.ReportAllocs()
	for b.Loop() {
		packet := c.Seal(buffer, &h, 1350)
		c.Open(packet, &h)
	}
}
