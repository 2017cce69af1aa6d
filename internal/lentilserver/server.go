// Package lentilserver serves sockets until they are stopped: plain HTTP, as for the admin
// endpoints and the stand-ins in internal/lentilstand, and UDP datagrams.
package lentilserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilerror"
)

// headerTimeout bounds how long a client may take to send the header of a request.
const headerTimeout = 5 * time.Second

// Serve answers HTTP requests on the listener until ctx ends. It then accepts no new
// requests, waits up to grace for requests in progress, and closes the connections of
// the rest.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, grace time.Duration) (err error) {
	defer lentilerror.Annotate(&err, "serve on %s", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err = <-served:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err = server.Shutdown(shutdownCtx); errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}
