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
	// withdrawalGrace is how long after its withdrawal a copy may still get new work.
	withdrawalGrace = 3 * time.Second
)

const (
	// domainOutGrace is how long after the acceptance packets may still reach a failure
	// domain that was taken out.
	domainOutGrace = 3 * time.Second
	// maxMetricsLag is how late agents show their counts, at most.
	maxMetricsLag = 500 * time.Millisecond
	// minWatchDuration is for how long the failure domain is watched after the quiet time.
	minWatchDuration = time.Second
)

// recordChange carries out a change and notes how long it took until it was in force.
func (d *demo) recordChange(name string, do func() (time.Duration, error)) (err error) {
	at := time.Since(d.startedAt)
	took, err := do()
	if err != nil {
		return errorx.Decorate(err, "%s", name)
	}
	d.report.Changes = append(d.report.Changes, ChangeDoc{Name: name, AtSeconds: at.Seconds(), TookMillis: took.Milliseconds()})
	d.printProgress("%5.1f s  %s: in force after %s", at.Seconds(), name, took.Round(time.Millisecond))
	return nil
}

// replaceCopies replaces copies of each service one after another.
func (d *demo) replaceCopies(ctx context.Context) (err error) {
	for i := range d.schedule.replaceCount {
		service := d.site.Site().Services[i]
		old := d.copyOf(service.Name)
		name := fmt.Sprintf("%s-%d", service.Name, service.Copies+1)
		fresh := d.site.AddCopy(service.Name, name, old.Domain())
		if err = d.site.StartCopy(fresh); err != nil {
			return err
		}
		note := lentillab.ReplacementNote("replace-"+strconv.Itoa(i+1), fresh, old)
		err = d.recordChange(old.Name()+" replaced by "+name, func() (time.Duration, error) { return d.site.ApplyNote(ctx, note) })
		if err != nil {
			return err
		}
		l := &withdrawnCopy{copy: old}
		d.withdrawn = append(d.withdrawn, l)
		time.AfterFunc(withdrawalGrace, func() { d.recordCompleted(l) })
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

// recordCompleted notes what a withdrawn copy had done by now.
func (d *demo) recordCompleted(l *withdrawnCopy) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	state, err := d.site.CopyState(ctx, l.copy)
	d.mu.Lock()
	defer d.mu.Unlock()
	l.completed, l.stateRead = state.Completed+uint64(state.InFlight), err == nil
}

// stopBalancer asks one balancer for a graceful stop. It ends while the rest goes on.
func (d *demo) stopBalancer(context.Context) error {
	stopped := d.site.Balancers()[0]
	at := time.Since(d.startedAt)
	began := time.Now()
	stopped.Process().Stop()
	d.printProgress("%5.1f s  %s asked to stop", at.Seconds(), stopped.Name())
	go func() {
		<-stopped.Process().Done()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.report.Changes = append(d.report.Changes, ChangeDoc{
			Name: stopped.Name() + " stopped", AtSeconds: at.Seconds(), TookMillis: time.Since(began).Milliseconds(),
		})
	}()
	return nil
}

// takeDomainOut takes a failure domain out and counts the packets that have reached it
// by the end of the quiet time.
func (d *demo) takeDomainOut(ctx context.Context) (err error) {
	began := time.Now()
	if err = d.recordChange(outDomain+" taken out", func() (time.Duration, error) { return d.site.ChangeConfiguration(ctx, "drain", "domain", outDomain) }); err != nil {
		return err
	}
	if err = lentillab.Sleep(ctx, time.Until(began.Add(domainOutGrace+maxMetricsLag))); err != nil {
		return err
	}
	d.latePackets, err = d.site.DomainPackets(ctx, outDomain)
	d.lateCountStart = time.Now()
	return err
}

// bringDomainBack brings the failure domain back.
func (d *demo) bringDomainBack(ctx context.Context) (err error) {
	if err = lentillab.Sleep(ctx, time.Until(d.lateCountStart.Add(minWatchDuration))); err != nil {
		return err
	}
	after, err := d.site.DomainPackets(ctx, outDomain)
	if err != nil {
		return err
	}
	d.latePackets = after - d.latePackets
	return d.recordChange(outDomain+" brought back", func() (time.Duration, error) { return d.site.ChangeConfiguration(ctx, "restore", "domain", outDomain) })
}
