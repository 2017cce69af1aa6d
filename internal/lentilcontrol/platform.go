package lentilcontrol

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// ReadPlatform returns what a Balancer's Read needs: it lists the head, offers the
// configuration that the head names, and watches the head for newer ones. Each
// newer head costs one read for each shard that is not held.
func ReadPlatform(client *lentilplatform.Client) func(context.Context, Offering) error {
	return func(ctx context.Context, offer Offering) (err error) {
		reader := platformReader{client: client, offer: offer}
		return reader.read(ctx)
	}
}

type platformReader struct {
	client *lentilplatform.Client
	offer  Offering
}

func (r platformReader) read(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "read configuration from the platform")
		}
	}()
	objects, version, err := r.client.List(ctx, lentilplatform.KindHead)
	if err != nil {
		return err
	}
	for _, object := range objects {
		if err = r.take(ctx, object); err != nil {
			return err
		}
	}
	return r.client.Watch(ctx, lentilplatform.KindHead, version, func(event lentilplatform.Event) error {
		if event.Type() != lentilplatform.EventAdded && event.Type() != lentilplatform.EventModified {
			return nil
		}
		return r.take(ctx, event.Object())
	})
}

// take offers the configuration that a head names. An older one, as from a
// platform that came back with old data, is left alone.
func (r platformReader) take(ctx context.Context, object lentilplatform.Object) (err error) {
	var head lentilconfig.HeadDoc
	if err = json.Unmarshal(object.Body(), &head); err != nil {
		return err
	}
	assembly, err := r.offer.Assemble(head)
	if err != nil {
		return err
	}
	for _, name := range assembly.Missing() {
		shard, err := r.client.Get(ctx, lentilplatform.KindShard, string(name))
		if err != nil {
			return err
		}
		if err = assembly.Add(name, shard.Body()); err != nil {
			return err
		}
	}
	document, err := assembly.Document()
	if err != nil {
		return err
	}
	err = r.offer.Offer(document)
	if errors.Is(err, lentilconfig.ErrOlder) {
		return nil
	}
	return err
}
