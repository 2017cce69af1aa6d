package lentilbalancer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

// listenAddress is an address that other tests don't use, so that they don't take its ports.
var listenAddress = netip.MustParseAddr("127.15.9.2")

// freePort returns a UDP port of listenAddress that is free.
func freePort(t *testing.T) uint16 {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(listenAddress, 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}

func testBalancer(t *testing.T, gracePeriod time.Duration) *Balancer {
	t.Helper()
	ring, err := lentilkey.New([]lentilkey.KeyDoc{{ID: 1, Secret: []byte("a secret for the balancer's tests")}})
	if err != nil {
		t.Fatal(err)
	}
	balancer, err := New(Options{ListenAddress: listenAddress, TunnelAddress: netip.AddrPortFrom(listenAddress, 0), Ring: ring, GracePeriod: gracePeriod})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(balancer.Close)
	return balancer
}

// testConfiguration returns a configuration with the ports of the services by number.
func testConfiguration(t *testing.T, version uint64, ports map[lentilid.Service]uint16) lentilconfig.Configuration {
	t.Helper()
	document := lentilconfig.Document{Version: version, NextService: 3}
	for _, number := range []lentilid.Service{1, 2} {
		if port := ports[number]; port != 0 {
			document.Services = append(document.Services, lentilconfig.ServiceDoc{
				Name: []string{"", "one", "two"}[number], Number: number, Address: netip.AddrPortFrom(listenAddress, port), Slots: 1, Connections: 1,
			})
		}
	}
	configuration, err := lentilconfig.New(document)
	if err != nil {
		t.Fatal(err)
	}
	return configuration
}

// TestServiceTakesOverAddress guards against a service that isn't served, and whose packets go to the earlier service, because a
// configuration gives it the address of another one.
func TestServiceTakesOverAddress(t *testing.T) {
	first, second := freePort(t), freePort(t)
	for _, c := range []struct {
		name string
		// versions have the ports of the services by number.
		versions []map[lentilid.Service]uint16
	}{
		{"of a removed service", []map[lentilid.Service]uint16{{1: first}, {2: first}}},
		{"of a service that gets its own", []map[lentilid.Service]uint16{{1: first, 2: second}, {1: second, 2: first}}},
		{"of a service that gets another one", []map[lentilid.Service]uint16{{1: first}, {1: second, 2: first}}},
		{"of a service that was removed before", []map[lentilid.Service]uint16{{1: first, 2: second}, {2: second}, {2: first}}},
		{"and gives it back", []map[lentilid.Service]uint16{{1: first}, {2: first}, {1: first}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			balancer := testBalancer(t, time.Minute)
			for version, ports := range c.versions {
				if err := balancer.Configure(testConfiguration(t, uint64(version+1), ports)); err != nil {
					t.Errorf("version %d: %v", version+1, err)
				}
				for number, port := range ports {
					if s := (*balancer.sockets.Load())[number]; s == nil || s.service != number || s.address.Port() != port {
						t.Errorf("version %d: service %d has no socket of its own at its address", version+1, number)
					}
				}
			}
		})
	}
}

// TestServiceTakesOverAddressAsGracePeriodEnds guards against a service that isn't served, because the earlier service's socket is
// just being closed.
func TestServiceTakesOverAddressAsGracePeriodEnds(t *testing.T) {
	port := freePort(t)
	balancer := testBalancer(t, time.Microsecond)
	for version := range uint64(1000) {
		ports := map[lentilid.Service]uint16{}
		if version%2 == 1 {
			ports[lentilid.Service(1+version/2%2)] = port
		}
		if err := balancer.Configure(testConfiguration(t, version+1, ports)); err != nil {
			t.Fatalf("version %d: %v", version+1, err)
		}
	}
}
