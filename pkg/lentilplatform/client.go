package lentilplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"lentilstair.example/lentilstair/pkg/lentilerror"
)

// Defaults of a Client.
const (
	// DefaultTimeout bounds a call that is no watch.
	DefaultTimeout = 5 * time.Second
	// DefaultNamespace holds the objects unless the client names another.
	DefaultNamespace = "lentilstair"
	// pageEntries is how many entries of a list are asked for at a time.
	pageEntries = 500
	// answerMax bounds an answer: an object and what surrounds it.
	answerMax = ObjectMax + 64<<10
)

// Client calls the platform. Base is needed; every other field may be zero. The
// fields must not change once the client is in use; calls may run at once.
type Client struct {
	// Base is the address of the API, such as "http://192.0.2.1:8001".
	Base string
	// Namespace holds the objects; empty means DefaultNamespace.
	Namespace string
	// Token is sent as bearer token unless it is empty.
	Token string
	// HTTP makes the calls; nil means http.DefaultClient. Its Timeout must be zero,
	// since it would end watches.
	HTTP *http.Client
	// Timeout bounds a call that is no watch; zero means DefaultTimeout.
	Timeout time.Duration
	// Limiter bounds the rate of calls; nil means no bound. A call that would wait
	// beyond its deadline fails with ErrLimited.
	Limiter *rate.Limiter

	calls counters
}

type counters struct{ reads, writes, watches, failures atomic.Uint64 }

// Calls says how many calls a client has made.
type Calls struct {
	Reads    uint64
	Writes   uint64
	Watches  uint64
	Failures uint64
}

// Calls returns how many calls the client has made.
func (c *Client) Calls() Calls {
	return Calls{
		Reads:    c.calls.reads.Load(),
		Writes:   c.calls.writes.Load(),
		Watches:  c.calls.watches.Load(),
		Failures: c.calls.failures.Load(),
	}
}

// Get returns an object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (object Object, err error) {
	defer lentilerror.Annotate(&err, "get %s %s", kind.Resource(), name)
	var doc ObjectDoc
	if err = c.call(ctx, request{method: http.MethodGet, path: c.path(kind, name)}, &doc); err != nil {
		return Object{}, err
	}
	return doc.object(kind), nil
}

// List returns the objects of a kind and the resource version from which to watch.
func (c *Client) List(ctx context.Context, kind Kind) (objects []Object, version string, err error) {
	return c.list(ctx, kind, "application/json")
}

// ListNames is List without the bodies.
func (c *Client) ListNames(ctx context.Context, kind Kind) (objects []Object, version string, err error) {
	return c.list(ctx, kind, PartialListType)
}

func (c *Client) list(ctx context.Context, kind Kind, accept string) (objects []Object, version string, err error) {
	defer lentilerror.Annotate(&err, "list %s", kind.Plural())
	query := url.Values{"limit": {strconv.Itoa(pageEntries)}}
	for {
		var page ListDoc
		call := request{method: http.MethodGet, path: c.path(kind, ""), query: query, accept: accept}
		if err = c.call(ctx, call, &page); err != nil {
			return nil, "", err
		}
		for _, doc := range page.Items {
			objects = append(objects, doc.object(kind))
		}
		if page.Metadata.Continue == "" {
			return objects, page.Metadata.ResourceVersion, nil
		}
		query.Set("continue", page.Metadata.Continue)
	}
}

// Create stores a new object. If one of that name exists, the error is ErrExists.
func (c *Client) Create(ctx context.Context, object Object) (stored Object, err error) {
	defer lentilerror.Annotate(&err, "create %s %s", object.kind.Resource(), object.name)
	object.version = ""
	return c.write(ctx, http.MethodPost, c.path(object.kind, ""), object)
}

// Update replaces the object if the platform still holds the version that the
// object carries. If not, the error is ErrConflict.
func (c *Client) Update(ctx context.Context, object Object) (stored Object, err error) {
	defer lentilerror.Annotate(&err, "update %s %s", object.kind.Resource(), object.name)
	if object.version == "" {
		return Object{}, &Error{reason: ReasonRefused, message: "the object states no version"}
	}
	return c.write(ctx, http.MethodPut, c.path(object.kind, object.name), object)
}

// Delete removes the object if the platform still holds the version that the
// object carries. If not, the error is ErrConflict or ErrNotFound.
func (c *Client) Delete(ctx context.Context, object Object) (err error) {
	defer lentilerror.Annotate(&err, "delete %s %s", object.kind.Resource(), object.name)
	options := deleteOptionsDoc{APIVersion: "v1", Kind: "DeleteOptions"}
	options.Preconditions.ResourceVersion = object.version
	body, err := json.Marshal(options)
	if err != nil {
		return err
	}
	call := request{method: http.MethodDelete, path: c.path(object.kind, object.name), body: body}
	return c.call(ctx, call, &StatusDoc{})
}

// deleteOptionsDoc is the written form of the condition of a removal.
type deleteOptionsDoc struct {
	APIVersion    string `json:"apiVersion"`
	Kind          string `json:"kind"`
	Preconditions struct {
		ResourceVersion string `json:"resourceVersion,omitempty"`
	} `json:"preconditions"`
}

func (c *Client) write(ctx context.Context, method, path string, object Object) (stored Object, err error) {
	body, err := json.Marshal(object.doc())
	if err != nil {
		return Object{}, err
	}
	if len(body) > ObjectMax {
		return Object{}, &Error{reason: ReasonTooLarge, message: strconv.Itoa(len(body)) + " bytes"}
	}
	var doc ObjectDoc
	if err = c.call(ctx, request{method: method, path: path, body: body}, &doc); err != nil {
		return Object{}, err
	}
	return doc.object(object.kind), nil
}

// request is a call to be made.
type request struct {
	method string
	path   string
	query  url.Values
	accept string
	body   []byte
}

func (r request) write() bool { return r.method != http.MethodGet }

func (c *Client) call(ctx context.Context, call request, answer any) (err error) {
	defer func() {
		if err != nil {
			c.calls.failures.Add(1)
		}
	}()
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err = c.admit(ctx); err != nil {
		return err
	}
	if call.write() {
		c.calls.writes.Add(1)
	} else {
		c.calls.reads.Add(1)
	}
	response, err := c.send(ctx, call)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, answerMax+1))
	if err != nil {
		return lost(call, err)
	}
	if len(body) > answerMax {
		return &Error{reason: ReasonTooLarge, message: "the answer"}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return refusal(response, body, call.write())
	}
	if err = json.Unmarshal(body, answer); err != nil {
		return faulty(call, err)
	}
	return nil
}

// admit waits for the rate limit.
func (c *Client) admit(ctx context.Context) (err error) {
	if c.Limiter == nil {
		return nil
	}
	if err = c.Limiter.Wait(ctx); err != nil {
		return &Error{reason: ReasonLimited, message: "the client's own limit", cause: err}
	}
	return nil
}

func (c *Client) send(ctx context.Context, call request) (response *http.Response, err error) {
	address := c.Base + call.path
	if len(call.query) > 0 {
		address += "?" + call.query.Encode()
	}
	message, err := http.NewRequestWithContext(ctx, call.method, address, bytes.NewReader(call.body))
	if err != nil {
		return nil, &Error{reason: ReasonRefused, cause: err}
	}
	if call.accept != "" {
		message.Header.Set("Accept", call.accept)
	}
	if len(call.body) > 0 {
		message.Header.Set("Content-Type", "application/json")
	}
	if c.Token != "" {
		message.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err = client.Do(message)
	if err != nil {
		return nil, lost(call, err)
	}
	return response, nil
}

// lost classifies a call whose answer didn't come. A write may have taken effect
// unless the connection was never made.
func lost(call request, err error) *Error {
	var operation *net.OpError
	unsent := errors.As(err, &operation) && operation.Op == "dial"
	if call.write() && !unsent {
		return &Error{reason: ReasonOutcomeUnknown, cause: err}
	}
	return &Error{reason: ReasonUnavailable, cause: err}
}

// faulty classifies an answer that can't be read: a write has taken effect then,
// but nobody knows as what.
func faulty(call request, err error) *Error {
	if call.write() {
		return &Error{reason: ReasonOutcomeUnknown, cause: err}
	}
	return &Error{reason: ReasonFaulty, cause: err}
}

func refusal(response *http.Response, body []byte, write bool) *Error {
	var status StatusDoc
	if json.Unmarshal(body, &status) != nil {
		status = StatusDoc{}
	}
	return statusError(response, status, write)
}

func (c *Client) path(kind Kind, name string) string {
	namespace := c.Namespace
	if namespace == "" {
		namespace = DefaultNamespace
	}
	path := "/apis/" + Group + "/" + Version + "/namespaces/" + url.PathEscape(namespace) + "/" + kind.Plural()
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}
