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
	// DefaultTimeout bounds every call except watches.
	DefaultTimeout = 5 * time.Second
	// DefaultNamespace is the namespace of the objects unless the client sets another one.
	DefaultNamespace = "lentilstair"
	// listPageSize is the number of items that are requested per page of a list.
	listPageSize = 500
	// singleItem is the limit of a page whose objects together exceed maxResponseSize. One object fits.
	singleItem = "1"
	// maxResponseSize bounds a response body: an object and the fields around it.
	maxResponseSize = MaxObjectSize + 64<<10
)

// Client calls the platform. BaseURL is required. Every other field may be zero. The
// fields must not change once the client is in use. Calls may run concurrently.
type Client struct {
	// BaseURL is the address of the API, such as "http://192.0.2.1:8001".
	BaseURL string
	// Namespace is the namespace of the objects. Empty means DefaultNamespace.
	Namespace string
	// Token is sent as the bearer token unless it is empty.
	Token string
	// HTTPClient sends the requests. Nil means http.DefaultClient. Its Timeout must be
	// zero, since it would end watches.
	HTTPClient *http.Client
	// Timeout bounds every call except watches. Zero means DefaultTimeout.
	Timeout time.Duration
	// Limiter limits the rate of calls. Nil means no limit. A call that would have to
	// wait beyond its deadline fails with ErrLimited.
	Limiter *rate.Limiter
	// OnInvalid is called with each object of a list that can't be parsed, such as one of another writer. The name is empty
	// if it can't be parsed either. Lists leave such objects out. Nil means no call.
	OnInvalid func(kind Kind, name string, err error)

	calls callCounters
}

type callCounters struct{ reads, writes, watches, failures atomic.Uint64 }

// CallCounts are the numbers of calls that a client has made, by type, and of the calls
// that failed.
type CallCounts struct {
	Reads    uint64
	Writes   uint64
	Watches  uint64
	Failures uint64
}

// Calls returns the numbers of calls made so far.
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
	if err = c.call(ctx, request{method: http.MethodGet, path: c.objectPath(kind, name)}, doc.parse); err != nil {
		return Object{}, err
	}
	return doc.object(kind), nil
}

// List returns the objects of a kind and the resource version from which to start a
// watch.
func (c *Client) List(ctx context.Context, kind Kind) (objects []Object, version string, err error) {
	return c.list(ctx, kind, "application/json")
}

// ListMetadata is like List but returns the objects without their bodies.
func (c *Client) ListMetadata(ctx context.Context, kind Kind) (objects []Object, version string, err error) {
	return c.list(ctx, kind, PartialListMediaType)
}

func (c *Client) list(ctx context.Context, kind Kind, accept string) (objects []Object, version string, err error) {
	defer lentilerror.Annotate(&err, "list %s", kind.Plural())
	query := url.Values{"limit": {strconv.Itoa(listPageSize)}}
	for {
		var page listPage
		req := request{method: http.MethodGet, path: c.objectPath(kind, ""), query: query, accept: accept}
		err = c.call(ctx, req, page.parse)
		if errors.Is(err, ErrTooLarge) && query.Get("limit") != singleItem {
			query.Set("limit", singleItem)
			continue
		}
		if err != nil {
			return nil, "", err
		}
		for _, item := range page.items {
			if item.err == nil {
				objects = append(objects, item.doc.object(kind))
			} else if c.OnInvalid != nil {
				c.OnInvalid(kind, item.doc.Metadata.Name, item.err)
			}
		}
		if page.metadata.Continue == "" {
			return objects, page.metadata.ResourceVersion, nil
		}
		query.Set("continue", page.metadata.Continue)
		query.Set("limit", strconv.Itoa(listPageSize))
	}
}

// Create stores a new object. If an object with that name exists, the error is
// ErrExists.
func (c *Client) Create(ctx context.Context, object Object) (stored Object, err error) {
	defer lentilerror.Annotate(&err, "create %s %s", object.kind.APIKind(), object.name)
	object.resourceVersion = ""
	return c.write(ctx, http.MethodPost, c.objectPath(object.kind, ""), object)
}

// Update replaces an object if its stored resource version is still that of the given
// object. Otherwise the error is ErrConflict.
func (c *Client) Update(ctx context.Context, object Object) (stored Object, err error) {
	defer lentilerror.Annotate(&err, "update %s %s", object.kind.APIKind(), object.name)
	if object.resourceVersion == "" {
		return Object{}, &Error{reason: ReasonRefused, message: "the object has no resource version"}
	}
	return c.write(ctx, http.MethodPut, c.objectPath(object.kind, object.name), object)
}

// Delete deletes an object if its stored resource version is still that of the given
// object. Otherwise the error is ErrConflict or ErrNotFound.
func (c *Client) Delete(ctx context.Context, object Object) (err error) {
	defer lentilerror.Annotate(&err, "delete %s %s", object.kind.APIKind(), object.name)
	options := deleteOptionsDoc{APIVersion: "v1", Kind: "DeleteOptions"}
	options.Preconditions.ResourceVersion = object.resourceVersion
	body, err := json.Marshal(options)
	if err != nil {
		return err
	}
	req := request{method: http.MethodDelete, path: c.objectPath(object.kind, object.name), body: body}
	return c.call(ctx, req, func(body []byte) error { return json.Unmarshal(body, &StatusDoc{}) })
}

// deleteOptionsDoc is the JSON form of the precondition of a deletion.
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
	if err = c.call(ctx, request{method: method, path: path, body: body}, doc.parse); err != nil {
		return Object{}, err
	}
	return doc.object(object.kind), nil
}

// request is a request to the platform.
type request struct {
	method string
	path   string
	query  url.Values
	accept string
	body   []byte
}

func (r request) isWrite() bool { return r.method != http.MethodGet }

// call sends a request within the timeout and the rate limit, counts it, and passes the
// response body to parse.
func (c *Client) call(ctx context.Context, req request, parse func(body []byte) error) (err error) {
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
	if req.isWrite() {
		c.calls.writes.Add(1)
	} else {
		c.calls.reads.Add(1)
	}
	response, err := c.send(ctx, req)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1))
	if err != nil {
		return noResponseError(req, err)
	}
	if len(body) > maxResponseSize {
		return &Error{reason: ReasonTooLarge, message: "the response body"}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errorResponse(response, body, req.isWrite())
	}
	if err = parse(body); err != nil {
		return unreadableResponseError(req, err)
	}
	return nil
}

// waitForLimiter waits until the rate limit permits a call.
func (c *Client) waitForLimiter(ctx context.Context) (err error) {
	if c.Limiter == nil {
		return nil
	}
	if err = c.Limiter.Wait(ctx); err != nil {
		return &Error{reason: ReasonLimited, message: "rate limit of the client", cause: err}
	}
	return nil
}

// send sends a request and returns the response, whatever its status.
func (c *Client) send(ctx context.Context, req request) (response *http.Response, err error) {
	address := c.BaseURL + req.path
	if len(req.query) > 0 {
		address += "?" + req.query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, req.method, address, bytes.NewReader(req.body))
	if err != nil {
		return nil, &Error{reason: ReasonRefused, cause: err}
	}
	if req.accept != "" {
		httpRequest.Header.Set("Accept", req.accept)
	}
	if len(req.body) > 0 {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	if c.Token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	response, err = client.Do(httpRequest)
	if err != nil {
		return nil, noResponseError(req, err)
	}
	return response, nil
}

// noResponseError returns the error of a request without a complete response. A write
// may have taken effect, unless the connection couldn't be established.
func noResponseError(req request, err error) *Error {
	var opError *net.OpError
	notConnected := errors.As(err, &opError) && opError.Op == "dial"
	if req.isWrite() && !notConnected {
		return &Error{reason: ReasonOutcomeUnknown, cause: err}
	}
	return &Error{reason: ReasonUnavailable, cause: err}
}

// unreadableResponseError returns the error of a request whose response can't be parsed.
// A write has then taken effect, but the stored object isn't known.
func unreadableResponseError(req request, err error) *Error {
	if req.isWrite() {
		return &Error{reason: ReasonOutcomeUnknown, cause: err}
	}
	return &Error{reason: ReasonFaulty, cause: err}
}

// errorResponse returns the error for a response with an error status. A body without a
// valid status object is ignored.
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
