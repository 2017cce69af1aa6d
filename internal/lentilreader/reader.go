// Package lentilreader reads the configuration from the platform: the head and
// those shards that aren't held yet, then a watch on the head. A balancer runs it
// only while it is one of the few readers; all others learn from peers.
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

// Reader reads the platform. Client is needed.
type Reader struct {
	// Client calls the platform.
	Client *lentilplatform.Client
	// OnRefused is called with what a configuration from the platform was refused
	// for, such as ErrOlder or ErrFork; nil ignores it. Reading goes on.
	OnRefused func(error)
}

// Read offers what the platform holds, now and after each change, until the
// context ends or the platform fails. It fits lentilcontrol.Balancer.Read.
func (r *Reader) Read(ctx context.Context, offering lentilcontrol.ConfigurationSink) (err error) {
	defer lentilerror.Annotate(&err, "read configuration from the platform")
	for {
		version, err := r.loadCurrent(ctx, offering)
		if err != nil {
			return err
		}
		err = r.watch(ctx, offering, version)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && !errors.Is(err, lentilplatform.ErrGone) && !errors.Is(err, errHeadReplaced) {
			return err
		}
	}
}

// errHeadReplaced says that the head named a shard that is gone: a newer head exists.
var errHeadReplaced = errors.New("the head has moved on")

// maxLoadAttempts bounds how often a head may move on while its shards are read.
const maxLoadAttempts = 5

// loadCurrent offers the present configuration and returns from where to watch.
func (r *Reader) loadCurrent(ctx context.Context, offering lentilcontrol.ConfigurationSink) (version string, err error) {
	for range maxLoadAttempts {
		heads, version, err := r.Client.List(ctx, lentilplatform.KindHead)
		if err != nil {
			return "", err
		}
		for _, head := range heads {
			if err = r.offerHead(ctx, offering, head); err != nil {
				break
			}
		}
		if !errors.Is(err, errHeadReplaced) {
			return version, err
		}
	}
	return "", errHeadReplaced
}

func (r *Reader) watch(ctx context.Context, offering lentilcontrol.ConfigurationSink, version string) (err error) {
	return r.Client.Watch(ctx, lentilplatform.KindHead, version, func(event lentilplatform.Event) error {
		switch event.Type() {
		case lentilplatform.EventAdded, lentilplatform.EventModified:
			return r.offerHead(ctx, offering, event.Object())
		default:
			// What is in force stays so when the head is gone.
			return nil
		}
	})
}

// offerHead fetches the shards that aren't held and offers the whole.
func (r *Reader) offerHead(ctx context.Context, offering lentilcontrol.ConfigurationSink, object lentilplatform.Object) (err error) {
	if object.Name() != lentilconfig.HeadObjectName {
		return nil
	}
	head, err := lentilconfig.ParseHeadObject(object.Body())
	if err != nil {
		r.reportRefused(err)
		return nil
	}
	assembly, err := offering.Assemble(head.HeadDoc)
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
	if err = offering.Offer(document); err != nil {
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
