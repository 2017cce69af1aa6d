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

// Terms are what a route asks for its requests. The zero Terms ask for nothing.
type Terms struct {
	// Target is the latency objective of requests; zero means none.
	Target time.Duration
	// Priority orders requests that compete for an upstream; 0 comes first.
	Priority uint8
	// Repeatable is set if a request may be repeated after its flow has ended without an answer.
	Repeatable bool
}

// Configuration maps addresses to the services that accept their flows. It is immutable.
// The zero Configuration has no addresses.
type Configuration struct {
	version     uint64
	routes      map[Endpoint][]Backend
	terms       map[Endpoint]Terms
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

// WithTerms returns the configuration with the terms of its addresses. The caller must not modify terms
// afterwards.
func (c Configuration) WithTerms(terms map[Endpoint]Terms) Configuration {
	c.terms = terms
	return c
}

// Terms returns what the route of an address asks for.
func (c Configuration) Terms(address Endpoint) Terms { return c.terms[address] }

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
