package lentildemo

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentillab"
)

const (
	// outDomain is the failure domain that is taken out and brought back.
	outDomain = "siracusa"
	// leaveTime is how long after its withdrawal a copy may still get new work.
	leaveTime = 3 * time.Second
)

const (
	// quietTime is how long after the acceptance packets may still reach a failure
	// domain that was taken out.
	quietTime = 3 * time.Second
	// countLag is how late agents show their counts, at most.
	countLag = 500 * time.Millisecond
	// leastWatch is for how long the failure domain is watched after the quiet time.
	leastWatch = time.Second
)

// timed carries out a change and notes how long it took until it was in force.
func (d *demo) timed(name string, do func() (time.Duration, error)) (err error) {
	at := time.Since(d.began)
	took, err := do()
	if err != nil {
		return errorx.Decorate(err, "%s", name)
	}
	d.report.Changes = append(d.report.Changes, ChangeDoc{Name: name, AtSeconds: at.Seconds(), TookMillis: took.Milliseconds()})
	d.note("%5.1f s  %s: in force after %s", at.Seconds(), name, took.Round(time.Millisecond))
	return nil
}

// replaceCopies replaces copies of each service one after another.
func (d *demo) replaceCopies(ctx context.Context) (err error) {
	for i := range d.times.replaced {
		service := d.site.Site().Services[i]
		old := d.copyOf(service.Name)
		name := fmt.Sprintf("%s-%d", service.Name, service.Copies+1)
		fresh := d.site.PlanCopy(service.Name, name, old.Domain())
		if err = d.site.StartCopy(fresh); err != nil {
			return err
		}
		note := lentillab.ReplaceNote("replace-"+strconv.Itoa(i+1), fresh, old)
		err = d.timed(old.Name()+" replaced by "+name, func() (time.Duration, error) { return d.site.Apply(ctx, note) })
		if err != nil {
			return err
		}
		l := &leaver{copy: old}
		d.leaving = append(d.leaving, l)
		time.AfterFunc(leaveTime, func() { d.watchLeaver(l) })
		if err = d.site.AwaitCopy(ctx, fresh); err != nil {
			return err
		}
	}
	return nil
}

// copyOf returns the first copy of a service.
func (d *demo) copyOf(service string) *lentillab.Copy {
	for _, c := range d.site.Copies() {
		if c.Service() == service {
			return c
		}
	}
	return nil
}

// watchLeaver notes what a withdrawn copy had done by now.
func (d *demo) watchLeaver(l *leaver) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	state, err := d.site.State(ctx, l.copy)
	d.mu.Lock()
	defer d.mu.Unlock()
	l.done, l.seen = state.Completed+uint64(state.InFlight), err == nil
}

// stopBalancer asks one balancer for a graceful stop. It ends while the rest goes on.
func (d *demo) stopBalancer(context.Context) error {
	stopped := d.site.Balancers()[0]
	at := time.Since(d.began)
	began := time.Now()
	stopped.Process().Stop()
	d.note("%5.1f s  %s asked to stop", at.Seconds(), stopped.Name())
	go func() {
		<-stopped.Process().Ended()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.report.Changes = append(d.report.Changes, ChangeDoc{
			Name: stopped.Name() + " stopped", AtSeconds: at.Seconds(), TookMillis: time.Since(began).Milliseconds(),
		})
	}()
	return nil
}

// takeOut takes a failure domain out and counts the packets that have reached it
// by the end of the quiet time.
func (d *demo) takeOut(ctx context.Context) (err error) {
	began := time.Now()
	if err = d.timed(outDomain+" taken out", func() (time.Duration, error) { return d.site.Change(ctx, "drain", "domain", outDomain) }); err != nil {
		return err
	}
	if err = lentillab.Pause(ctx, time.Until(began.Add(quietTime+countLag))); err != nil {
		return err
	}
	d.late, err = d.site.PacketsInto(ctx, outDomain)
	d.lateFrom = time.Now()
	return err
}

// bringBack brings the failure domain back.
func (d *demo) bringBack(ctx context.Context) (err error) {
	if err = lentillab.Pause(ctx, time.Until(d.lateFrom.Add(leastWatch))); err != nil {
		return err
	}
	after, err := d.site.PacketsInto(ctx, outDomain)
	if err != nil {
		return err
	}
	d.late = after - d.late
	return d.timed(outDomain+" brought back", func() (time.Duration, error) { return d.site.Change(ctx, "restore", "domain", outDomain) })
}
