package lentiloperator

import (
	"context"
	"fmt"

	"lentilstair.example/lentilstair/pkg/lentilapply"
)

// Execute performs the actions of a run until it is complete or ctx ends, and writes its
// progress. If ctx ends first, the report shows how far the run came. After every
// CleanupInterval-th version it removes stored objects that are no longer needed.
func (s *Session) Execute(ctx context.Context, run *lentilapply.Run) (report lentilapply.Report) {
	run.Random = s.Random
	run.CanQueryNodes = s.Survey != nil
	run.Start(s.Clock.Now())
	lastLine := ""
	for {
		action := run.Action()
		if action.Kind() == lentilapply.ActionDone {
			break
		}
		if ctx.Err() != nil {
			run.Interrupt(ctx.Err())
			break
		}
		answer := s.perform(ctx, action)
		run.Handle(s.Clock.Now(), answer)
		if line := progressLine(run); line != lastLine {
			lastLine = line
			_, _ = fmt.Fprintln(s.Progress, line)
		}
	}
	report = run.Report()
	if report.Outcome() == lentilapply.OutcomeAccepted && report.Version()%lentilapply.CleanupInterval == 0 {
		s.CleanUp(ctx)
	}
	return report
}

// CleanUp removes stored shards that the configuration no longer needs, and old audit
// records. Errors are ignored, because the next cleanup removes what this one left.
func (s *Session) CleanUp(ctx context.Context) {
	var cleanup lentilapply.Cleanup
	for ctx.Err() == nil && cleanup.Action().Kind() != lentilapply.ActionDone {
		cleanup.Handle(s.perform(ctx, cleanup.Action()))
	}
}

// perform performs an action of a run or cleanup and returns its answer.
func (s *Session) perform(ctx context.Context, action lentilapply.Action) (answer lentilapply.Answer) {
	object := action.Object()
	switch action.Kind() {
	case lentilapply.ActionGet:
		answer.Object, answer.Err = s.Client.Get(ctx, object.Kind(), object.Name())
	case lentilapply.ActionList:
		answer.Objects, _, answer.Err = s.Client.ListMetadata(ctx, object.Kind())
	case lentilapply.ActionCreate:
		answer.Object, answer.Err = s.Client.Create(ctx, object)
	case lentilapply.ActionUpdate:
		answer.Object, answer.Err = s.Client.Update(ctx, object)
	case lentilapply.ActionDelete:
		answer.Err = s.Client.Delete(ctx, object)
	case lentilapply.ActionQueryNodes:
		answer.Nodes, answer.Err = s.queryNodes(ctx)
	case lentilapply.ActionFetchConfiguration:
		answer.Document, answer.Err = s.FetchConfiguration(ctx)
	case lentilapply.ActionWait:
		sleep(ctx, action.Wait())
	}
	return answer
}

// progressLine describes the progress of a run in one line.
func progressLine(run *lentilapply.Run) string {
	report := run.Report()
	switch step := run.Step(); {
	case step == lentilapply.StepSpread || step == lentilapply.StepDone:
		if len(report.Nodes()) == 0 {
			return fmt.Sprintf("version %d: waiting for the nodes", report.Version())
		}
		inForce := len(report.Nodes()) - len(report.NodesBehind())
		return fmt.Sprintf("version %d: in force at %d of %d nodes", report.Version(), inForce, len(report.Nodes()))
	case step >= lentilapply.StepIntent:
		return "writing"
	default:
		return "reading"
	}
}
