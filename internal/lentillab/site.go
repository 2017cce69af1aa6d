package lentillab

import (
	"fmt"
	"net/netip"
	"time"

	"lentilstair.example/lentilstair/internal/lentilsetting"
)

// Site describes the deployment that a lab runs.
type Site struct {
	Region    string
	Domains   []string
	Services  []Service
	Balancers int
	// StopGrace is how long a balancer keeps forwarding after a request to stop.
	StopGrace time.Duration
	// DrainLimit is how long an agent waits for open flows after a request to stop.
	DrainLimit time.Duration
	// LogLevel is the log level of balancers and agents.
	LogLevel string
	// HandOff is the agents' setting handOff; empty selects the default.
	HandOff string
}

// Service describes a service and its copies.
type Service struct {
	Name string
	// Port is the port of the service's address.
	Port   uint16
	Copies int
	// Slots is the number of requests that each warm copy processes at once. Connections is
	// the maximum number of streams open at once at each copy.
	Slots       int
	Connections int
	// WorkDuration is how long a warm copy takes to process a request.
	WorkDuration time.Duration
	// ColdDuration is how long a copy stays cold after its start.
	ColdDuration time.Duration
}

// Ports of the processes, each on the address of its VM.
const (
	adminPort    = 9000
	controlPort  = 9001
	tunnelPort   = 9002
	upstreamPort = 8080
	platformPort = 8080
	fabricPort   = 9000
)

// Kinds of VMs. The kind is the third byte of a VM's address.
const (
	infrastructureVMs byte = iota
	balancerVMs
	upstreamVMs
)

// Consorzio returns a site of the size that the operators of Consorzio run today: four
// failure domains and two services with eleven copies in total.
func Consorzio() Site {
	return Site{
		Region:  "sicilia",
		Domains: []string{"palermo", "catania", "messina", "siracusa"},
		Services: []Service{
			{Name: "iscrizioni", Port: 7443, Copies: 7, Slots: 2, Connections: 2000, WorkDuration: 40 * time.Millisecond, ColdDuration: time.Second},
			{Name: "catalogo", Port: 7444, Copies: 4, Slots: 2, Connections: 2000, WorkDuration: 40 * time.Millisecond, ColdDuration: time.Second},
		},
		Balancers:  4,
		StopGrace:  2 * time.Second,
		DrainLimit: time.Minute,
		LogLevel:   "info",
	}
}

// Sala returns a site of the size that the operators of Dostępna Sala run today: three
// failure domains and two services with ten copies in total.
func Sala() Site {
	return Site{
		Region:  "pl-central",
		Domains: []string{"pl-central-a", "pl-central-b", "pl-central-c"},
		Services: []Service{
			{Name: "sala-live", Port: 7443, Copies: 7, Slots: 4, Connections: 2000, WorkDuration: 40 * time.Millisecond, ColdDuration: time.Second},
			{Name: "sala-docs", Port: 7444, Copies: 3, Slots: 4, Connections: 2000, WorkDuration: 40 * time.Millisecond, ColdDuration: time.Second},
		},
		Balancers:  3,
		StopGrace:  2 * time.Second,
		DrainLimit: time.Minute,
		LogLevel:   "info",
	}
}

// Balancer is a balancer of a running site.
type Balancer struct {
	name         string
	ip           netip.Addr
	domain       string
	settingsFile string
	process      *Process
}

// Name returns the balancer's name.
func (b *Balancer) Name() string { return b.name }

// IP returns the address of the balancer's VM.
func (b *Balancer) IP() netip.Addr { return b.ip }

// Process returns the balancer's most recently started process.
func (b *Balancer) Process() *Process { return b.process }

// AdminURL returns the URL of the admin endpoint.
func (b *Balancer) AdminURL() string { return httpURL(b.ip, adminPort) }

// ControlAddress returns the address at which the balancer serves control calls.
func (b *Balancer) ControlAddress() netip.AddrPort { return netip.AddrPortFrom(b.ip, controlPort) }

// Copy is a copy of a running site, together with the agent beside it.
type Copy struct {
	name         string
	service      Service
	domain       string
	ip           netip.Addr
	settingsFile string
	upstream     *Process
	agent        *Process
}

// Name returns the copy's name.
func (c *Copy) Name() string { return c.name }

// Service returns the name of the copy's service.
func (c *Copy) Service() string { return c.service.Name }

// Domain returns the name of the copy's failure domain.
func (c *Copy) Domain() string { return c.domain }

// Agent returns the agent's process.
func (c *Copy) Agent() *Process { return c.agent }

// Upstream returns the copy's process.
func (c *Copy) Upstream() *Process { return c.upstream }

// AdminURL returns the URL of the agent's admin endpoint.
func (c *Copy) AdminURL() string { return httpURL(c.ip, adminPort) }

// UpstreamURL returns the URL of the copy's own endpoint.
func (c *Copy) UpstreamURL() string { return httpURL(c.ip, upstreamPort) }

func httpURL(ip netip.Addr, port uint16) string {
	return "http://" + netip.AddrPortFrom(ip, port).String()
}

func hostPort(ip netip.Addr, port uint16) string { return netip.AddrPortFrom(ip, port).String() }

// balancerSettings returns the content of a balancer's settings file.
func (r *RunningSite) balancerSettings(b *Balancer) lentilsetting.BalancerDoc {
	doc := lentilsetting.BalancerDoc{
		Name:           b.name,
		Domain:         b.domain,
		ListenAddress:  b.ip.String(),
		TunnelAddress:  hostPort(b.ip, tunnelPort),
		ControlAddress: hostPort(b.ip, controlPort),
		AdminAddress:   hostPort(b.ip, adminPort),
		Platform:       lentilsetting.PlatformDoc{URL: r.PlatformURL()},
		Keys:           r.keys(),
		StopGrace:      r.site.StopGrace.String(),
		Log:            lentilsetting.LogDoc{Level: r.site.LogLevel},
	}
	for _, peer := range r.balancers {
		if peer != b {
			doc.Peers = append(doc.Peers, peer.ControlAddress().String())
		}
	}
	return doc
}

// agentSettings returns the content of the settings file of a copy's agent.
func (r *RunningSite) agentSettings(c *Copy) lentilsetting.AgentDoc {
	doc := lentilsetting.AgentDoc{
		Copy:           c.name,
		Service:        c.service.Name,
		Domain:         c.domain,
		TunnelAddress:  hostPort(c.ip, tunnelPort),
		ControlAddress: hostPort(c.ip, controlPort),
		AdminAddress:   hostPort(c.ip, adminPort),
		Upstream:       c.UpstreamURL(),
		Keys:           r.keys(),
		TLS:            lentilsetting.TLSDoc{CertificateFile: certificateFile, KeyFile: keyFile},
		DrainLimit:     r.site.DrainLimit.String(),
		HandOff:        r.site.HandOff,
		Log:            lentilsetting.LogDoc{Level: r.site.LogLevel},
	}
	for _, b := range r.balancers {
		doc.Balancers = append(doc.Balancers, b.ControlAddress().String())
	}
	return doc
}

// operatorSettings returns the content of the settings file for operators' commands.
func (r *RunningSite) operatorSettings() lentilsetting.OperatorDoc {
	doc := lentilsetting.OperatorDoc{
		Author:   author,
		Platform: lentilsetting.PlatformDoc{URL: r.PlatformURL()},
		Keys:     r.keys(),
	}
	for _, b := range r.balancers {
		doc.Balancers = append(doc.Balancers, b.ControlAddress().String())
	}
	return doc
}

func (r *RunningSite) keys() []lentilsetting.KeyDoc {
	return []lentilsetting.KeyDoc{{ID: 1, SecretFile: secretFile}}
}

// domainOf returns the failure domain of the VM with the given number. VMs are spread
// over the failure domains in rotation.
func (s Site) domainOf(number int) string { return s.Domains[number%len(s.Domains)] }

// copyName returns the name of a service's copy by its number. Numbers start at 1.
func copyName(service string, number int) string { return fmt.Sprintf("%s-%d", service, number) }
