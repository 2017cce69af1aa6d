package lentilagentcommand

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lentilstair.example/lentilstair/internal/lentilagent"
	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilnode"
	"lentilstair.example/lentilstair/internal/lentilsetting"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// leaveTimeout limits how long a stopping agent waits until a balancer acknowledges
// that it leaves.
const leaveTimeout = 2 * time.Second

// process connects the parts of an agent process. control receives the
// configuration and the records of the peers, and agent serves flows and requests.
// agent is created when the first configuration that lists the copy arrives, because
// it needs the numbers of the copy's service and failure domain.
type process struct {
	settings    lentilsetting.Agent
	common      *lentilnode.Runtime
	control     *lentilcontrol.Agent
	incarnation lentilid.Incarnation
	// started is closed once agent is set. startErrors holds the first error of
	// creating it.
	started     chan struct{}
	startErrors chan error

	mu           sync.Mutex
	agent        *lentilagent.Agent // nil before it is created
	loggedPhase  lentilrecord.Phase
	copyUnlisted bool // the latest configuration lacks the copy; only set while agent is nil
	stopping     bool
}

func newProcess(settings lentilsetting.Agent, common *lentilnode.Runtime) (p *process) {
	p = &process{settings: settings, common: common, started: make(chan struct{}), startErrors: make(chan error, 1)}
	// In a tunnel header, zero in the low 24 bits stands for any incarnation.
	for p.incarnation.Short() == 0 {
		p.incarnation = lentilid.Incarnation(rand.Uint64())
	}
	p.control = &lentilcontrol.Agent{
		Seeds:           settings.Balancers(),
		ClientTLS:       common.ClientTLS,
		OnConfiguration: p.applyConfiguration,
		OnPeers:         p.setPeers,
	}
	return p
}

// run serves until a graceful stop is complete. A graceful stop begins when the
// context graceful ends. When forced ends, run returns at once.
func (p *process) run(graceful, forced context.Context) (err error) {
	controlCtx, stopControl := context.WithCancel(context.WithoutCancel(forced))
	defer stopControl()
	// A record without a service only requests the configuration from the balancers.
	p.control.Announce(lentilrecord.Doc{
		Owner:   lentilrecord.Owner{Copy: p.settings.Copy(), Incarnation: p.incarnation},
		Tunnel:  p.settings.TunnelAddress(),
		Control: p.settings.ControlAddress(),
		Phase:   lentilrecord.Warming,
	})
	p.control.Start(controlCtx)
	p.exportMetrics()
	p.common.Serve(p.readiness, p.logPhaseChange)
	select {
	case <-p.started:
	case err = <-p.startErrors:
		return err
	case <-graceful.Done():
		return nil
	}
	context.AfterFunc(graceful, p.markStopping)
	p.agent.Run(graceful, forced)
	leaveCtx, cancel := context.WithTimeout(forced, leaveTimeout)
	defer cancel()
	p.control.Leave(leaveCtx)
	return nil
}

func (p *process) markStopping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// readiness reports whether the copy accepts new work, as far as the agent can tell, and
// the reason if it doesn't.
func (p *process) readiness() lentilmetric.Readiness {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.stopping:
		return lentilmetric.Readiness{Reason: "stopping"}
	case p.copyUnlisted:
		return lentilmetric.Readiness{Reason: "the copy is not in the configuration"}
	case p.agent == nil:
		return lentilmetric.Readiness{Reason: "no configuration yet"}
	case p.agent.Draining():
		return lentilmetric.Readiness{Reason: "draining"}
	default:
		return lentilmetric.Readiness{Ready: true}
	}
}

// applyConfiguration puts a configuration in force. It creates the agent first if the
// agent doesn't exist yet and the configuration lists the copy.
func (p *process) applyConfiguration(configuration lentilconfig.Configuration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.agent == nil && !p.startAgent(configuration) {
		return
	}
	p.agent.Configure(configuration)
	p.common.Logger.Write(lentilevent.ConfigurationInForce,
		lentilevent.Uint("version", configuration.Version()), lentilevent.Str("noteId", configuration.NoteID()))
}

// startAgent creates the agent if the configuration lists the copy with the service and
// failure domain in the settings, and reports whether it did. An error goes to
// startErrors.
func (p *process) startAgent(configuration lentilconfig.Configuration) (ok bool) {
	entry := configuration.Copy(p.settings.Copy())
	if entry == nil || !p.matchesSettings(configuration, entry) {
		p.copyUnlisted = true
		p.common.Logger.Write(lentilevent.CopyUnlisted,
			lentilevent.Str("copy", p.settings.Copy()), lentilevent.Str("service", p.settings.Service()),
			lentilevent.Str("domain", p.settings.Domain()), lentilevent.Uint("version", configuration.Version()))
		return false
	}
	p.copyUnlisted = false
	agent, err := lentilagent.New(lentilagent.Options{
		Copy:            p.settings.Copy(),
		Service:         entry.Service(),
		Domain:          entry.Domain(),
		Incarnation:     p.incarnation,
		Tunnel:          p.settings.TunnelAddress(),
		Control:         p.settings.ControlAddress(),
		Upstream:        p.settings.Upstream(),
		CertificateFile: p.settings.CertificateFile(),
		KeyFile:         p.settings.KeyFile(),
		Ring:            p.common.Ring,
		DrainLimit:      p.settings.DrainLimit(),
		DisableHandOff:  !p.settings.HandOff(),
		HedgePercent:    p.settings.HedgePercent(),
		OnHedge:         p.logHedge,
		Announce:        p.control.Announce,
		OnCertificate:   p.logCertificate,
	})
	if err != nil {
		select {
		case p.startErrors <- err:
		default:
		}
		return false
	}
	p.agent = agent
	close(p.started)
	return true
}

// matchesSettings reports whether the copy's entry in the configuration has the service
// and failure domain in the settings.
func (p *process) matchesSettings(configuration lentilconfig.Configuration, entry *lentilconfig.Copy) bool {
	service, domain := configuration.Service(entry.Service()), configuration.Domain(entry.Domain())
	return service != nil && service.Name() == p.settings.Service() && domain != nil && domain.Name() == p.settings.Domain()
}

// setPeers passes the records of the service's other agents to the agent.
func (p *process) setPeers(records []lentilrecord.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.agent != nil {
		p.agent.SetPeers(records)
	}
}

// logCertificate logs that changed certificate files were loaded, or why they were rejected.
func (p *process) logCertificate(err error) {
	file := lentilevent.Str("file", p.settings.CertificateFile())
	if err != nil {
		p.common.Logger.Write(lentilevent.CertificateRefused, file, lentilevent.Err(err))
		return
	}
	p.common.Logger.Write(lentilevent.CertificateLoaded, file)
}
