package lentilflow

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestEndpointOf(t *testing.T) {
	for _, c := range []struct{ written, want string }{
		{"10.1.2.3:4567", "10.1.2.3:4567"},
		{"[::ffff:10.1.2.3]:4567", "10.1.2.3:4567"},
		{"[2001:db8::1]:80", "0.0.0.0:0"},
	} {
		if got := EndpointOf(netip.MustParseAddrPort(c.written)).String(); got != c.want {
			t.Errorf("%s: got %s, want %s", c.written, got, c.want)
		}
	}
	key := NewKey(EndpointOf(netip.MustParseAddrPort("100.64.0.7:40001")), EndpointOf(netip.MustParseAddrPort("198.18.0.1:443")))
	if got := key.String(); got != "100.64.0.7:40001>198.18.0.1:443" {
		t.Errorf("key: %s", got)
	}
}

func testEndpoint(n int) Endpoint { return NewEndpoint([4]byte{10, 0, byte(n >> 8), byte(n)}, 80) }

func TestPacketOpensFlow(t *testing.T) {
	for _, c := range []struct {
		marks Flags
		want  bool
	}{{Open, true}, {Open | Acknowledge, false}, {Acknowledge, false}, {Open | Returned, true}, {0, false}} {
		if got := (Packet{Flags: c.marks}).OpensFlow(); got != c.want {
			t.Errorf("marks %d: got %t", c.marks, got)
		}
	}
}

// TestTableKeepsUsedFlows compares a table with what it promises: nothing used within Idle is forgotten
// while there is room, nothing unused for twice Idle is kept, and it never holds more than Max.
func TestTableKeepsUsedFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const idle, most = 10 * time.Second, 16
		table := Table[int]{IdleTimeout: idle, MaxFlows: most}
		now := time.Unix(1000, 0)
		used := make(map[Key]time.Time)
		recent := func(k Key) (newer int) {
			for other, at := range used {
				if other != k && !at.Before(used[k]) {
					newer++
				}
			}
			return newer
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k := NewKey(testEndpoint(rapid.IntRange(0, 30).Draw(t, "key")), testEndpoint(0))
				value := 1
				table.Put(now, k, &value)
				used[k] = now
			},
			"get": func(t *rapid.T) {
				k := NewKey(testEndpoint(rapid.IntRange(0, 30).Draw(t, "key")), testEndpoint(0))
				at, ok := used[k]
				got := table.Get(now, k) != nil
				switch {
				case got && !ok:
					t.Fatalf("%s is there and was never put", k)
				case got && now.Sub(at) >= 2*idle:
					t.Fatalf("%s is there after %s", k, now.Sub(at))
				case !got && ok && now.Sub(at) < idle && recent(k) < most/2-1:
					t.Fatalf("%s was forgotten after %s", k, now.Sub(at))
				}
				if got {
					used[k] = now
				}
			},
			"delete": func(t *rapid.T) {
				k := NewKey(testEndpoint(rapid.IntRange(0, 30).Draw(t, "key")), testEndpoint(0))
				table.Delete(k)
				delete(used, k)
			},
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second) },
			"": func(t *rapid.T) {
				if table.Len() > most {
					t.Fatalf("%d flows, bound %d", table.Len(), most)
				}
			},
		})
	})
}

func TestConfiguration(t *testing.T) {
	c := NewConfiguration(7, map[Endpoint][]Backend{testEndpoint(1): {{Service: "a", Weight: 1}}}, map[string]float64{"a": 2}, time.Second)
	if c.Version() != 7 || c.RouteCount() != 1 || len(c.Backends(testEndpoint(1))) != 1 || c.Backends(testEndpoint(2)) != nil || c.ColdRate("a") != 2 || c.ColdRate("b") != 0 || c.IdleTimeout() != time.Second {
		t.Errorf("%+v", c)
	}
	var zero Configuration
	for range zero.All() {
		t.Error("the zero configuration has an address")
	}
}
