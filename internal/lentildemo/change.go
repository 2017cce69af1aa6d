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
	// outDomain is the failure domain that is taken out of service and later returned
	// to service.
	outDomain = "siracusa"
	// withdrawalGrace is how long a copy may still get new requests after its withdrawal.
	withdrawalGrace = 3 * time.Second
)

const (
	// domainOutGrace is how long packets may still reach a failure domain after the
	// change that takes it out of service was started.
	domainOutGrace = 3 * time.Second
	// maxMetricsLag bounds the delay until a packet shows in the agents' metrics.
	maxMetricsLag = 500 * time.Millisecond
	// minWatchDuration is how long the packets into the failure domain are counted, at
	// least. The count starts after domainOutGrace and maxMetricsLag.
	minWatchDuration = time.Second
)

// recordChange runs a change and records how long it took until it was in force.
func (d *demo) recordChange(name string, change func() (time.Duration, error)) (err error) {
	at := time.Since(d.startedAt)
	took, err := change()
	if err != nil {
		return errorx.Decorate(err, "%s", name)
	}
	d.report.Changes = append(d.report.Changes, ChangeDoc{Name: name, AtSeconds: at.Seconds(), TookMillis: took.Milliseconds()})
	d.printProgress("%5.1f s  %s: in force after %s", at.Seconds(), name, took.Round(time.Millisecond))
	return nil
}

// replaceCopies replaces one copy of each of the first replaceCount services, one
// after another.
func (d *demo) replaceCopies(ctx context.Context) (err error) {
	for i := range d.schedule.replaceCount {
		service := d.site.Site().Services[i]
		oldCopy := d.copyOf(service.Name)
		name := fmt.Sprintf("%s-%d", service.Name, service.Copies+1)
		newCopy := d.site.AddCopy(service.Name, name, oldCopy.Domain())
		if err = d.site.StartCopy(newCopy); err != nil {
			return err
		}
		note := lentillab.ReplacementNote("replace-"+strconv.Itoa(i+1), newCopy, oldCopy)
		err = d.recordChange(oldCopy.Name()+" replaced by "+name, func() (time.Duration, error) { return d.site.ApplyNote(ctx, note) })
		if err != nil {
			return err
		}
		w := &withdrawnCopy{copy: oldCopy}
		d.withdrawn = append(d.withdrawn, w)
		time.AfterFunc(withdrawalGrace, func() { d.recordCompleted(w) })
		if err = d.site.AwaitCopy(ctx, newCopy); err != nil {
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

// recordCompleted records how many requests a withdrawn copy has completed or has in
// flight.
func (d *demo) recordCompleted(w *withdrawnCopy) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	state, err := d.site.CopyState(ctx, w.copy)
	d.mu.Lock()
	defer d.mu.Unlock()
	w.completed, w.stateRead = state.Completed+uint64(state.InFlight), err == nil
}

// stopBalancer requests a graceful stop of one balancer. It doesn't wait for the stop:
// the time that the stop takes is recorded while the schedule continues.
func (d *demo) stopBalancer(context.Context) error {
	balancer := d.site.Balancers()[0]
	at := time.Since(d.startedAt)
	stopRequested := time.Now()
	balancer.Process().Stop()
	d.printProgress("%5.1f s  %s asked to stop", at.Seconds(), balancer.Name())
	go func() {
		<-balancer.Process().Done()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.report.Changes = append(d.report.Changes, ChangeDoc{
			Name: balancer.Name() + " stopped", AtSeconds: at.Seconds(), TookMillis: time.Since(stopRequested).Milliseconds(),
		})
	}()
	return nil
}

// takeDomainOut takes the failure domain outDomain out of service. After domainOutGrace
// it stores how many packets have reached the failure domain so far.
func (d *demo) takeDomainOut(ctx context.Context) (err error) {
	changeStart := time.Now()
	if err = d.recordChange(outDomain+" taken out of service", func() (time.Duration, error) {
		return d.site.ChangeConfiguration(ctx, "drain", "domain", outDomain)
	}); err != nil {
		return err
	}
	if err = lentillab.Sleep(ctx, time.Until(changeStart.Add(domainOutGrace+maxMetricsLag))); err != nil {
		return err
	}
	d.latePackets, err = d.site.DomainPackets(ctx, outDomain)
	d.lateCountStart = time.Now()
	return err
}

// bringDomainBack computes how many packets have reached the failure domain since
// lateCountStart, then returns it to service.
func (d *demo) bringDomainBack(ctx context.Context) (err error) {
	if err = lentillab.Sleep(ctx, time.Until(d.lateCountStart.Add(minWatchDuration))); err != nil {
		return err
	}
	total, err := d.site.DomainPackets(ctx, outDomain)
	if err != nil {
		return err
	}
	d.latePackets = total - d.latePackets
	return d.recordChange(outDomain+" returned to service", func() (time.Duration, error) {
		return d.site.ChangeConfiguration(ctx, "restore", "domain", outDomain)
	})
}
