// Package lentilreader reads the configuration from the platform. It fetches the head and the
// shards that the balancer doesn't hold yet, then watches the head for changes. Only a few
// balancers are chosen as readers; the others receive the configuration from their peers.
package lentilreader

import (
	"context"
	"errors"
	"fmt"

	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilerror"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// Reader reads the configuration from the platform.
type Reader struct {
	// Client is the client of the platform; it is required.
	Client *lentilplatform.Client
	// OnRefused is called with the reason if a configuration from the platform is refused, such
	// as ErrOlder or ErrFork. Reading continues. Nil means no call.
	OnRefused func(error)
}

// Read passes the configuration on the platform to the sink, now and after each change, until
// ctx ends or the platform fails. It can be used as lentilcontrol.Balancer.ReadPlatform.
func (r *Reader) Read(ctx context.Context, sink lentilcontrol.ConfigurationSink) (err error) {
	defer lentilerror.Annotate(&err, "read configuration from the platform")
	for {
		version, err := r.loadCurrent(ctx, sink)
		if err != nil {
			return err
		}
		err = r.watch(ctx, sink, version)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && !errors.Is(err, lentilplatform.ErrGone) && !errors.Is(err, errHeadReplaced) {
			return err
		}
	}
}

// errHeadReplaced is returned if a shard of the head no longer exists. This means that there
// is a newer head.
var errHeadReplaced = errors.New("configuration head was replaced")

// maxLoadAttempts is how often loading is tried while the head is replaced during the load.
const maxLoadAttempts = 5

// loadCurrent passes the current configuration to the sink and returns the resource version
// from which to watch.
func (r *Reader) loadCurrent(ctx context.Context, sink lentilcontrol.ConfigurationSink) (version string, err error) {
	for range maxLoadAttempts {
		heads, version, err := r.Client.List(ctx, lentilplatform.KindHead)
		if err != nil {
			return "", err
		}
		for _, head := range heads {
			if err = r.offerHead(ctx, sink, head); err != nil {
				break
			}
		}
		if !errors.Is(err, errHeadReplaced) {
			return version, err
		}
	}
	return "", errHeadReplaced
}

func (r *Reader) watch(ctx context.Context, sink lentilcontrol.ConfigurationSink, version string) (err error) {
	return r.Client.Watch(ctx, lentilplatform.KindHead, version, func(event lentilplatform.Event) error {
		switch event.Type() {
		case lentilplatform.EventAdded, lentilplatform.EventModified:
			return r.offerHead(ctx, sink, event.Object())
		default:
			// If the head is deleted, the configuration in force stays in force.
			return nil
		}
	})
}

// offerHead fetches the missing shards of a head and passes the complete configuration to the
// sink. Other objects than the head are ignored.
func (r *Reader) offerHead(ctx context.Context, sink lentilcontrol.ConfigurationSink, object lentilplatform.Object) (err error) {
	if object.Name() != lentilconfig.HeadObjectName {
		return nil
	}
	head, err := lentilconfig.ParseHeadObject(object.Body())
	if err != nil {
		r.reportRefused(err)
		return nil
	}
	assembly, err := sink.Assemble(head.HeadDoc)
	if err != nil {
		return err
	}
	for _, name := range assembly.Missing() {
		if err = r.fetchShard(ctx, assembly, name); err != nil {
			return err
		}
	}
	document, err := assembly.Document()
	if err != nil {
		return err
	}
	if err = sink.Offer(document); err != nil {
		r.reportRefused(err)
	}
	return nil
}

func (r *Reader) fetchShard(ctx context.Context, assembly *lentilconfig.Assembly, name lentilconfig.Digest) (err error) {
	object, err := r.Client.Get(ctx, lentilplatform.KindShard, string(name))
	if errors.Is(err, lentilplatform.ErrNotFound) {
		return fmt.Errorf("%w: shard %s is gone", errHeadReplaced, name)
	}
	if err != nil {
		return err
	}
	shard, err := lentilconfig.ParseShardObject(name, object.Body())
	if err != nil {
		return err
	}
	return assembly.Add(shard.Name(), shard.Body())
}

func (r *Reader) reportRefused(err error) {
	if r.OnRefused != nil {
		r.OnRefused(err)
	}
}
