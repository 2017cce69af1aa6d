package lentilnode

import (
	"context"
	"io"
	"net/netip"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilprocess"
	"lentilstair.example/lentilstair/internal/lentilsetting"
)

// Role holds the settings that balancers and agents have in common.
type Role struct {
	// Name is the name of the role. Instance is the name of this balancer or copy.
	Name, Instance string
	// LogLevel is the lowest level that is logged.
	LogLevel lentilevent.Level
	// AdminAddress is the address of the admin endpoint, which serves /ready, /live and
	// /metrics.
	AdminAddress netip.AddrPort
	// Keys are the shared secrets. The first one signs.
	Keys []lentilsetting.Key
}

// Run calls run and handles stop signals as lentilprocess.Run does. The role's events are
// written to log.
func (r Role) Run(ctx context.Context, log io.Writer, run func(graceful, forced context.Context, runtime *Runtime) error) error {
	logger, buffer := lentilevent.NewBuffered(log, r.LogLevel, lentilevent.Str("role", r.Name), lentilevent.Str("name", r.Instance))
	defer buffer.Close()
	return lentilprocess.Run(ctx, logger, func(graceful, forced context.Context) (err error) {
		runtime, err := r.newRuntime(logger, buffer)
		if err != nil {
			return err
		}
		defer runtime.close()
		return run(graceful, forced, runtime)
	})
}
