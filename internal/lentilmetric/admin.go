package lentilmetric

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// headerTimeout bounds how long a client may take to send its request's header.
	headerTimeout = 5 * time.Second
	// stopTimeout bounds how long answers in progress may take at the end.
	stopTimeout = time.Second
)

// State answers whether a process takes new work.
type State struct {
	// Ready is true while the process takes new work.
	Ready bool
	// Reason says why it does not, in a few words.
	Reason string
}

// Admin is the endpoint for the fabric, for operators and for scrapes:
//
//	/live     200 while the process runs
//	/ready    200 while it takes new work, otherwise 503 with the reason
//	/metrics  the metrics, in the text format of Prometheus
//
// The zero Admin is always ready and has no metrics.
type Admin struct {
	// Ready answers whether the process takes new work; nil means that it does.
	Ready func() State
	// Registry holds the metrics; nil means none.
	Registry *Registry
}

// Handler returns the endpoint's routes.
func (a Admin) Handler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { answer(w, State{Ready: true}) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { answer(w, a.state()) })
	if a.Registry != nil {
		mux.Handle("GET /metrics", a.Registry.Handler())
	}
	return mux
}

// Serve answers on the listener until ctx ends.
func (a Admin) Serve(ctx context.Context, listener net.Listener) (err error) {
	return Serve(ctx, listener, a.Handler())
}

// Serve answers HTTP requests on the listener until ctx ends, then lets answers
// in progress finish for a moment.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) (err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "serve on %s", listener.Addr())
		}
	}()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err = <-ended:
		return err
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err = server.Shutdown(limited); errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}

func (a Admin) state() State {
	if a.Ready == nil {
		return State{Ready: true}
	}
	return a.Ready()
}

func answer(w http.ResponseWriter, state State) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	if state.Ready {
		_, _ = fmt.Fprintln(w, "ok")
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintln(w, state.Reason)
}
