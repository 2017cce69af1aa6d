package lentilbalancercommand

import (
	"context"
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

// process joins the parts of a balancer: control brings configuration and records,
// the view makes a router of them, and the shell sends packets by it.
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
	liveOwners    map[lentilrecord.Owner]bool
	stopping      bool
}

// newProcess opens everything that a balancer needs.
func newProcess(settings lentilsetting.Balancer, common *lentilnode.Runtime) (r *process, err error) {
	r = &process{common: common, liveOwners: make(map[lentilrecord.Owner]bool)}
	if r.view.Sealer, err = common.Ring.Sealer(); err != nil {
		return nil, err
	}
	r.platform = &lentilplatform.Client{BaseURL: settings.Platform().URL(), Token: settings.Platform().Token()}
	r.reader = &lentilreader.Reader{Client: r.platform, OnRefused: r.logConfigurationRefused}
	r.balancer, err = lentilbalancer.New(lentilbalancer.Options{
		ListenAddress: settings.ListenAddress(),
		TunnelAddress: settings.TunnelAddress(),
		Ring:          common.Ring,
		GracePeriod:   settings.StopGrace(),
	})
	if err != nil {
		return nil, err
	}
	r.control = &lentilcontrol.Balancer{
		Listen:          settings.ControlAddress(),
		Domain:          settings.Domain(),
		Seeds:           settings.Peers(),
		ServerTLS:       common.ServerTLS,
		ClientTLS:       common.ClientTLS,
		ReadPlatform:    r.readPlatform,
		OnConfiguration: r.applyConfiguration,
		OnRecords:       r.applyRecords,
		OnError:         r.logControlError,
	}
	return r, nil
}

// run serves until a graceful stop has ended, or at once when forced ends.
func (r *process) run(graceful, forced context.Context) (err error) {
	controlled, stop := context.WithCancel(context.WithoutCancel(forced))
	defer stop()
	if err = r.control.Start(controlled); err != nil {
		r.balancer.Close()
		return err
	}
	r.exportMetrics()
	r.common.Serve(r.readiness)
	context.AfterFunc(graceful, r.markStopping)
	r.balancer.Run(graceful, forced)
	// Only now, since who has left learns nothing any more, and packets have to be
	// forwarded by the latest view up to the end.
	if forced.Err() == nil {
		r.control.Leave()
	}
	return nil
}

func (r *process) markStopping() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// readiness says whether the fabric may hand packets over.
func (r *process) readiness() lentilmetric.Readiness {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopping:
		return lentilmetric.Readiness{Reason: "stopping"}
	case r.configuration.Version() == 0:
		return lentilmetric.Readiness{Reason: "no configuration yet"}
	case !r.control.Ready():
		return lentilmetric.Readiness{Reason: "the other balancers are not known yet"}
	case !r.balancer.Ready():
		return lentilmetric.Readiness{Reason: "no service has a socket"}
	default:
		return lentilmetric.Readiness{Ready: true}
	}
}

// applyConfiguration puts a configuration in force.
func (r *process) applyConfiguration(configuration lentilconfig.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logDomainChanges(configuration)
	r.configuration = configuration
	r.view.ApplyConfiguration(configuration)
	r.balancer.SetRouter(r.view.Router())
	if err := r.balancer.Configure(configuration); err != nil {
		r.common.Logger.Write(lentilevent.SocketFailed, lentilevent.Err(err))
	}
	r.common.Logger.Write(lentilevent.ConfigurationInForce,
		lentilevent.Uint("version", configuration.Version()), lentilevent.Str("noteId", configuration.NoteID()))
}

// logDomainChanges logs which failure domains the configuration takes out and brings back.
func (r *process) logDomainChanges(configuration lentilconfig.Configuration) {
	for _, doc := range configuration.Document().Domains {
		former := r.configuration.Domain(doc.Number)
		wasOut := former != nil && former.Out()
		if doc.Out == wasOut {
			continue
		}
		event := lentilevent.DomainBack
		if doc.Out {
			event = lentilevent.DomainOut
		}
		r.common.Logger.Write(event, lentilevent.Str("domain", doc.Name), lentilevent.Uint("version", configuration.Version()))
	}
}

// applyRecords takes in what has changed among the live records.
func (r *process) applyRecords(observed []lentilrecord.Record, forgotten []lentilrecord.Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range observed {
		r.liveOwners[record.Owner()] = true
		r.view.ApplyRecord(record)
	}
	for _, owner := range forgotten {
		delete(r.liveOwners, owner)
		r.view.RemoveRecord(owner)
	}
	r.balancer.SetRouter(r.view.Router())
}

// readPlatform reads the platform while control wants it, and logs when the platform goes
// and comes back.
func (r *process) readPlatform(ctx context.Context, offering lentilcontrol.ConfigurationSink) (err error) {
	answered := lentilcontrol.ConfigurationSink{
		Assemble: func(head lentilconfig.HeadDoc) (assembly *lentilconfig.Assembly, err error) {
			r.outage.recordSuccess(r.common.Logger)
			return offering.Assemble(head)
		},
		Offer: offering.Offer,
	}
	if err = r.reader.Read(ctx, answered); err != nil && ctx.Err() == nil {
		r.outage.recordFailure(r.common.Logger, err)
	}
	return err
}

func (r *process) logConfigurationRefused(err error) {
	r.common.Logger.WriteLimited(&r.common.EventLimiter, lentilevent.ConfigurationRefused, lentilevent.Err(err))
}

func (r *process) logControlError(err error) {
	r.common.Logger.WriteLimited(&r.common.EventLimiter, lentilevent.ControlFailed, lentilevent.Err(err))
}
