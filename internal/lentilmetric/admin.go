package lentilmetric

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"lentilstair.example/lentilstair/internal/lentilserver"
)

// shutdownTimeout bounds how long answers in progress may take at the end.
const shutdownTimeout = time.Second

// Readiness answers whether a process takes new work.
type Readiness struct {
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
	Ready func() Readiness
	// Registry holds the metrics; nil means none.
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

// Serve answers on the listener until ctx ends.
func (a Admin) Serve(ctx context.Context, listener net.Listener) (err error) {
	return lentilserver.Serve(ctx, listener, a.Handler(), shutdownTimeout)
}

func (a Admin) readiness() Readiness {
	if a.Ready == nil {
		return Readiness{Ready: true}
	}
	return a.Ready()
}

func writeReadiness(w http.ResponseWriter, state Readiness) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	if state.Ready {
		_, _ = fmt.Fprintln(w, "ok")
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintln(w, state.Reason)
}
