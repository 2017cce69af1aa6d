package lentilbalancercommand

import (
	"context"
	"crypto/tls"
	"net"

	"lentilstair.example/lentilstair/internal/lentilbalancer"
	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilsetting"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilview"
)

// process is a balancer with its control side and its admin endpoint.
type process struct {
	settings lentilsetting.Balancer
	logger   lentilevent.Logger
	data     *lentilbalancer.Balancer
	control  *lentilcontrol.Balancer
	view     lentilview.View
}

// start opens everything that a balancer needs.
func start(ctx context.Context, settings lentilsetting.Balancer, logger lentilevent.Logger) (p *process, err error) {
	ring, err := ringOf(settings)
	if err != nil {
		return nil, err
	}
	p = &process{settings: settings, logger: logger}
	if p.view.Sealer, err = ring.Sealer(); err != nil {
		return nil, err
	}
	p.data, err = lentilbalancer.New(lentilbalancer.Options{
		Listen: settings.ListenAddress(),
		Tunnel: settings.TunnelAddress(),
		Ring:   ring,
		Grace:  settings.StopGrace(),
	})
	if err != nil {
		return nil, err
	}
	serverTLS, clientTLS, err := controlTLS(ring)
	if err == nil {
		err = p.startControl(ctx, serverTLS, clientTLS)
	}
	if err != nil {
		p.data.Close()
		return nil, err
	}
	return p, nil
}

// ringOf returns the key ring of the settings.
func ringOf(settings lentilsetting.Balancer) (ring lentilkey.Ring, err error) {
	var docs []lentilkey.KeyDoc
	for _, k := range settings.Keys() {
		docs = append(docs, lentilkey.KeyDoc{ID: k.ID(), Secret: k.Secret()})
	}
	return lentilkey.New(docs)
}

// controlTLS returns both sides' configurations for control calls.
func controlTLS(ring lentilkey.Ring) (server, client *tls.Config, err error) {
	if server, err = ring.ServerTLS("h2"); err != nil {
		return nil, nil, err
	}
	if client, err = ring.ClientTLS("h2"); err != nil {
		return nil, nil, err
	}
	return server, client, nil
}

// startControl joins the other balancers.
func (p *process) startControl(ctx context.Context, serverTLS, clientTLS *tls.Config) (err error) {
	platform := &lentilplatform.Client{Base: p.settings.Platform().URL(), Token: p.settings.Platform().Token()}
	p.control = &lentilcontrol.Balancer{
		Listen:          p.settings.ControlAddress(),
		Domain:          p.settings.Domain(),
		Seeds:           p.settings.Peers(),
		ServerTLS:       serverTLS,
		ClientTLS:       clientTLS,
		Read:            lentilcontrol.ReadPlatform(platform),
		OnConfiguration: p.configure,
		OnRecords:       p.observe,
		OnFault:         func(err error) { p.logger.Write(lentilevent.PlatformDown, lentilevent.Err(err)) },
	}
	return p.control.Start(ctx)
}

// configure puts a newer configuration in force.
func (p *process) configure(configuration lentilconfig.Configuration) {
	p.view.Configure(configuration)
	p.data.Route(p.view.Router())
	if err := p.data.Configure(configuration); err != nil {
		p.logger.Write(lentilevent.SocketFailed, lentilevent.Err(err))
	}
	p.logger.Write(lentilevent.ConfigurationInForce,
		lentilevent.Uint("version", configuration.Version()), lentilevent.Str("noteId", configuration.NoteID()))
}

// observe takes in changes of live records.
func (p *process) observe(observed []lentilrecord.Record, forgotten []lentilrecord.Owner) {
	for _, r := range observed {
		p.view.Observe(r)
	}
	for _, owner := range forgotten {
		p.view.Forget(owner)
	}
	p.data.Route(p.view.Router())
}

// state answers whether the fabric may hand over packets.
func (p *process) state() (state lentilmetric.State) {
	switch {
	case !p.control.Ready():
		return lentilmetric.State{Reason: "no configuration yet"}
	case !p.data.Ready():
		return lentilmetric.State{Reason: "stopping, or no service yet"}
	default:
		return lentilmetric.State{Ready: true}
	}
}

// serve runs a balancer until it has ended by graceful or forced.
func serve(graceful, forced context.Context, settings lentilsetting.Balancer, logger lentilevent.Logger) (err error) {
	ctx, cancel := context.WithCancel(forced)
	defer cancel()
	p, err := start(ctx, settings, logger)
	if err != nil {
		return err
	}
	defer p.data.Close()
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
	p.data.Run(graceful, forced)
	p.control.Leave()
	return nil
}
