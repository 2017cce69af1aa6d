// Package lentilsetting reads the settings of the processes. Settings are JSON
// and are checked whole before anything starts: every fault is named at once,
// with the path of its field, the reason and an example of a right form.
package lentilsetting

import (
	"net/netip"
	"net/url"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
)

const (
	// defaultStopGrace is how long a balancer forwards after a stop was asked for.
	defaultStopGrace = 30 * time.Second
	// defaultDrainLimit is how long an agent waits for what is open at a stop.
	defaultDrainLimit = 10 * time.Minute
)

// BalancerDoc is the written form of a balancer's settings.
type BalancerDoc struct {
	Name           string      `json:"name"`
	Domain         string      `json:"domain"`
	ListenAddress  string      `json:"listenAddress"`
	TunnelAddress  string      `json:"tunnelAddress"`
	ControlAddress string      `json:"controlAddress"`
	AdminAddress   string      `json:"adminAddress"`
	Platform       PlatformDoc `json:"platform"`
	Peers          []string    `json:"peers,omitempty"`
	Keys           []KeyDoc    `json:"keys"`
	StopGrace      string      `json:"stopGrace,omitempty"`
	Log            LogDoc      `json:"log,omitzero"`
}

// AgentDoc is the written form of an agent's settings.
type AgentDoc struct {
	Copy           string   `json:"copy"`
	Service        string   `json:"service"`
	Domain         string   `json:"domain"`
	TunnelAddress  string   `json:"tunnelAddress"`
	ControlAddress string   `json:"controlAddress"`
	AdminAddress   string   `json:"adminAddress"`
	Upstream       string   `json:"upstream"`
	Balancers      []string `json:"balancers"`
	Keys           []KeyDoc `json:"keys"`
	TLS            TLSDoc   `json:"tls"`
	DrainLimit     string   `json:"drainLimit,omitempty"`
	HandOff        string   `json:"handOff,omitempty"`
	Log            LogDoc   `json:"log,omitzero"`
}

// OperatorDoc is the written form of an operator's settings.
type OperatorDoc struct {
	Author    string      `json:"author,omitempty"`
	Platform  PlatformDoc `json:"platform"`
	Balancers []string    `json:"balancers"`
	Keys      []KeyDoc    `json:"keys"`
}

// PlatformDoc is the written form of how the platform is reached.
type PlatformDoc struct {
	URL       string `json:"url"`
	TokenFile string `json:"tokenFile,omitempty"`
}

// KeyDoc is the written form of a shared secret.
type KeyDoc struct {
	ID         uint8  `json:"id"`
	SecretFile string `json:"secretFile,omitempty"`
	Secret     string `json:"secret,omitempty"`
}

// TLSDoc is the written form of the certificate towards callers.
type TLSDoc struct {
	CertificateFile string `json:"certificateFile"`
	KeyFile         string `json:"keyFile"`
}

// LogDoc is the written form of what is logged.
type LogDoc struct {
	Level string `json:"level,omitempty"`
}

// commonSettings is what the settings of all roles hold.
type commonSettings struct {
	domain  string
	tunnel  netip.AddrPort
	control netip.AddrPort
	admin   netip.AddrPort
	keys    []Key
	level   lentilevent.Level
}

// Domain returns the name of the failure domain in which the process runs.
func (c commonSettings) Domain() string { return c.domain }

// TunnelAddress returns the IPv4 address and UDP port for packets of flows.
func (c commonSettings) TunnelAddress() netip.AddrPort { return c.tunnel }

// ControlAddress returns the address and TCP port for calls of other processes.
func (c commonSettings) ControlAddress() netip.AddrPort { return c.control }

// AdminAddress returns the address and TCP port of ready, live and metrics.
func (c commonSettings) AdminAddress() netip.AddrPort { return c.admin }

// Keys returns the shared secrets, the signing one first.
func (c commonSettings) Keys() []Key { return c.keys }

// LogLevel returns the least urgent level that is logged.
func (c commonSettings) LogLevel() lentilevent.Level { return c.level }

// Key is a shared secret.
type Key struct {
	id     uint8
	secret []byte
}

// ID returns the number of the secret.
func (k Key) ID() uint8 { return k.id }

// Secret returns the secret.
func (k Key) Secret() []byte { return k.secret }

// Balancer is the checked settings of a balancer.
type Balancer struct {
	commonSettings
	name      string
	listen    netip.Addr
	platform  Platform
	peers     []netip.AddrPort
	stopGrace time.Duration
}

// Name returns the name of the balancer.
func (b Balancer) Name() string { return b.name }

// ListenAddress returns the IP address on which packets of callers arrive.
func (b Balancer) ListenAddress() netip.Addr { return b.listen }

// Platform returns how the platform is reached.
func (b Balancer) Platform() Platform { return b.platform }

// Peers returns the control addresses of some other balancers.
func (b Balancer) Peers() []netip.AddrPort { return b.peers }

// StopGrace returns how long a graceful stop goes on forwarding.
func (b Balancer) StopGrace() time.Duration { return b.stopGrace }

// Platform is how the platform is reached.
type Platform struct {
	url   string
	token string
}

// URL returns the base URL of the object API.
func (p Platform) URL() string { return p.url }

// Token returns the bearer token, or "" if none is needed.
func (p Platform) Token() string { return p.token }

// Agent is the checked settings of an agent.
type Agent struct {
	commonSettings
	copy       string
	service    string
	upstream   *url.URL
	balancers  []netip.AddrPort
	tls        TLSDoc
	drainLimit time.Duration
	handOff    bool
}

// Copy returns the name of the copy beside the agent.
func (a Agent) Copy() string { return a.copy }

// Service returns the name of the copy's service.
func (a Agent) Service() string { return a.service }

// Upstream returns the URL of the copy.
func (a Agent) Upstream() *url.URL { return a.upstream }

// Balancers returns the control addresses of some balancers.
func (a Agent) Balancers() []netip.AddrPort { return a.balancers }

// CertificateFile returns the name of the certificate chain's file.
func (a Agent) CertificateFile() string { return a.tls.CertificateFile }

// KeyFile returns the name of the private key's file.
func (a Agent) KeyFile() string { return a.tls.KeyFile }

// DrainLimit returns how long a graceful stop waits for what is open.
func (a Agent) DrainLimit() time.Duration { return a.drainLimit }

// HandOff reports whether the agent passes new flows, and requests that have not
// begun, to peers with more room.
func (a Agent) HandOff() bool { return a.handOff }

// Operator is the checked settings of an operator's commands.
type Operator struct {
	author    string
	platform  Platform
	balancers []netip.AddrPort
	keys      []Key
}

// Author returns who answers for the notes that commands make themselves, or "".
func (o Operator) Author() string { return o.author }

// Platform returns how the platform is reached.
func (o Operator) Platform() Platform { return o.platform }

// Balancers returns the control addresses of some balancers.
func (o Operator) Balancers() []netip.AddrPort { return o.balancers }

// Keys returns the shared secrets, the signing one first.
func (o Operator) Keys() []Key { return o.keys }
