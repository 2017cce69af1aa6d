package lentillab

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilnote"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// ApplyDirectly accepts a note without the command `apply`, and returns when every
// process that runs has it in force.
func (r *Running) ApplyDirectly(ctx context.Context, doc lentilnote.Doc) (err error) {
	if _, err = r.Accept(ctx, doc); err != nil {
		return err
	}
	return r.AwaitInForce(ctx)
}

// Accept writes the outcome of a note into the platform without the command `apply`,
// and returns when that had happened.
func (r *Running) Accept(ctx context.Context, doc lentilnote.Doc) (accepted time.Time, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "accept note %s", doc.ID)
		}
	}()
	note, err := lentilnote.New(doc)
	if err != nil {
		return time.Time{}, err
	}
	plan, err := note.Plan(r.document)
	if err != nil {
		return time.Time{}, err
	}
	head, shards, err := lentilconfig.Split(plan.Next())
	if err != nil {
		return time.Time{}, err
	}
	client := &lentilplatform.Client{Base: r.PlatformURL()}
	for _, shard := range shards {
		body, err := shard.ObjectBody(doc.ID)
		if err != nil {
			return time.Time{}, err
		}
		object := lentilplatform.NewObject(lentilplatform.KindShard, string(shard.Name()), body)
		if _, err = client.Create(ctx, object); err != nil && !errors.Is(err, lentilplatform.ErrExists) {
			return time.Time{}, err
		}
	}
	body, err := json.Marshal(lentilconfig.HeadObjectDoc{HeadDoc: head})
	if err != nil {
		return time.Time{}, err
	}
	if err = putHead(ctx, client, body); err != nil {
		return time.Time{}, err
	}
	r.document = plan.Next()
	return time.Now(), nil
}

// putHead creates the head or puts another body in its place.
func putHead(ctx context.Context, client *lentilplatform.Client, body []byte) (err error) {
	held, err := client.Get(ctx, lentilplatform.KindHead, lentilconfig.HeadName)
	switch {
	case errors.Is(err, lentilplatform.ErrNotFound):
		_, err = client.Create(ctx, lentilplatform.NewObject(lentilplatform.KindHead, lentilconfig.HeadName, body))
	case err == nil:
		_, err = client.Update(ctx, held.WithBody(body))
	}
	return err
}

// AwaitInForce waits until every process that runs has the configuration accepted
// last in force.
func (r *Running) AwaitInForce(ctx context.Context) (err error) {
	version := r.document.Version
	for _, b := range r.balancers {
		if b.process != nil {
			err = errors.Join(err, r.awaitVersionAt(ctx, b.process, b.Admin(), version))
		}
	}
	for _, c := range r.copies {
		if c.agent != nil {
			err = errors.Join(err, r.awaitVersionAt(ctx, c.agent, c.Admin(), version))
		}
	}
	return err
}

// awaitVersionAt waits until a process has the version in force or has ended.
func (r *Running) awaitVersionAt(ctx context.Context, process *Process, admin string, version uint64) (err error) {
	err = Poll(ctx, func() (ok bool, err error) {
		text, err := r.Text(ctx, admin+"/metrics")
		return process.Over() || err == nil && Sum(text, "lentilstair_configuration_version") >= version, nil
	})
	if err != nil {
		return errorx.TimeoutElapsed.New("version %d is not in force at %s", version, process.Name())
	}
	return nil
}

// Sum adds up the values of a metric in a scrape, over all its labels.
func Sum(scrape, name string) (total uint64) {
	for line := range strings.Lines(scrape) {
		if fields := strings.Fields(line); len(fields) == 2 && strings.HasPrefix(line, name+"{") {
			if value, err := strconv.ParseFloat(fields[1], 64); err == nil {
				total += uint64(value)
			}
		}
	}
	return total
}
