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

// harness is a stand-in with a client.
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

// objectName is the name of the only object in the cases.
const objectName = "a"

func newObject(value int) lentilplatform.Object {
	return lentilplatform.NewObject(lentilplatform.KindHead, objectName, json.RawMessage(fmt.Sprintf(`{"value":%d}`, value)))
}

// create stores an object with the value 1, or panics.
func (h *harness) create() lentilplatform.Object {
	stored, err := h.client.Create(h.ctx, newObject(1))
	if err != nil {
		panic(err)
	}
	return stored
}

func (h *harness) get() error {
	_, err := h.client.Get(h.ctx, lentilplatform.KindHead, objectName)
	return err
}

func (h *harness) update(object lentilplatform.Object) error {
	_, err := h.client.Update(h.ctx, object)
	return err
}

func (h *harness) watch(version string, handle func(lentilplatform.Event) error) error {
	return h.client.Watch(h.ctx, lentilplatform.KindHead, version, handle)
}

// storedBody clears the fault switches and returns the body of the stored object, or "none".
func (h *harness) storedBody() string {
	h.server.SetFaults(FaultsDoc{})
	stored, err := h.client.Get(h.ctx, lentilplatform.KindHead, objectName)
	if err != nil {
		return "none"
	}
	return string(stored.Body())
}

var errStop = errors.New("stop")

// TestCallResults checks the client against the stand-in: the error of each call, without
// faults and under each fault, and what is stored afterwards.
func TestCallResults(t *testing.T) {
	tests := []struct {
		name     string
		call     func(h *harness) error
		wantErr  error
		wantBody string
	}{
		{"get a missing object", func(h *harness) error { return h.get() }, lentilplatform.ErrNotFound, "none"},
		{"get an object", func(h *harness) error { h.create(); return h.get() }, nil, `{"value":1}`},
		{"create twice", func(h *harness) error {
			h.create()
			_, err := h.client.Create(h.ctx, newObject(2))
			return err
		}, lentilplatform.ErrExists, `{"value":1}`},
		{"update with the current version", func(h *harness) error {
			return h.update(h.create().WithBody(json.RawMessage(`{"value":2}`)))
		}, nil, `{"value":2}`},
		{"update with an outdated version", func(h *harness) error {
			stored := h.create()
			_ = h.update(stored.WithBody(json.RawMessage(`{"value":2}`)))
			return h.update(stored.WithBody(json.RawMessage(`{"value":3}`)))
		}, lentilplatform.ErrConflict, `{"value":2}`},
		{"update without a version", func(h *harness) error { return h.update(newObject(1)) }, lentilplatform.ErrRefused, "none"},
		{"update a deleted object", func(h *harness) error {
			stored := h.create()
			_ = h.client.Delete(h.ctx, stored)
			return h.update(stored)
		}, lentilplatform.ErrNotFound, "none"},
		{"delete with an outdated version", func(h *harness) error {
			stored := h.create()
			_ = h.update(stored.WithBody(json.RawMessage(`{"value":2}`)))
			return h.client.Delete(h.ctx, stored)
		}, lentilplatform.ErrConflict, `{"value":2}`},
		{"create a large object", func(h *harness) error {
			body := json.RawMessage(`"` + strings.Repeat("x", lentilplatform.MaxObjectSize) + `"`)
			_, err := h.client.Create(h.ctx, lentilplatform.NewObject(lentilplatform.KindHead, objectName, body))
			return err
		}, lentilplatform.ErrTooLarge, "none"},
		{"get while down", func(h *harness) error {
			h.server.SetFaults(FaultsDoc{Down: true})
			return h.get()
		}, lentilplatform.ErrUnavailable, "none"},
		{"update while down", func(h *harness) error {
			stored := h.create()
			h.server.SetFaults(FaultsDoc{Down: true})
			return h.update(stored.WithBody(json.RawMessage(`{"value":2}`)))
		}, lentilplatform.ErrOutcomeUnknown, `{"value":1}`},
		{"create with no server listening", func(h *harness) error {
			noServer := &lentilplatform.Client{BaseURL: "http://127.0.0.1:1"}
			_, err := noServer.Create(h.ctx, newObject(1))
			return err
		}, lentilplatform.ErrUnavailable, "none"},
		{"update whose answer is lost", func(h *harness) error {
			stored := h.create()
			h.server.SetFaults(FaultsDoc{LoseAnswers: 1})
			return h.update(stored.WithBody(json.RawMessage(`{"value":2}`)))
		}, lentilplatform.ErrOutcomeUnknown, `{"value":2}`},
		{"get with a delay beyond the timeout", func(h *harness) error {
			h.create()
			h.client.Timeout = 20 * time.Millisecond
			h.server.SetFaults(FaultsDoc{DelayMilliseconds: 2000})
			err := h.get()
			h.client.Timeout = 0
			return err
		}, lentilplatform.ErrUnavailable, `{"value":1}`},
		{"get above the rate limit", func(h *harness) error {
			h.server.Unlimited = false
			h.server.initialize()
			h.server.readLimiter.SetBurst(0)
			defer h.server.readLimiter.SetBurst(ReadsPerSecond)
			return h.get()
		}, lentilplatform.ErrLimited, "none"},
		{"get after a snapshot was restored", func(h *harness) error {
			stored := h.create()
			h.server.SaveSnapshot()
			_ = h.update(stored.WithBody(json.RawMessage(`{"value":2}`)))
			h.server.RestoreSnapshot()
			return h.get()
		}, nil, `{"value":1}`},
		{"watch from a version newer than the restored snapshot", func(h *harness) error {
			h.server.SaveSnapshot()
			stored := h.create()
			h.server.RestoreSnapshot()
			return h.watch(stored.ResourceVersion(), func(lentilplatform.Event) error { return nil })
		}, lentilplatform.ErrGone, "none"},
		{"watch that is aborted", func(h *harness) error {
			stored := h.create()
			return h.watch("0", func(event lentilplatform.Event) error {
				if event.Object().ResourceVersion() != stored.ResourceVersion() {
					return errStop
				}
				h.server.AbortWatches()
				return nil
			})
		}, lentilplatform.ErrUnavailable, `{"value":1}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			err := test.call(h)
			if (test.wantErr == nil) != (err == nil) || test.wantErr != nil && !errors.Is(err, test.wantErr) {
				t.Errorf("error is %v, want %v", err, test.wantErr)
			}
			if got := h.storedBody(); got != test.wantBody {
				t.Errorf("stored body is %s, want %s", got, test.wantBody)
			}
		})
	}
}

func TestWatchReportsChangesInOrder(t *testing.T) {
	h := newHarness(t)
	stored := h.create()
	go func() {
		second, err := h.client.Update(h.ctx, stored.WithBody(json.RawMessage(`{"value":2}`)))
		if err == nil {
			_ = h.client.Delete(h.ctx, second)
		}
	}()
	var got []string
	err := h.watch("0", func(event lentilplatform.Event) error {
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
	h := newHarness(t)
	const count = 1100
	for i := range count {
		h.server.mu.Lock()
		name := fmt.Sprintf("o-%04d", i)
		doc := lentilplatform.ObjectDoc{Metadata: lentilplatform.MetadataDoc{Name: name}, Spec: json.RawMessage(`1`)}
		h.server.store.put(resource{kind: lentilplatform.KindAudit, namespace: lentilplatform.DefaultNamespace, name: name}, doc, added)
		h.server.mu.Unlock()
	}
	objects, version, err := h.client.List(h.ctx, lentilplatform.KindAudit)
	if err != nil || len(objects) != count || version != "1100" {
		t.Errorf("%d objects at version %s, error %v", len(objects), version, err)
	}
	names, _, err := h.client.ListMetadata(h.ctx, lentilplatform.KindAudit)
	if err != nil || len(names) != count || names[7].Name() != "o-0007" || names[7].Body() != nil {
		t.Errorf("%d names, error %v", len(names), err)
	}
	if calls := h.client.Calls(); calls.Reads != 6 {
		t.Errorf("%d reads, want 3 pages for each list", calls.Reads)
	}
}
