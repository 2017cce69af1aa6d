package lentillab

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// versionMetric is the metric by which processes show what they have in force.
const versionMetric = "lentilstair_configuration_version"

// ChangeConfiguration runs a command of operators that changes the configuration, and returns how
// long after its start every process that runs had the change in force, by what the
// processes show themselves. The command hears of it later, with the agents' next
// heartbeats; ChangeConfiguration waits for its end too.
func (r *RunningSite) ChangeConfiguration(ctx context.Context, command string, args ...string) (inForce time.Duration, err error) {
	before := uint64(0)
	for _, b := range r.balancers {
		if text, err := r.GetText(ctx, b.AdminURL()+"/metrics"); err == nil {
			before = max(before, SumMetric(text, versionMetric))
		}
	}
	began := time.Now()
	process, err := r.StartOperatorCommand(command, args...)
	if err != nil {
		return 0, err
	}
	if err = r.awaitNewerVersion(ctx, before, process); err != nil {
		return 0, err
	}
	inForce = time.Since(began)
	_, err = process.Output(ctx)
	return inForce, err
}

// awaitNewerVersion waits until every process that runs has a newer version in force.
func (r *RunningSite) awaitNewerVersion(ctx context.Context, than uint64, operation *Process) (err error) {
	for _, b := range r.balancers {
		if b.process == nil {
			continue
		}
		if err = r.awaitNewerVersionAt(ctx, than, b.process, b.AdminURL(), operation); err != nil {
			return err
		}
	}
	for _, c := range r.copies {
		if c.agent == nil {
			continue
		}
		if err = r.awaitNewerVersionAt(ctx, than, c.agent, c.AdminURL(), operation); err != nil {
			return err
		}
	}
	return nil
}

func (r *RunningSite) awaitNewerVersionAt(ctx context.Context, than uint64, process *Process, admin string, operation *Process) error {
	err := Poll(ctx, func() (ok bool, err error) {
		if operation.Exited() {
			if _, err = operation.Output(ctx); err != nil {
				return false, err
			}
		}
		text, err := r.GetText(ctx, admin+"/metrics")
		return process.Exited() || err == nil && SumMetric(text, versionMetric) > than, nil
	})
	if err != nil {
		return errorx.Decorate(err, "a version after %d is not in force at %s", than, process.Name())
	}
	return nil
}
