package lentilnode

import (
	"context"
	"io"
	"net/netip"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilprocess"
	"lentilstair.example/lentilstair/internal/lentilsetting"
)

// Role is what a process is, as far as both roles have it in their settings.
type Role struct {
	// Name is the name of the role, and Instance that of this balancer or copy.
	Name, Instance string
	// LogLevel is the least urgent level that is logged.
	LogLevel lentilevent.Level
	// AdminAddress is the address of ready, live and metrics.
	AdminAddress netip.AddrPort
	// Keys are the shared secrets, the signing one first.
	Keys []lentilsetting.Key
}

// Run runs a role until it has ended by itself or by signals, as lentilprocess.Run does,
// and writes its events to log.
func (r Role) Run(ctx context.Context, log io.Writer, run func(graceful, forced context.Context, common *Runtime) error) error {
	logger := lentilevent.New(log, r.LogLevel).
		With(lentilevent.Str("role", r.Name), lentilevent.Str("name", r.Instance))
	return lentilprocess.Run(ctx, logger, func(graceful, forced context.Context) (err error) {
		common, err := r.newRuntime(logger)
		if err != nil {
			return err
		}
		defer common.close()
		return run(graceful, forced, common)
	})
}
