package lentilflow

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestEndpointOf(t *testing.T) {
	for _, c := range []struct{ addrPort, want string }{
		{"10.1.2.3:4567", "10.1.2.3:4567"},
		{"[::ffff:10.1.2.3]:4567", "10.1.2.3:4567"},
		{"[2001:db8::1]:80", "0.0.0.0:0"},
	} {
		if got := EndpointOf(netip.MustParseAddrPort(c.addrPort)).String(); got != c.want {
			t.Errorf("%s: got %s, want %s", c.addrPort, got, c.want)
		}
	}
	key := NewKey(EndpointOf(netip.MustParseAddrPort("100.64.0.7:40001")), EndpointOf(netip.MustParseAddrPort("198.18.0.1:443")))
	if got := key.String(); got != "100.64.0.7:40001>198.18.0.1:443" {
		t.Errorf("key: got %s", got)
	}
}

func testEndpoint(n int) Endpoint { return NewEndpoint([4]byte{10, 0, byte(n >> 8), byte(n)}, 80) }

func TestPacketOpensFlow(t *testing.T) {
	for _, c := range []struct {
		flags Flags
		want  bool
	}{{Open, true}, {Open | Acknowledge, false}, {Acknowledge, false}, {Open | Returned, true}, {0, false}} {
		if got := (Packet{Flags: c.flags}).OpensFlow(); got != c.want {
			t.Errorf("flags %d: got %t", c.flags, got)
		}
	}
}

// TestTableKeepsUsedFlows checks that a table with free space keeps flows used within IdleTimeout, drops
// flows unused for twice IdleTimeout, and never holds more than MaxFlows.
func TestTableKeepsUsedFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const idleTimeout, maxFlows = 10 * time.Second, 16
		table := Table[int]{IdleTimeout: idleTimeout, MaxFlows: maxFlows}
		now := time.Unix(1000, 0)
		lastUsed := make(map[Key]time.Time)
		usedSince := func(k Key) (count int) {
			for other, at := range lastUsed {
				if other != k && !at.Before(lastUsed[k]) {
					count++
				}
			}
			return count
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k := NewKey(testEndpoint(rapid.IntRange(0, 30).Draw(t, "key")), testEndpoint(0))
				value := 1
				table.Put(now, k, &value)
				lastUsed[k] = now
			},
			"get": func(t *rapid.T) {
				k := NewKey(testEndpoint(rapid.IntRange(0, 30).Draw(t, "key")), testEndpoint(0))
				at, ok := lastUsed[k]
				found := table.Get(now, k) != nil
				switch {
				case found && !ok:
					t.Fatalf("%s is in the table but was not put, or was deleted", k)
				case found && now.Sub(at) >= 2*idleTimeout:
					t.Fatalf("%s is still in the table after %s without use", k, now.Sub(at))
				case !found && ok && now.Sub(at) < idleTimeout && usedSince(k) < maxFlows/2-1:
					t.Fatalf("%s was dropped after %s without use", k, now.Sub(at))
				}
				if found {
					lastUsed[k] = now
				}
			},
			"delete": func(t *rapid.T) {
				k := NewKey(testEndpoint(rapid.IntRange(0, 30).Draw(t, "key")), testEndpoint(0))
				table.Delete(k)
				delete(lastUsed, k)
			},
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second) },
			"": func(t *rapid.T) {
				if table.Len() > maxFlows {
					t.Fatalf("%d flows in the table, maximum %d", table.Len(), maxFlows)
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
		t.Error("the zero Configuration has an address")
	}
}
