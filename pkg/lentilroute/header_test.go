package lentilroute

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// longPacket returns a packet that is a long header with the given connection IDs.
func longPacket(version byte, destination, source []byte) (packet []byte) {
	packet = append(packet, 0xc0, 0, 0, 0, version, byte(len(destination)))
	packet = append(packet, destination...)
	packet = append(packet, byte(len(source)))
	return append(packet, source...)
}

// shortPacket returns a packet that is a short header with the given connection ID.
func shortPacket(destination []byte) (packet []byte) {
	return append([]byte{0x40}, destination...)
}

func TestParseHeader(t *testing.T) {
	id := bytes.Repeat([]byte{9}, lentilid.ConnectionIDLen)
	long := longPacket(1, []byte("12345678"), []byte("abcd"))
	tests := []struct {
		name    string
		packet  []byte
		want    Header
		wantErr bool
	}{
		{name: "long", packet: long, want: Header{long: true, version: 1, destination: []byte("12345678"), source: []byte("abcd")}},
		{name: "short", packet: append(shortPacket(id), 1, 2, 3), want: Header{destination: id}},
		{name: "empty", wantErr: true},
		{name: "long ends in version", packet: long[:4], wantErr: true},
		{name: "long ends in destination", packet: long[:9], wantErr: true},
		{name: "long ends before source", packet: long[:14], wantErr: true},
		{name: "long ends in source", packet: long[:len(long)-1], wantErr: true},
		{name: "version negotiation", packet: longPacket(0, []byte("12345678"), nil), wantErr: true},
		{name: "short ends in destination", packet: shortPacket(id)[:lentilid.ConnectionIDLen], wantErr: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := ParseHeader(test.packet)
			if errorx.IsOfType(err, ErrHeader) != test.wantErr {
				t.Fatalf("unexpected error result: %v", err)
			}
			if diff := cmp.Diff(test.want, got, cmp.AllowUnexported(Header{})); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

func FuzzParseHeader(f *testing.F) {
	f.Add(longPacket(1, []byte("12345678"), []byte("abcd")))
	f.Add(shortPacket(make([]byte, lentilid.ConnectionIDLen)))
	sealer, _ := lentilid.NewSealer([]lentilid.Key{{ID: 1, Secret: make([]byte, 16)}})
	f.Fuzz(func(t *testing.T, packet []byte) {
		header, err := ParseHeader(packet)
		if err == nil && !bytes.Contains(packet, header.Destination()) {
			t.Error("destination connection ID is not in the packet")
		}
		flow := Classify(sealer, QUIC, packet, netip.AddrPort{})
		if (err != nil) != (flow.Verdict == DropMalformed) && len(header.Destination()) > 0 {
			t.Errorf("ParseHeader returns error %v, Classify returns verdict %v", err, flow.Verdict)
		}
		if flow.Verdict == ToBucket && flow.Key.IsZero() {
			t.Error("flow without a key has verdict ToBucket")
		}
	})
}
