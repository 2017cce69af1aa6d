package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// harness is a client at a stand-in.
type harness struct {
	server *Server
	client *lentilplatform.Client
	ctx    context.Context
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	server := &Server{Unlimited: true}
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	client := &lentilplatform.Client{BaseURL: listener.URL, HTTPClient: &http.Client{Transport: transport}}
	return &harness{server: server, client: client, ctx: ctx}
}

// objectName is the name of the one object that the cases treat.
const objectName = "a"

func newObject(value int) lentilplatform.Object {
	return lentilplatform.NewObject(lentilplatform.KindHead, objectName, json.RawMessage(fmt.Sprintf(`{"value":%d}`, value)))
}

// create stores an object or panics, for the preparation of a case.
func (b *harness) create() lentilplatform.Object {
	stored, err := b.client.Create(b.ctx, newObject(1))
	if err != nil {
		panic(err)
	}
	return stored
}

func (b *harness) get() error {
	_, err := b.client.Get(b.ctx, lentilplatform.KindHead, objectName)
	return err
}

func (b *harness) update(object lentilplatform.Object) error {
	_, err := b.client.Update(b.ctx, object)
	return err
}

func (b *harness) watch(from string, each func(lentilplatform.Event) error) error {
	return b.client.Watch(b.ctx, lentilplatform.KindHead, from, each)
}

// storedBody returns the body that the stand-in holds, or "none".
func (b *harness) storedBody() string {
	b.server.SetFaults(FaultsDoc{})
	stored, err := b.client.Get(b.ctx, lentilplatform.KindHead, objectName)
	if err != nil {
		return "none"
	}
	return string(stored.Body())
}

var errStop = errors.New("stop")

// TestCallResults holds the client and the stand-in to the conventions: what each
// call answers in order, and under each fault.
func TestCallResults(t *testing.T) {
	tests := []struct {
		name string
		do   func(b *harness) error
		want error
		held string
	}{
		{"get a missing object", func(b *harness) error { return b.get() }, lentilplatform.ErrNotFound, "none"},
		{"get an object", func(b *harness) error { b.create(); return b.get() }, nil, `{"value":1}`},
		{"create twice", func(b *harness) error {
			b.create()
			_, err := b.client.Create(b.ctx, newObject(2))
			return err
		}, lentilplatform.ErrExists, `{"value":1}`},
		{"update at the version", func(b *harness) error {
			return b.update(b.create().WithBody(json.RawMessage(`{"value":2}`)))
		}, nil, `{"value":2}`},
		{"update behind the version", func(b *harness) error {
			stored := b.create()
			_ = b.update(stored.WithBody(json.RawMessage(`{"value":2}`)))
			return b.update(stored.WithBody(json.RawMessage(`{"value":3}`)))
		}, lentilplatform.ErrConflict, `{"value":2}`},
		{"update without a version", func(b *harness) error { return b.update(newObject(1)) }, lentilplatform.ErrRefused, "none"},
		{"update a removed object", func(b *harness) error {
			stored := b.create()
			_ = b.client.Delete(b.ctx, stored)
			return b.update(stored)
		}, lentilplatform.ErrNotFound, "none"},
		{"delete behind the version", func(b *harness) error {
			stored := b.create()
			_ = b.update(stored.WithBody(json.RawMessage(`{"value":2}`)))
			return b.client.Delete(b.ctx, stored)
		}, lentilplatform.ErrConflict, `{"value":2}`},
		{"create a large object", func(b *harness) error {
			body := json.RawMessage(`"` + strings.Repeat("x", lentilplatform.MaxObjectSize) + `"`)
			_, err := b.client.Create(b.ctx, lentilplatform.NewObject(lentilplatform.KindHead, objectName, body))
			return err
		}, lentilplatform.ErrTooLarge, "none"},
		{"get while down", func(b *harness) error {
			b.server.SetFaults(FaultsDoc{Down: true})
			return b.get()
		}, lentilplatform.ErrUnavailable, "none"},
		{"update while down", func(b *harness) error {
			stored := b.create()
			b.server.SetFaults(FaultsDoc{Down: true})
			return b.update(stored.WithBody(json.RawMessage(`{"value":2}`)))
		}, lentilplatform.ErrOutcomeUnknown, `{"value":1}`},
		{"create with nobody listening", func(b *harness) error {
			nobody := &lentilplatform.Client{BaseURL: "http://127.0.0.1:1"}
			_, err := nobody.Create(b.ctx, newObject(1))
			return err
		}, lentilplatform.ErrUnavailable, "none"},
		{"update whose answer is lost", func(b *harness) error {
			stored := b.create()
			b.server.SetFaults(FaultsDoc{LoseAnswers: 1})
			return b.update(stored.WithBody(json.RawMessage(`{"value":2}`)))
		}, lentilplatform.ErrOutcomeUnknown, `{"value":2}`},
		{"get while slow", func(b *harness) error {
			b.create()
			b.client.Timeout = 20 * time.Millisecond
			b.server.SetFaults(FaultsDoc{DelayMilliseconds: 2000})
			err := b.get()
			b.client.Timeout = 0
			return err
		}, lentilplatform.ErrUnavailable, `{"value":1}`},
		{"get above the rate", func(b *harness) error {
			b.server.Unlimited = false
			b.server.initialize()
			b.server.readLimiter.SetBurst(0)
			defer b.server.readLimiter.SetBurst(ReadsPerSecond)
			return b.get()
		}, lentilplatform.ErrLimited, "none"},
		{"get after the return to older data", func(b *harness) error {
			stored := b.create()
			b.server.SaveSnapshot()
			_ = b.update(stored.WithBody(json.RawMessage(`{"value":2}`)))
			b.server.RestoreSnapshot()
			return b.get()
		}, nil, `{"value":1}`},
		{"watch from a version ahead of older data", func(b *harness) error {
			b.server.SaveSnapshot()
			stored := b.create()
			b.server.RestoreSnapshot()
			return b.watch(stored.ResourceVersion(), func(lentilplatform.Event) error { return nil })
		}, lentilplatform.ErrGone, "none"},
		{"watch that is cut", func(b *harness) error {
			stored := b.create()
			return b.watch("0", func(event lentilplatform.Event) error {
				if event.Object().ResourceVersion() != stored.ResourceVersion() {
					return errStop
				}
				b.server.AbortWatches()
				return nil
			})
		}, lentilplatform.ErrUnavailable, `{"value":1}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t)
			err := test.do(b)
			if (test.want == nil) != (err == nil) || test.want != nil && !errors.Is(err, test.want) {
				t.Errorf("error is %v, want %v", err, test.want)
			}
			if got := b.storedBody(); got != test.held {
				t.Errorf("the platform holds %s, want %s", got, test.held)
			}
		})
	}
}

func TestWatchReportsChangesInOrder(t *testing.T) {
	b := newHarness(t)
	stored := b.create()
	go func() {
		second, err := b.client.Update(b.ctx, stored.WithBody(json.RawMessage(`{"value":2}`)))
		if err == nil {
			_ = b.client.Delete(b.ctx, second)
		}
	}()
	var got []string
	err := b.watch("0", func(event lentilplatform.Event) error {
		got = append(got, event.Type().String()+" "+string(event.Object().Body()))
		if event.Type() == lentilplatform.EventDeleted {
			return errStop
		}
		return nil
	})
	if !errors.Is(err, errStop) {
		t.Fatal(err)
	}
	want := []string{`EventAdded {"value":1}`, `EventModified {"value":2}`, `EventDeleted {"value":2}`}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestListPagination(t *testing.T) {
	b := newHarness(t)
	const count = 1100
	for i := range count {
		b.server.mu.Lock()
		name := fmt.Sprintf("o-%04d", i)
		doc := lentilplatform.ObjectDoc{Metadata: lentilplatform.MetadataDoc{Name: name}, Spec: json.RawMessage(`1`)}
		b.server.store.put(resource{kind: lentilplatform.KindAudit, namespace: lentilplatform.DefaultNamespace, name: name}, doc, added)
		b.server.mu.Unlock()
	}
	objects, version, err := b.client.List(b.ctx, lentilplatform.KindAudit)
	if err != nil || len(objects) != count || version != "1100" {
		t.Errorf("%d objects at version %s, error %v", len(objects), version, err)
	}
	names, _, err := b.client.ListMetadata(b.ctx, lentilplatform.KindAudit)
	if err != nil || len(names) != count || names[7].Name() != "o-0007" || names[7].Body() != nil {
		t.Errorf("%d names, error %v", len(names), err)
	}
	if calls := b.client.Calls(); calls.Reads != 6 {
		t.Errorf("%d reads, want 3 pages for each list", calls.Reads)
	}
}
