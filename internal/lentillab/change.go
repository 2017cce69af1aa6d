package lentillab

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// versionMetric is the metric by which processes show what they have in force.
const versionMetric = "lentilstair_configuration_version"

// Change runs a command of operators that changes the configuration, and returns how
// long after its start every process that runs had the change in force, by what the
// processes show themselves. The command hears of it later, with the agents' next
// heartbeats; Change waits for its end too.
func (r *Running) Change(ctx context.Context, command string, args ...string) (inForce time.Duration, err error) {
	before := uint64(0)
	for _, b := range r.balancers {
		if text, err := r.Text(ctx, b.Admin()+"/metrics"); err == nil {
			before = max(before, Sum(text, versionMetric))
		}
	}
	began := time.Now()
	process, err := r.StartOperation(command, args...)
	if err != nil {
		return 0, err
	}
	if err = r.awaitNewer(ctx, before, process); err != nil {
		return 0, err
	}
	inForce = time.Since(began)
	_, err = process.Output(ctx)
	return inForce, err
}

// awaitNewer waits until every process that runs has a newer version in force.
func (r *Running) awaitNewer(ctx context.Context, than uint64, operation *Process) (err error) {
	for _, b := range r.balancers {
		if b.process == nil {
			continue
		}
		if err = r.awaitNewerAt(ctx, than, b.process, b.Admin(), operation); err != nil {
			return err
		}
	}
	for _, c := range r.copies {
		if c.agent == nil {
			continue
		}
		if err = r.awaitNewerAt(ctx, than, c.agent, c.Admin(), operation); err != nil {
			return err
		}
	}
	return nil
}

func (r *Running) awaitNewerAt(ctx context.Context, than uint64, process *Process, admin string, operation *Process) error {
	err := Poll(ctx, func() (ok bool, err error) {
		if operation.Over() {
			if _, err = operation.Output(ctx); err != nil {
				return false, err
			}
		}
		text, err := r.Text(ctx, admin+"/metrics")
		return process.Over() || err == nil && Sum(text, versionMetric) > than, nil
	})
	if err != nil {
		return errorx.Decorate(err, "a version after %d is not in force at %s", than, process.Name())
	}
	return nil
}
