package lentillab

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// versionMetric is the metric in which a process exports the version of the
// configuration that it has in force.
const versionMetric = "lentilstair_configuration_version"

// ChangeConfiguration runs an operators' command that changes the configuration. It
// returns the time from the command's start until every running process had the change
// in force, as seen in the processes' own metrics. The command itself learns of this
// later, from the agents' next heartbeats; ChangeConfiguration also waits until the
// command exits.
func (r *RunningSite) ChangeConfiguration(ctx context.Context, command string, args ...string) (inForce time.Duration, err error) {
	oldVersion := uint64(0)
	for _, b := range r.balancers {
		if text, err := r.GetText(ctx, b.AdminURL()+"/metrics"); err == nil {
			oldVersion = max(oldVersion, SumMetric(text, versionMetric))
		}
	}
	startedAt := time.Now()
	operatorCommand, err := r.StartOperatorCommand(command, args...)
	if err != nil {
		return 0, err
	}
	if err = r.awaitNewerVersion(ctx, oldVersion, operatorCommand); err != nil {
		return 0, err
	}
	inForce = time.Since(startedAt)
	_, err = operatorCommand.Output(ctx)
	return inForce, err
}

// awaitNewerVersion waits until every running balancer and agent has a version newer
// than oldVersion in force. It fails early if the operators' command fails.
func (r *RunningSite) awaitNewerVersion(ctx context.Context, oldVersion uint64, operatorCommand *Process) (err error) {
	for _, b := range r.balancers {
		if b.process == nil {
			continue
		}
		if err = r.awaitNewerVersionAt(ctx, oldVersion, b.process, b.AdminURL(), operatorCommand); err != nil {
			return err
		}
	}
	for _, c := range r.copies {
		if c.agent == nil {
			continue
		}
		if err = r.awaitNewerVersionAt(ctx, oldVersion, c.agent, c.AdminURL(), operatorCommand); err != nil {
			return err
		}
	}
	return nil
}

func (r *RunningSite) awaitNewerVersionAt(ctx context.Context, oldVersion uint64, process *Process, adminURL string, operatorCommand *Process) error {
	err := Poll(ctx, func() (ok bool, err error) {
		if operatorCommand.Exited() {
			if _, err = operatorCommand.Output(ctx); err != nil {
				return false, err
			}
		}
		text, err := r.GetText(ctx, adminURL+"/metrics")
		return process.Exited() || err == nil && SumMetric(text, versionMetric) > oldVersion, nil
	})
	if err != nil {
		return errorx.Decorate(err, "no version newer than %d is in force at %s", oldVersion, process.Name())
	}
	return nil
}
