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

// leaveTimeout bounds how long an agent that ends waits until a balancer knows.
const leaveTimeout = 2 * time.Second

// process joins the parts of an agent: control brings the configuration and the
// peers, and the shell serves. The shell starts once the configuration has said by
// which numbers the copy's service and failure domain go.
type process struct {
	settings    lentilsetting.Agent
	common      *lentilnode.Runtime
	control     *lentilcontrol.Agent
	incarnation lentilid.Incarnation
	started     chan struct{}
	startErrors chan error

	mu           sync.Mutex
	agent        *lentilagent.Agent
	loggedPhase  lentilrecord.Phase
	copyUnlisted bool
	stopping     bool
}

func newProcess(settings lentilsetting.Agent, common *lentilnode.Runtime) (r *process) {
	r = &process{settings: settings, common: common, started: make(chan struct{}), startErrors: make(chan error, 1)}
	for r.incarnation.Short() == 0 {
		r.incarnation = lentilid.Incarnation(rand.Uint64())
	}
	r.control = &lentilcontrol.Agent{
		Seeds:           settings.Balancers(),
		ClientTLS:       common.ClientTLS,
		OnConfiguration: r.applyConfiguration,
		OnPeers:         r.setPeers,
	}
	return r
}

// run serves until a graceful stop has ended, or at once when forced ends.
func (r *process) run(graceful, forced context.Context) (err error) {
	controlled, stop := context.WithCancel(context.WithoutCancel(forced))
	defer stop()
	// Without a service the record only asks balancers for the configuration.
	r.control.Announce(lentilrecord.Doc{
		Owner:   lentilrecord.Owner{Copy: r.settings.Copy(), Incarnation: r.incarnation},
		Tunnel:  r.settings.TunnelAddress(),
		Control: r.settings.ControlAddress(),
		Phase:   lentilrecord.Warming,
	})
	r.control.Start(controlled)
	r.exportMetrics()
	r.common.Serve(r.readiness, r.logPhaseChange)
	select {
	case <-r.started:
	case err = <-r.startErrors:
		return err
	case <-graceful.Done():
		return nil
	}
	context.AfterFunc(graceful, r.markStopping)
	r.agent.Run(graceful, forced)
	left, cancel := context.WithTimeout(forced, leaveTimeout)
	defer cancel()
	r.control.Leave(left)
	return nil
}

func (r *process) markStopping() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// readiness says whether the copy takes new work, as far as its agent knows.
func (r *process) readiness() lentilmetric.Readiness {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopping:
		return lentilmetric.Readiness{Reason: "stopping"}
	case r.copyUnlisted:
		return lentilmetric.Readiness{Reason: "the copy is not in the configuration"}
	case r.agent == nil:
		return lentilmetric.Readiness{Reason: "no configuration yet"}
	case r.agent.Draining():
		return lentilmetric.Readiness{Reason: "draining"}
	default:
		return lentilmetric.Readiness{Ready: true}
	}
}

// applyConfiguration puts a configuration in force.
func (r *process) applyConfiguration(configuration lentilconfig.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.agent == nil && !r.startAgent(configuration) {
		return
	}
	r.agent.Configure(configuration)
	r.common.Logger.Write(lentilevent.ConfigurationInForce,
		lentilevent.Uint("version", configuration.Version()), lentilevent.Str("noteId", configuration.NoteID()))
}

// startAgent starts the shell if the configuration has the copy as the settings name it.
func (r *process) startAgent(configuration lentilconfig.Configuration) (ok bool) {
	place := configuration.Copy(r.settings.Copy())
	if place == nil || !r.matchesSettings(configuration, place) {
		r.copyUnlisted = true
		r.common.Logger.Write(lentilevent.CopyUnlisted,
			lentilevent.Str("copy", r.settings.Copy()), lentilevent.Str("service", r.settings.Service()),
			lentilevent.Str("domain", r.settings.Domain()), lentilevent.Uint("version", configuration.Version()))
		return false
	}
	r.copyUnlisted = false
	shell, err := lentilagent.New(lentilagent.Options{
		Copy:            r.settings.Copy(),
		Service:         place.Service(),
		Domain:          place.Domain(),
		Incarnation:     r.incarnation,
		Tunnel:          r.settings.TunnelAddress(),
		Control:         r.settings.ControlAddress(),
		Upstream:        r.settings.Upstream(),
		CertificateFile: r.settings.CertificateFile(),
		KeyFile:         r.settings.KeyFile(),
		Ring:            r.common.Ring,
		DrainLimit:      r.settings.DrainLimit(),
		DisableHandOff:  !r.settings.HandOff(),
		Announce:        r.control.Announce,
		OnCertificate:   r.logCertificate,
	})
	if err != nil {
		select {
		case r.startErrors <- err:
		default:
		}
		return false
	}
	r.agent = shell
	close(r.started)
	return true
}

// matchesSettings reports whether the configuration has the copy in the service and failure
// domain of the settings.
func (r *process) matchesSettings(configuration lentilconfig.Configuration, place *lentilconfig.Copy) bool {
	service, domain := configuration.Service(place.Service()), configuration.Domain(place.Domain())
	return service != nil && service.Name() == r.settings.Service() && domain != nil && domain.Name() == r.settings.Domain()
}

// setPeers passes the other agents of the service to the shell.
func (r *process) setPeers(records []lentilrecord.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.agent != nil {
		r.agent.SetPeers(records)
	}
}

// logCertificate logs that changed logCertificate files were read.
func (r *process) logCertificate(err error) {
	file := lentilevent.Str("file", r.settings.CertificateFile())
	if err != nil {
		r.common.Logger.Write(lentilevent.CertificateRefused, file, lentilevent.Err(err))
		return
	}
	r.common.Logger.Write(lentilevent.CertificateLoaded, file)
}
