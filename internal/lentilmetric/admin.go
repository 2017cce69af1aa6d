package lentilmetric

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"lentilstair.example/lentilstair/internal/lentilserver"
)

// shutdownTimeout is how long answers in progress may still take after the server is stopped.
const shutdownTimeout = time.Second

// Readiness is the answer to whether a process accepts new work.
type Readiness struct {
	// Ready is true while the process accepts new work.
	Ready bool
	// Reason says in a few words why it doesn't.
	Reason string
}

// Admin is the HTTP endpoint for the fabric, operators and metric scrapers:
//
//	/live     200 while the process runs
//	/ready    200 while it accepts new work, otherwise 503 with the reason
//	/metrics  the metrics, in the text format of Prometheus
//
// The zero Admin is always ready and has no metrics.
type Admin struct {
	// Ready returns whether the process accepts new work. nil means that it always does.
	Ready func() Readiness
	// Registry holds the metrics. nil means that there are none.
	Registry *Registry
}

// Handler returns the endpoint's routes.
func (a Admin) Handler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { writeReadiness(w, Readiness{Ready: true}) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { writeReadiness(w, a.readiness()) })
	if a.Registry != nil {
		mux.Handle("GET /metrics", a.Registry.Handler())
	}
	return mux
}

// Serve answers requests on the listener until ctx ends.
func (a Admin) Serve(ctx context.Context, listener net.Listener) (err error) {
	return lentilserver.Serve(ctx, listener, a.Handler(), shutdownTimeout)
}

func (a Admin) readiness() Readiness {
	if a.Ready == nil {
		return Readiness{Ready: true}
	}
	return a.Ready()
}

func writeReadiness(w http.ResponseWriter, readiness Readiness) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	if readiness.Ready {
		_, _ = fmt.Fprintln(w, "ok")
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintln(w, readiness.Reason)
}
