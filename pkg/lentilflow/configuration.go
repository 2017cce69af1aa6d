package lentilflow

import (
	"iter"
	"maps"
	"time"
)

// Backend is a service that may take new flows of an address, and its share.
type Backend struct {
	Service string
	Weight  int
}

// Configuration says which services take the flows of which addresses. It is never changed once
// it is made. The zero Configuration has no address.
type Configuration struct {
	version     uint64
	routes      map[Endpoint][]Backend
	coldRate    map[string]float64
	idleTimeout time.Duration
}

// NewConfiguration returns the configuration with the given version. Flows without a packet for
// idle may be forgotten; zero is not known. coldRate is how many flows a second a cold copy of
// a service bears. Neither map may be changed afterwards.
func NewConfiguration(version uint64, routes map[Endpoint][]Backend, coldRate map[string]float64, idle time.Duration) Configuration {
	return Configuration{version: version, routes: routes, coldRate: coldRate, idleTimeout: idle}
}

// Version returns the version; later configurations have higher ones.
func (c Configuration) Version() uint64 { return c.version }

// Backends returns the services that take new flows of an address.
func (c Configuration) Backends(address Endpoint) []Backend { return c.routes[address] }

// All returns every address with its services.
func (c Configuration) All() iter.Seq2[Endpoint, []Backend] { return maps.All(c.routes) }

// RouteCount returns the number of addresses.
func (c Configuration) RouteCount() int { return len(c.routes) }

// ColdRate returns how many flows a second a cold copy of the service bears.
func (c Configuration) ColdRate(service string) float64 { return c.coldRate[service] }

// IdleTimeout returns after how long without a packet a flow may be forgotten.
func (c Configuration) IdleTimeout() time.Duration { return c.idleTimeout }
