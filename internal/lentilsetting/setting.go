// Package lentilsetting reads and validates the settings of the processes. Settings
// are JSON. They are validated completely before a process starts: the error lists
// every invalid field with its path, the reason and a valid example.
package lentilsetting

import (
	"net/netip"
	"net/url"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
)

const (
	// defaultStopGrace is how long a balancer keeps forwarding packets after a stop request.
	defaultStopGrace = 30 * time.Second
	// defaultDrainLimit is how long a stopping agent waits for open flows and requests.
	defaultDrainLimit = 10 * time.Minute
)

// BalancerDoc is the JSON form of a balancer's settings.
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

// AgentDoc is the JSON form of an agent's settings.
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
	Hedge          HedgeDoc `json:"hedge,omitzero"`
	Log            LogDoc   `json:"log,omitzero"`
}

// OperatorDoc is the JSON form of the settings of an operator's commands.
type OperatorDoc struct {
	Author    string      `json:"author,omitempty"`
	Platform  PlatformDoc `json:"platform"`
	Balancers []string    `json:"balancers"`
	Keys      []KeyDoc    `json:"keys"`
}

// PlatformDoc is the JSON form of the platform's URL and credentials.
type PlatformDoc struct {
	URL       string `json:"url"`
	TokenFile string `json:"tokenFile,omitempty"`
}

// KeyDoc is the JSON form of a shared secret.
type KeyDoc struct {
	ID         uint8  `json:"id"`
	SecretFile string `json:"secretFile,omitempty"`
	Secret     string `json:"secret,omitempty"`
}

// TLSDoc is the JSON form of the certificate that is presented to callers.
type TLSDoc struct {
	CertificateFile string `json:"certificateFile"`
	KeyFile         string `json:"keyFile"`
}

// LogDoc is the JSON form of the log settings.
type LogDoc struct {
	Level string `json:"level,omitempty"`
}

// commonSettings are the settings that balancers and agents share.
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

// TunnelAddress returns the IPv4 address and UDP port for packets between balancers and agents.
func (c commonSettings) TunnelAddress() netip.AddrPort { return c.tunnel }

// ControlAddress returns the address and TCP port for control calls from other processes.
func (c commonSettings) ControlAddress() netip.AddrPort { return c.control }

// AdminAddress returns the address and TCP port of /ready, /live and /metrics.
func (c commonSettings) AdminAddress() netip.AddrPort { return c.admin }

// Keys returns the shared secrets. The first one signs.
func (c commonSettings) Keys() []Key { return c.keys }

// LogLevel returns the minimum level of logged events.
func (c commonSettings) LogLevel() lentilevent.Level { return c.level }

// Key is a shared secret.
type Key struct {
	id     uint8
	secret []byte
}

// ID returns the number that identifies the secret.
func (k Key) ID() uint8 { return k.id }

// Secret returns the decoded bytes of the secret.
func (k Key) Secret() []byte { return k.secret }

// Balancer holds the validated settings of a balancer.
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

// ListenAddress returns the IP address at which packets of callers arrive.
func (b Balancer) ListenAddress() netip.Addr { return b.listen }

// Platform returns the platform's URL and credentials.
func (b Balancer) Platform() Platform { return b.platform }

// Peers returns the control addresses of some other balancers.
func (b Balancer) Peers() []netip.AddrPort { return b.peers }

// StopGrace returns how long the balancer keeps forwarding packets during a graceful stop.
func (b Balancer) StopGrace() time.Duration { return b.stopGrace }

// Platform holds the URL and credentials of the platform's object API.
type Platform struct {
	url   string
	token string
}

// URL returns the base URL of the object API.
func (p Platform) URL() string { return p.url }

// Token returns the bearer token, or "" if none is configured.
func (p Platform) Token() string { return p.token }

// Agent holds the validated settings of an agent.
type Agent struct {
	commonSettings
	copy       string
	service    string
	upstream   *url.URL
	balancers  []netip.AddrPort
	tls        TLSDoc
	drainLimit time.Duration
	handOff    bool
	hedge      int
}

// Copy returns the name of the copy that the agent serves.
func (a Agent) Copy() string { return a.copy }

// Service returns the name of the service that the copy belongs to.
func (a Agent) Service() string { return a.service }

// Upstream returns the URL of the copy.
func (a Agent) Upstream() *url.URL { return a.upstream }

// Balancers returns the control addresses of some balancers.
func (a Agent) Balancers() []netip.AddrPort { return a.balancers }

// CertificateFile returns the path of the certificate chain.
func (a Agent) CertificateFile() string { return a.tls.CertificateFile }

// KeyFile returns the path of the certificate's private key.
func (a Agent) KeyFile() string { return a.tls.KeyFile }

// DrainLimit returns how long a graceful stop waits for open flows and requests.
func (a Agent) DrainLimit() time.Duration { return a.drainLimit }

// HandOff reports whether the agent passes new flows, and requests that have not
// started, to peers with more free capacity.
func (a Agent) HandOff() bool { return a.handOff }

// HedgePercent returns the highest number of extra attempts per hundred attempts, or zero.
func (a Agent) HedgePercent() int { return a.hedge }

// Operator holds the validated settings of an operator's commands.
type Operator struct {
	author    string
	platform  Platform
	balancers []netip.AddrPort
	keys      []Key
}

// Author returns the author of the release notes that commands create, or "" if none is configured.
func (o Operator) Author() string { return o.author }

// Platform returns the platform's URL and credentials.
func (o Operator) Platform() Platform { return o.platform }

// Balancers returns the control addresses of some balancers.
func (o Operator) Balancers() []netip.AddrPort { return o.balancers }

// Keys returns the shared secrets. The first one signs.
func (o Operator) Keys() []Key { return o.keys }
