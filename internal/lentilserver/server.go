// Package lentilserver has the loops of sockets that are served until they are
// stopped: plain HTTP for the admin endpoints and the stand-ins, and datagrams.
package lentilserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilerror"
)

// headerTimeout bounds how long a client may take to send its request's header.
const headerTimeout = 5 * time.Second

// Serve answers HTTP requests on the listener until ctx ends. Then it takes no new
// ones, lets answers in progress go on for the grace at most, and cuts the rest.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, grace time.Duration) (err error) {
	defer lentilerror.Annotate(&err, "serve on %s", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err = <-ended:
		return err
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err = server.Shutdown(limited); errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}
