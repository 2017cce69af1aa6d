package lentilflow

import (
	"iter"
	"maps"
	"time"
)

// Backend is a service that accepts new flows of an address, with its relative weight.
type Backend struct {
	Service string
	Weight  int
}

// Configuration maps addresses to the services that accept their flows. It is immutable.
// The zero Configuration has no addresses.
type Configuration struct {
	version     uint64
	routes      map[Endpoint][]Backend
	coldRate    map[string]float64
	idleTimeout time.Duration
}

// NewConfiguration returns the configuration with the given version. A flow without a packet for
// idleTimeout may be forgotten; zero means that the timeout isn't known. coldRate holds the number of
// new flows per second that a cold copy of each service can accept. The caller must not modify the
// maps afterwards.
func NewConfiguration(version uint64, routes map[Endpoint][]Backend, coldRate map[string]float64, idleTimeout time.Duration) Configuration {
	return Configuration{version: version, routes: routes, coldRate: coldRate, idleTimeout: idleTimeout}
}

// Version returns the version. Later configurations have higher versions.
func (c Configuration) Version() uint64 { return c.version }

// Backends returns the services that accept new flows of an address.
func (c Configuration) Backends(address Endpoint) []Backend { return c.routes[address] }

// All iterates over all addresses and their services.
func (c Configuration) All() iter.Seq2[Endpoint, []Backend] { return maps.All(c.routes) }

// RouteCount returns the number of addresses.
func (c Configuration) RouteCount() int { return len(c.routes) }

// ColdRate returns the number of new flows per second that a cold copy of the service can accept.
func (c Configuration) ColdRate(service string) float64 { return c.coldRate[service] }

// IdleTimeout returns the time without packets after which a flow may be forgotten; zero means that it isn't known.
func (c Configuration) IdleTimeout() time.Duration { return c.idleTimeout }
