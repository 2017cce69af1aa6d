package lentillab

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// pollPeriod is how often a lab asks a process whether it is ready.
	pollPeriod = 25 * time.Millisecond
	// requestTimeout bounds a request to an admin endpoint.
	requestTimeout = 2 * time.Second
	// maxBody bounds an answer of an admin endpoint, in bytes.
	maxBody = 16 << 20
)

// client asks the admin endpoints of processes.
type client struct{}

// get returns the body of an answer with status 200.
func (client) get(ctx context.Context, url string) (body []byte, err error) {
	return exchange(ctx, http.MethodGet, url, nil)
}

func exchange(ctx context.Context, method, url string, content []byte) (body []byte, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "%s %s", method, url)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errorx.ExternalError.New("%s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return body, err
}

// Get fills doc with the JSON that an admin endpoint answers.
func (r *Running) Get(ctx context.Context, url string, doc any) (err error) {
	body, err := r.client.get(ctx, url)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, doc)
}

// Put sends doc as JSON to an admin endpoint, such as the faults of a stand-in.
func (r *Running) Put(ctx context.Context, url string, doc any) (err error) {
	content, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	_, err = exchange(ctx, http.MethodPut, url, content)
	return err
}

// Text returns the body that an admin endpoint answers, such as metrics.
func (r *Running) Text(ctx context.Context, url string) (text string, err error) {
	body, err := r.client.get(ctx, url)
	return string(body), err
}

// awaitURL waits until url answers 200, or a process of the lab fails.
func (r *Running) awaitURL(ctx context.Context, name, url string) (err error) {
	var last error
	err = Poll(ctx, func() (ok bool, err error) {
		if _, last = r.client.get(ctx, url); last == nil {
			return true, nil
		}
		if failed := r.lab.Failed(); len(failed) > 0 {
			return false, errorx.ExternalError.New("processes ended by an error: %s", strings.Join(failed, "; "))
		}
		return false, nil
	})
	if ctx.Err() != nil {
		return errorx.TimeoutElapsed.New("%s is not ready: %v", name, last)
	}
	return err
}
