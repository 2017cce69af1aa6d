package lentilpacket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// machineProbeTimeout is how long a machine may take to answer a connection attempt. It is shorter than the second
// between two probes of a machine, so that only one is under way.
const machineProbeTimeout = 900 * time.Millisecond

// machineAnswers reports whether an agent's machine answers a connection attempt to the agent's port. Nothing listens
// there, so a machine that runs refuses it.
func machineAnswers(ctx context.Context, agent lentilflow.Endpoint) bool {
	dialer := net.Dialer{Timeout: machineProbeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", agent.AddrPort().String())
	if err == nil {
		_ = conn.Close()
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
