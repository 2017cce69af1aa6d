package lentillab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"github.com/joomcode/errorx"
)

// RunningSite is a site whose processes run.
type RunningSite struct {
	lab         *Lab
	site        Site
	platform    *Process
	fabric      *Process
	balancers   []*Balancer
	copies      []*Copy
	adminClient adminClient
	// operatorCommands counts the commands of operators, to name them.
	operatorCommands int
}

// StartSite starts a site and waits until it serves.
func (l *Lab) StartSite(ctx context.Context, site Site) (running *RunningSite, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "start the site")
		}
	}()
	r := &RunningSite{lab: l, site: site}
	if err = l.writeCredentials(); err != nil {
		return nil, err
	}
	if err = r.startPlatform(ctx); err != nil {
		return nil, err
	}
	r.assignVMs()
	for _, b := range r.balancers {
		if err = r.StartBalancer(b); err != nil {
			return nil, err
		}
	}
	for _, c := range r.copies {
		if err = r.StartCopy(c); err != nil {
			return nil, err
		}
	}
	if err = r.startFabric(); err != nil {
		return nil, err
	}
	for _, b := range r.balancers {
		if err = r.awaitURL(ctx, b.name, b.AdminURL()+"/live"); err != nil {
			return nil, err
		}
	}
	if _, err = r.ApplyNote(ctx, r.initialNote()); err != nil {
		return nil, err
	}
	return r, r.AwaitReady(ctx)
}

// assignVMs names the balancers and copies of the site.
func (r *RunningSite) assignVMs() {
	for i := range r.site.Balancers {
		r.balancers = append(r.balancers, &Balancer{
			name:   fmt.Sprintf("entry-%d", i+1),
			ip:     r.lab.IP(balancerVMs, byte(i+1)),
			domain: r.site.domainOf(i),
		})
	}
	for _, service := range r.site.Services {
		for i := range service.Copies {
			r.AddCopy(service.Name, copyName(service.Name, i+1), r.site.domainOf(i))
		}
	}
}

// AddCopy gives a further copy a VM. StartCopy starts its processes.
func (r *RunningSite) AddCopy(service, name, domain string) *Copy {
	i := slices.IndexFunc(r.site.Services, func(s Service) bool { return s.Name == service })
	c := &Copy{name: name, service: r.site.Services[i], domain: domain, ip: r.lab.IP(upstreamVMs, byte(len(r.copies)+1))}
	r.copies = append(r.copies, c)
	return c
}

// Lab returns the lab in which the site runs.
func (r *RunningSite) Lab() *Lab { return r.lab }

// Site returns the description of the site.
func (r *RunningSite) Site() Site { return r.site }

// Balancers returns the balancers.
func (r *RunningSite) Balancers() []*Balancer { return r.balancers }

// Copies returns the copies that were ever planned.
func (r *RunningSite) Copies() []*Copy { return r.copies }

// PlatformURL returns the URL of the platform's object API.
func (r *RunningSite) PlatformURL() string {
	return httpURL(r.lab.IP(infrastructureVMs, 1), platformPort)
}

// FabricAdminURL returns the URL of the fabric's faults and counts.
func (r *RunningSite) FabricAdminURL() string {
	return httpURL(r.lab.IP(infrastructureVMs, 2), fabricPort)
}

// ServiceAddress returns the address of a service.
func (r *RunningSite) ServiceAddress(service Service) netip.AddrPort {
	return netip.AddrPortFrom(r.lab.IP(infrastructureVMs, 2), service.Port)
}

func (r *RunningSite) startPlatform(ctx context.Context) (err error) {
	listen := hostPort(r.lab.IP(infrastructureVMs, 1), platformPort)
	if r.platform, err = r.lab.StartLentilstand("platform", "platform", "--listen", listen); err != nil {
		return err
	}
	return r.awaitURL(ctx, "the platform", r.PlatformURL()+"/admin/calls")
}

func (r *RunningSite) startFabric() (err error) {
	args := []string{"fabric", "--admin", hostPort(r.lab.IP(infrastructureVMs, 2), fabricPort)}
	for _, service := range r.site.Services {
		args = append(args, "--service", r.ServiceAddress(service).String())
	}
	for _, b := range r.balancers {
		args = append(args, "--balancer", b.ip.String()+"="+b.AdminURL()+"/ready")
	}
	r.fabric, err = r.lab.StartLentilstand("fabric", args...)
	return err
}

// StartBalancer starts a balancer, for the first time or anew.
func (r *RunningSite) StartBalancer(b *Balancer) (err error) {
	if b.settingsFile, err = r.writeJSON(b.name+".json", r.balancerSettings(b)); err != nil {
		return err
	}
	b.process, err = r.lab.StartLentilstair(b.name, "balancer", "--settings", b.settingsFile)
	return err
}

// StartCopy starts a copy and the agent beside it.
func (r *RunningSite) StartCopy(c *Copy) (err error) {
	if err = r.StartUpstream(c); err != nil {
		return err
	}
	return r.StartAgent(c)
}

// StartUpstream starts a copy, for the first time or anew.
func (r *RunningSite) StartUpstream(c *Copy) (err error) {
	c.upstream, err = r.lab.StartLentilstand(c.name, "upstream",
		"--listen", hostPort(c.ip, upstreamPort), "--name", c.name, "--slots", strconv.Itoa(c.service.Slots),
		"--connections", strconv.Itoa(c.service.Connections), "--work", c.service.WorkDuration.String(),
		"--cold", c.service.ColdDuration.String(), "--journal", r.JournalFile(c))
	return err
}

// StartAgent starts the agent beside a copy, for the first time or anew.
func (r *RunningSite) StartAgent(c *Copy) (err error) {
	if c.settingsFile, err = r.writeJSON("agent-"+c.name+".json", r.agentSettings(c)); err != nil {
		return err
	}
	c.agent, err = r.lab.StartLentilstair("agent-"+c.name, "agent", "--settings", c.settingsFile)
	return err
}

// JournalFile returns the file in which a copy notes what it ran that may not be repeated.
func (r *RunningSite) JournalFile(c *Copy) string { return r.lab.Path("journal-" + c.name) }

// AwaitReady waits until every process of the site that runs takes new work.
func (r *RunningSite) AwaitReady(ctx context.Context) (err error) {
	for _, b := range r.balancers {
		if err = r.awaitURL(ctx, b.name, b.AdminURL()+"/ready"); err != nil {
			return err
		}
	}
	for _, c := range r.copies {
		if c.agent == nil {
			continue
		}
		if err = r.awaitURL(ctx, c.name, c.AdminURL()+"/ready"); err != nil {
			return err
		}
	}
	return r.awaitRecords(ctx)
}

// awaitRecords waits until every balancer knows every copy that runs.
func (r *RunningSite) awaitRecords(ctx context.Context) error {
	wanted := uint64(0)
	for _, c := range r.copies {
		if c.agent != nil && !c.agent.Exited() {
			wanted++
		}
	}
	for _, b := range r.balancers {
		err := Poll(ctx, func() (ok bool, err error) {
			text, err := r.GetText(ctx, b.AdminURL()+"/metrics")
			return err == nil && SumMetric(text, "lentilstair_records_known") >= wanted, nil
		})
		if err != nil {
			return errorx.TimeoutElapsed.New("%s does not know all %d copies", b.name, wanted)
		}
	}
	return nil
}

// AwaitCopy waits until the agent beside a copy takes new work.
func (r *RunningSite) AwaitCopy(ctx context.Context, c *Copy) error {
	return r.awaitURL(ctx, c.name, c.AdminURL()+"/ready")
}

// AwaitBalancer waits until a balancer takes new work.
func (r *RunningSite) AwaitBalancer(ctx context.Context, b *Balancer) error {
	return r.awaitURL(ctx, b.name, b.AdminURL()+"/ready")
}

func (r *RunningSite) writeJSON(name string, doc any) (path string, err error) {
	data, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return "", err
	}
	return r.lab.WriteFile(name, append(data, '\n'))
}
