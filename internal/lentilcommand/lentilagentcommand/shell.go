package lentilagentcommand

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"lentilstair.example/lentilstair/internal/lentilagent"
	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilsetting"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// leaveTimeout bounds how long an agent waits for a balancer to hear that it ends.
const leaveTimeout = 2 * time.Second

// process is an agent with its control side and its admin endpoint.
type process struct {
	settings    lentilsetting.Agent
	logger      lentilevent.Logger
	ring        lentilkey.Ring
	incarnation lentilid.Incarnation
	control     lentilcontrol.Agent
	// data is nil until the configuration lists the copy.
	data    atomic.Pointer[lentilagent.Agent]
	stopped atomic.Bool
	failed  chan error
	peers   []lentilrecord.Record
}

// newProcess prepares an agent.
func newProcess(settings lentilsetting.Agent, logger lentilevent.Logger) (p *process, err error) {
	p = &process{settings: settings, logger: logger, failed: make(chan error, 1)}
	var docs []lentilkey.KeyDoc
	for _, k := range settings.Keys() {
		docs = append(docs, lentilkey.KeyDoc{ID: k.ID(), Secret: k.Secret()})
	}
	if p.ring, err = lentilkey.New(docs); err != nil {
		return nil, err
	}
	clientTLS, err := p.ring.ClientTLS("h2")
	if err != nil {
		return nil, err
	}
	if p.incarnation, err = newIncarnation(); err != nil {
		return nil, err
	}
	p.control.Balancers = settings.Balancers()
	p.control.ClientTLS = clientTLS
	p.control.OnConfiguration = p.configure
	p.control.OnPeers = p.learn
	return p, nil
}

// newIncarnation draws the number of this run; its low 24 bits, which travel with
// packets, are not zero either.
func newIncarnation() (incarnation lentilid.Incarnation, err error) {
	var bytes [8]byte
	for incarnation.Short() == 0 {
		if _, err = rand.Read(bytes[:]); err != nil {
			return 0, err
		}
		incarnation = lentilid.Incarnation(binary.BigEndian.Uint64(bytes[:]))
	}
	return incarnation, nil
}

// firstDoc is announced until the configuration tells the numbers of service and
// failure domain. Balancers answer it and keep nothing of it.
func (p *process) firstDoc() (doc lentilrecord.Doc) {
	return lentilrecord.Doc{
		Owner:   lentilrecord.Owner{Copy: p.settings.Copy(), Incarnation: p.incarnation},
		Tunnel:  p.settings.TunnelAddress(),
		Control: p.settings.ControlAddress(),
		Phase:   lentilrecord.Warming,
	}
}

// configure puts a newer configuration in force. The first one that lists the
// copy for the settings' service and failure domain starts the data path.
func (p *process) configure(configuration lentilconfig.Configuration) {
	p.logger.Write(lentilevent.ConfigurationInForce,
		lentilevent.Uint("version", configuration.Version()), lentilevent.Str("noteId", configuration.NoteID()))
	if a := p.data.Load(); a != nil {
		a.Configure(configuration)
		return
	}
	listed := configuration.Copy(p.settings.Copy())
	if listed == nil || p.stopped.Load() {
		return
	}
	service, domain := configuration.Service(listed.Service()), configuration.Domain(listed.Domain())
	if service.Name() != p.settings.Service() || domain.Name() != p.settings.Domain() {
		p.logger.Write(lentilevent.RecordRefused, lentilevent.Str("copy", p.settings.Copy()),
			lentilevent.Str("reason", "the configuration lists the copy for another service or failure domain"))
		return
	}
	a, err := lentilagent.New(p.options(service.Number(), domain.Number()))
	if err != nil {
		p.failed <- err
		return
	}
	a.Configure(configuration)
	a.Peers(p.peers)
	p.data.Store(a)
}

// options returns how the data path works.
func (p *process) options(service lentilid.Service, domain lentilid.Domain) (options lentilagent.Options) {
	return lentilagent.Options{
		Copy:            p.settings.Copy(),
		Service:         service,
		Domain:          domain,
		Incarnation:     p.incarnation,
		Tunnel:          p.settings.TunnelAddress(),
		Control:         p.settings.ControlAddress(),
		Upstream:        p.settings.Upstream(),
		CertificateFile: p.settings.CertificateFile(),
		KeyFile:         p.settings.KeyFile(),
		Ring:            p.ring,
		DrainLimit:      p.settings.DrainLimit(),
		Random:          mathrand.Float64,
		Announce:        p.control.Announce,
	}
}

// learn takes in the other agents of the service.
func (p *process) learn(peers []lentilrecord.Record) {
	p.peers = peers
	if a := p.data.Load(); a != nil {
		a.Peers(peers)
	}
}

// state answers whether the agent takes new work.
func (p *process) state() (state lentilmetric.State) {
	a := p.data.Load()
	switch {
	case a == nil:
		return lentilmetric.State{Reason: "the configuration doesn't list the copy yet"}
	case p.stopped.Load():
		return lentilmetric.State{Reason: "stopping"}
	case a.Draining():
		return lentilmetric.State{Reason: "draining"}
	default:
		return lentilmetric.State{Ready: true}
	}
}

// serve runs an agent until it has ended by graceful or forced.
func serve(graceful, forced context.Context, settings lentilsetting.Agent, logger lentilevent.Logger) (err error) {
	ctx, cancel := context.WithCancel(forced)
	defer cancel()
	p, err := newProcess(settings, logger)
	if err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", settings.AdminAddress().String())
	if err != nil {
		return err
	}
	admin := lentilmetric.Admin{Ready: p.state}
	go func() {
		if err := admin.Serve(ctx, listener); err != nil {
			logger.Write(lentilevent.AdminFailed, lentilevent.Err(err))
		}
	}()
	logger.Write(lentilevent.Started, lentilevent.Str("admin", settings.AdminAddress().String()))
	p.control.Announce(p.firstDoc())
	p.control.Start(ctx)
	select {
	case err = <-p.failed:
		return err
	case <-graceful.Done():
	}
	p.stop(graceful, forced)
	return nil
}

// stop ends the data path without cutting a request, and tells balancers.
func (p *process) stop(graceful, forced context.Context) {
	p.stopped.Store(true)
	a := p.data.Load()
	if a == nil {
		return
	}
	a.Run(graceful, forced)
	ctx, cancel := context.WithTimeout(forced, leaveTimeout)
	defer cancel()
	p.control.Leave(ctx)
}
