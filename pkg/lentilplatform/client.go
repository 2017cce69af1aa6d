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
	// listPageSize is how many entries of a list are asked for at a time.
	listPageSize = 500
	// maxResponseSize bounds an answer: an object and what surrounds it.
	maxResponseSize = MaxObjectSize + 64<<10
)

// Client calls the platform. Base is needed; every other field may be zero. The
// fields must not change once the client is in use; calls may run at once.
type Client struct {
	// BaseURL is the address of the API, such as "http://192.0.2.1:8001".
	BaseURL string
	// Namespace holds the objects; empty means DefaultNamespace.
	Namespace string
	// Token is sent as bearer token unless it is empty.
	Token string
	// HTTPClient makes the calls; nil means http.DefaultClient. Its Timeout must be zero,
	// since it would end watches.
	HTTPClient *http.Client
	// Timeout bounds a call that is no watch; zero means DefaultTimeout.
	Timeout time.Duration
	// Limiter bounds the rate of calls; nil means no bound. A call that would wait
	// beyond its deadline fails with ErrLimited.
	Limiter *rate.Limiter

	calls callCounters
}

type callCounters struct{ reads, writes, watches, failures atomic.Uint64 }

// CallCounts says how many calls a client has made.
type CallCounts struct {
	Reads    uint64
	Writes   uint64
	Watches  uint64
	Failures uint64
}

// Calls returns how many calls the client has made.
func (c *Client) Calls() CallCounts {
	return CallCounts{
		Reads:    c.calls.reads.Load(),
		Writes:   c.calls.writes.Load(),
		Watches:  c.calls.watches.Load(),
		Failures: c.calls.failures.Load(),
	}
}

// Get returns an object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (object Object, err error) {
	defer lentilerror.Annotate(&err, "get %s %s", kind.APIKind(), name)
	var doc ObjectDoc
	if err = c.call(ctx, request{method: http.MethodGet, path: c.objectPath(kind, name)}, &doc); err != nil {
		return Object{}, err
	}
	return doc.object(kind), nil
}

// List returns the objects of a kind and the resource version from which to watch.
func (c *Client) List(ctx context.Context, kind Kind) (objects []Object, version string, err error) {
	return c.list(ctx, kind, "application/json")
}

// ListMetadata is List without the bodies.
func (c *Client) ListMetadata(ctx context.Context, kind Kind) (objects []Object, version string, err error) {
	return c.list(ctx, kind, PartialListMediaType)
}

func (c *Client) list(ctx context.Context, kind Kind, accept string) (objects []Object, version string, err error) {
	defer lentilerror.Annotate(&err, "list %s", kind.Plural())
	query := url.Values{"limit": {strconv.Itoa(listPageSize)}}
	for {
		var page ListDoc
		call := request{method: http.MethodGet, path: c.objectPath(kind, ""), query: query, accept: accept}
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
	defer lentilerror.Annotate(&err, "create %s %s", object.kind.APIKind(), object.name)
	object.resourceVersion = ""
	return c.write(ctx, http.MethodPost, c.objectPath(object.kind, ""), object)
}

// Update replaces the object if the platform still holds the version that the
// object carries. If not, the error is ErrConflict.
func (c *Client) Update(ctx context.Context, object Object) (stored Object, err error) {
	defer lentilerror.Annotate(&err, "update %s %s", object.kind.APIKind(), object.name)
	if object.resourceVersion == "" {
		return Object{}, &Error{reason: ReasonRefused, message: "the object states no version"}
	}
	return c.write(ctx, http.MethodPut, c.objectPath(object.kind, object.name), object)
}

// Delete removes the object if the platform still holds the version that the
// object carries. If not, the error is ErrConflict or ErrNotFound.
func (c *Client) Delete(ctx context.Context, object Object) (err error) {
	defer lentilerror.Annotate(&err, "delete %s %s", object.kind.APIKind(), object.name)
	options := deleteOptionsDoc{APIVersion: "v1", Kind: "DeleteOptions"}
	options.Preconditions.ResourceVersion = object.resourceVersion
	body, err := json.Marshal(options)
	if err != nil {
		return err
	}
	call := request{method: http.MethodDelete, path: c.objectPath(object.kind, object.name), body: body}
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
	if len(body) > MaxObjectSize {
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

func (r request) isWrite() bool { return r.method != http.MethodGet }

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
	if err = c.waitForLimiter(ctx); err != nil {
		return err
	}
	if call.isWrite() {
		c.calls.writes.Add(1)
	} else {
		c.calls.reads.Add(1)
	}
	response, err := c.send(ctx, call)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1))
	if err != nil {
		return noResponseError(call, err)
	}
	if len(body) > maxResponseSize {
		return &Error{reason: ReasonTooLarge, message: "the answer"}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errorResponse(response, body, call.isWrite())
	}
	if err = json.Unmarshal(body, answer); err != nil {
		return unreadableResponseError(call, err)
	}
	return nil
}

// waitForLimiter waits for the rate limit.
func (c *Client) waitForLimiter(ctx context.Context) (err error) {
	if c.Limiter == nil {
		return nil
	}
	if err = c.Limiter.Wait(ctx); err != nil {
		return &Error{reason: ReasonLimited, message: "the client's own limit", cause: err}
	}
	return nil
}

func (c *Client) send(ctx context.Context, call request) (response *http.Response, err error) {
	address := c.BaseURL + call.path
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
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	response, err = client.Do(message)
	if err != nil {
		return nil, noResponseError(call, err)
	}
	return response, nil
}

// noResponseError classifies a call whose answer didn't come. A write may have taken effect
// unless the connection was never made.
func noResponseError(call request, err error) *Error {
	var operation *net.OpError
	unsent := errors.As(err, &operation) && operation.Op == "dial"
	if call.isWrite() && !unsent {
		return &Error{reason: ReasonOutcomeUnknown, cause: err}
	}
	return &Error{reason: ReasonUnavailable, cause: err}
}

// unreadableResponseError classifies an answer that can't be read: a write has taken effect then,
// but nobody knows as what.
func unreadableResponseError(call request, err error) *Error {
	if call.isWrite() {
		return &Error{reason: ReasonOutcomeUnknown, cause: err}
	}
	return &Error{reason: ReasonFaulty, cause: err}
}

func errorResponse(response *http.Response, body []byte, write bool) *Error {
	var status StatusDoc
	if json.Unmarshal(body, &status) != nil {
		status = StatusDoc{}
	}
	return statusError(response, status, write)
}

func (c *Client) objectPath(kind Kind, name string) string {
	namespace := c.Namespace
	if namespace == "" {
		namespace = DefaultNamespace
	}
	path := "/apis/" + APIGroup + "/" + APIVersion + "/namespaces/" + url.PathEscape(namespace) + "/" + kind.Plural()
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}
