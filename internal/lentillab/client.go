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
	// pollInterval is how often a lab asks a process whether it is ready.
	pollInterval = 25 * time.Millisecond
	// requestTimeout bounds a request to an admin endpoint.
	requestTimeout = 2 * time.Second
	// maxBodyBytes bounds an answer of an admin endpoint, in bytes.
	maxBodyBytes = 16 << 20
)

// adminClient asks the admin endpoints of processes.
type adminClient struct{}

// get returns the body of an answer with status 200.
func (adminClient) get(ctx context.Context, url string) (body []byte, err error) {
	return sendRequest(ctx, http.MethodGet, url, nil)
}

func sendRequest(ctx context.Context, method, url string, content []byte) (body []byte, err error) {
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
	body, err = io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errorx.ExternalError.New("%s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return body, err
}

// GetJSON fills doc with the JSON that an admin endpoint answers.
func (r *RunningSite) GetJSON(ctx context.Context, url string, doc any) (err error) {
	body, err := r.adminClient.get(ctx, url)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, doc)
}

// PutJSON sends doc as JSON to an admin endpoint, such as the faults of a stand-in.
func (r *RunningSite) PutJSON(ctx context.Context, url string, doc any) (err error) {
	content, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	_, err = sendRequest(ctx, http.MethodPut, url, content)
	return err
}

// GetText returns the body that an admin endpoint answers, such as metrics.
func (r *RunningSite) GetText(ctx context.Context, url string) (text string, err error) {
	body, err := r.adminClient.get(ctx, url)
	return string(body), err
}

// awaitURL waits until url answers 200, or a process of the lab fails.
func (r *RunningSite) awaitURL(ctx context.Context, name, url string) (err error) {
	var last error
	err = Poll(ctx, func() (ok bool, err error) {
		if _, last = r.adminClient.get(ctx, url); last == nil {
			return true, nil
		}
		if failed := r.lab.Failures(); len(failed) > 0 {
			return false, errorx.ExternalError.New("processes ended by an error: %s", strings.Join(failed, "; "))
		}
		return false, nil
	})
	if ctx.Err() != nil {
		return errorx.TimeoutElapsed.New("%s is not ready: %v", name, last)
	}
	return err
}
