package lentilbalancercommand

import (
	"context"
	"fmt"
	"sync"

	"lentilstair.example/lentilstair/internal/lentilbalancer"
	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilnode"
	"lentilstair.example/lentilstair/internal/lentilreader"
	"lentilstair.example/lentilstair/internal/lentilsetting"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilview"
)

// process connects the parts of a balancer process. control receives the configuration
// and the agents' records, view builds a router from them, and balancer forwards packets
// with that router.
type process struct {
	common   *lentilnode.Runtime
	balancer *lentilbalancer.Balancer
	control  *lentilcontrol.Balancer
	reader   *lentilreader.Reader
	platform *lentilplatform.Client
	outage   outage

	mu            sync.Mutex
	view          lentilview.View
	configuration lentilconfig.Configuration
	liveOwners    map[lentilrecord.Owner]bool // owners of the live records; their number is a metric
	stopping      bool
}

// newProcess creates the parts of a balancer process and opens the sockets of its packet
// path.
func newProcess(settings lentilsetting.Balancer, common *lentilnode.Runtime) (p *process, err error) {
	p = &process{common: common, liveOwners: make(map[lentilrecord.Owner]bool)}
	if p.view.Sealer, err = common.Ring.Sealer(); err != nil {
		return nil, err
	}
	p.platform = &lentilplatform.Client{BaseURL: settings.Platform().URL(), Token: settings.Platform().Token(), OnInvalid: p.logInvalidObject}
	p.reader = &lentilreader.Reader{Client: p.platform, OnRefused: p.logConfigurationRefused}
	p.balancer, err = lentilbalancer.New(lentilbalancer.Options{
		ListenAddress: settings.ListenAddress(),
		TunnelAddress: settings.TunnelAddress(),
		Ring:          common.Ring,
		GracePeriod:   settings.StopGrace(),
	})
	if err != nil {
		return nil, err
	}
	p.control = &lentilcontrol.Balancer{
		Listen:          settings.ControlAddress(),
		Domain:          settings.Domain(),
		Seeds:           settings.Peers(),
		ServerTLS:       common.ServerTLS,
		ClientTLS:       common.ClientTLS,
		ReadPlatform:    p.readPlatform,
		OnConfiguration: p.applyConfiguration,
		OnRecords:       p.applyRecords,
		OnError:         p.logControlError,
	}
	return p, nil
}

// run serves until a graceful stop is complete. A graceful stop begins when the
// context graceful ends. When forced ends, run returns at once.
func (p *process) run(graceful, forced context.Context) (err error) {
	controlCtx, stopControl := context.WithCancel(context.WithoutCancel(forced))
	defer stopControl()
	if err = p.control.Start(controlCtx); err != nil {
		p.balancer.Close()
		return err
	}
	p.exportMetrics()
	p.common.Serve(p.readiness)
	context.AfterFunc(graceful, p.markStopping)
	p.balancer.Run(graceful, forced)
	// A balancer that has left receives no more updates. Until packet forwarding ends,
	// packets must be routed by the latest view, so leave only now.
	if forced.Err() == nil {
		p.control.Leave()
	}
	return nil
}

func (p *process) markStopping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// readiness reports whether the network fabric may send packets to this balancer, and the
// reason if it may not.
func (p *process) readiness() lentilmetric.Readiness {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.stopping:
		return lentilmetric.Readiness{Reason: "stopping"}
	case p.configuration.Version() == 0:
		return lentilmetric.Readiness{Reason: "no configuration yet"}
	case !p.control.Ready():
		return lentilmetric.Readiness{Reason: "the other balancers are not known yet"}
	case !p.balancer.Ready():
		return lentilmetric.Readiness{Reason: "no service has a socket"}
	default:
		return lentilmetric.Readiness{Ready: true}
	}
}

// applyConfiguration puts a configuration in force: it updates the router and the sockets of
// the services.
func (p *process) applyConfiguration(configuration lentilconfig.Configuration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logDomainChanges(configuration)
	p.configuration = configuration
	p.view.ApplyConfiguration(configuration)
	p.balancer.SetRouter(p.view.Router())
	if err := p.balancer.Configure(configuration); err != nil {
		p.common.Logger.Write(lentilevent.SocketFailed, lentilevent.Err(err))
	}
	p.common.Logger.Write(lentilevent.ConfigurationInForce,
		lentilevent.Uint("version", configuration.Version()), lentilevent.Str("noteId", configuration.NoteID()))
}

// logDomainChanges logs which failure domains the new configuration takes out of service or
// returns to service. p.configuration is still the previous one.
func (p *process) logDomainChanges(configuration lentilconfig.Configuration) {
	for _, doc := range configuration.Document().Domains {
		previous := p.configuration.Domain(doc.Number)
		wasOut := previous != nil && previous.Out()
		if doc.Out == wasOut {
			continue
		}
		event := lentilevent.DomainBack
		if doc.Out {
			event = lentilevent.DomainOut
		}
		p.common.Logger.Write(event, lentilevent.Str("domain", doc.Name), lentilevent.Uint("version", configuration.Version()))
	}
}

// applyRecords applies changes of the live records to the view: records that are new or
// changed, and owners whose records were removed.
func (p *process) applyRecords(changed []lentilrecord.Record, removed []lentilrecord.Owner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, record := range changed {
		p.liveOwners[record.Owner()] = true
		p.view.ApplyRecord(record)
	}
	for _, owner := range removed {
		delete(p.liveOwners, owner)
		p.view.RemoveRecord(owner)
	}
	p.balancer.SetRouter(p.view.Router())
}

// readPlatform passes configurations from the platform to the sink until ctx ends, and logs
// the beginning and the end of an outage. The reader calls Assemble whenever the platform
// has answered with a head, so that call marks the end of an outage.
func (p *process) readPlatform(ctx context.Context, sink lentilcontrol.ConfigurationSink) (err error) {
	outageSink := lentilcontrol.ConfigurationSink{
		Assemble: func(head lentilconfig.HeadDoc) (assembly *lentilconfig.Assembly, err error) {
			p.outage.recordSuccess(p.common.Logger)
			return sink.Assemble(head)
		},
		Offer: sink.Offer,
	}
	if err = p.reader.Read(ctx, outageSink); err != nil && ctx.Err() == nil {
		p.outage.recordFailure(p.common.Logger, err)
	}
	return err
}

func (p *process) logConfigurationRefused(err error) {
	p.common.Logger.WriteLimited(&p.common.EventLimiter, lentilevent.ConfigurationRefused, lentilevent.Err(err))
}

// logInvalidObject cuts the name and the reason, which may quote what the object holds.
func (p *process) logInvalidObject(kind lentilplatform.Kind, name string, err error) {
	p.common.Logger.WriteLimited(&p.common.EventLimiter, lentilevent.ConfigurationRefused,
		lentilevent.Str("object", fmt.Sprintf("%s/%.255s", kind.Plural(), name)), lentilevent.Str("error", fmt.Sprintf("%.255s", err)))
}

func (p *process) logControlError(err error) {
	p.common.Logger.WriteLimited(&p.common.EventLimiter, lentilevent.ControlFailed, lentilevent.Err(err))
}
