package lentilcontrolmeasure

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentillab"
	"lentilstair.example/lentilstair/pkg/lentilnote"
)

const (
	// startTimeout limits the start of a site.
	startTimeout = 60 * time.Second
	// siteSettleTime is how long a site runs before the measurement.
	siteSettleTime = 2 * time.Second
	// siteMeasureTime is the length of the measurement.
	siteMeasureTime = 8 * time.Second
	// timedChanges is the number of changes whose time until they are in force is measured at the
	// end.
	timedChanges = 3
	// clockTick is the unit of processor time in /proc, a hundredth of a second.
	clockTick = 10 * time.Millisecond
	// designBytesPerSecond is the upper bound of a node's control traffic at the design size.
	designBytesPerSecond = 16 << 10
	// targetInForceSeconds is the upper bound of the time until a change is in force everywhere,
	// at the sizes of existing deployments.
	targetInForceSeconds = 2
)

// siteShape is the size of a site and its rate of changes, one point on an axis.
type siteShape struct {
	balancers, services, copies int
	// changes is the number of configuration changes per second.
	changes float64
}

// axis varies one property of a shape.
type axis struct {
	name   string
	value  func(siteShape) float64
	shapes []siteShape
}

func axes() []axis {
	return []axis{
		{"balancers", func(s siteShape) float64 { return float64(s.balancers) },
			[]siteShape{{3, 2, 4, 0}, {6, 2, 4, 0}, {12, 2, 4, 0}, {24, 2, 4, 0}}},
		{"agents", func(s siteShape) float64 { return float64(s.services * s.copies) },
			[]siteShape{{4, 2, 2, 0}, {4, 2, 4, 0}, {4, 2, 8, 0}, {4, 2, 16, 0}}},
		{"services", func(s siteShape) float64 { return float64(s.services) },
			[]siteShape{{4, 1, 16, 0}, {4, 2, 8, 0}, {4, 4, 4, 0}, {4, 8, 2, 0}}},
		{"changes", func(s siteShape) float64 { return s.changes },
			[]siteShape{{4, 2, 4, 0}, {4, 2, 4, 0.15}, {4, 2, 4, 0.3}, {4, 2, 4, 0.6}}},
	}
}

// processLoad is the mean resource usage of the processes of a role.
type processLoad struct {
	bytesPerSecond float64 // of control traffic
	cores          float64
	megabytes      float64 // resident
}

// measureSites runs sites of real processes along each axis.
func measureSites(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	for _, a := range axes() {
		shapes := a.shapes
		if setup.Short {
			shapes = shapes[:1]
		}
		points := map[string][]point{}
		for _, s := range shapes {
			setup.Progressf("control: %d balancers, %d services of %d copies, %v changes per second", s.balancers, s.services, s.copies, s.changes)
			more, err := a.measureShape(ctx, setup, s, points)
			figures = append(figures, more...)
			if err != nil {
				return figures, err
			}
		}
		figures = append(figures, a.fitFigures(points)...)
	}
	return figures, nil
}

func (a axis) fitFigures(points map[string][]point) (figures []lentilfigure.Figure) {
	for _, quantity := range siteMeasures {
		l := fitLine(points[quantity])
		name := "control.site." + a.name + "." + quantity
		figures = append(figures,
			lentilfigure.New(name+".slope", l.slope, "for each of "+a.name),
			lentilfigure.New(name+".base", l.intercept, "at 0 "+a.name),
			lentilfigure.New(name+".explained", l.rSquared, "share of variance"))
	}
	return figures
}

// siteMeasures are the names of the quantities that are measured at each point.
var siteMeasures = []string{
	"balancer.bytes", "balancer.core", "balancer.megabytes", "agent.bytes", "agent.core", "agent.megabytes", "inForce", "platform",
}

func (a axis) measureShape(ctx context.Context, setup lentilfigure.Setup, s siteShape, points map[string][]point) (figures []lentilfigure.Figure, err error) {
	lab, err := lentillab.New(setup.Binaries)
	if err != nil {
		return nil, err
	}
	defer lab.Close()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	site, err := lab.StartSite(startCtx, s.newSite())
	if err != nil {
		return nil, err
	}
	values, err := measureSite(ctx, site, s)
	if err != nil {
		return nil, err
	}
	for _, quantity := range siteMeasures {
		points[quantity] = append(points[quantity], point{x: a.value(s), y: values[quantity].value})
		f := lentilfigure.New(fmt.Sprintf("control.site.%s.%s.%v", a.name, quantity, a.value(s)), values[quantity].value, values[quantity].unit)
		if values[quantity].bound > 0 {
			f = f.AtMost(values[quantity].bound)
		}
		figures = append(figures, f)
	}
	return figures, nil
}

// newSite returns a site with the size of the shape. In other respects it is like the
// Consorzio's site, but its copies are never cold.
func (s siteShape) newSite() lentillab.Site {
	site := lentillab.Consorzio()
	template := site.Services[0]
	site.Services = nil
	site.Balancers = s.balancers
	for i := range s.services {
		service := template
		service.Name = fmt.Sprintf("service-%d", i+1)
		service.Port = template.Port + uint16(i)
		service.Copies = s.copies
		service.ColdDuration = 0
		site.Services = append(site.Services, service)
	}
	return site
}

// measuredValue is a measured value with its unit and its upper bound. A bound of zero means
// none.
type measuredValue struct {
	value float64
	unit  string
	bound float64
}

func measureSite(ctx context.Context, site *lentillab.RunningSite, s siteShape) (values map[string]measuredValue, err error) {
	if err = lentillab.Sleep(ctx, siteSettleTime); err != nil {
		return nil, err
	}
	toggler := &drainToggler{site: site}
	balancers, agents := siteProcesses(site)
	before, err := readUsages(ctx, site, balancers, agents)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err = toggler.toggleAtRate(ctx, s.changes); err != nil {
		return nil, err
	}
	after, err := readUsages(ctx, site, balancers, agents)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(start).Seconds()
	balancer := averageLoad(before[:len(balancers)], after[:len(balancers)], seconds)
	agent := averageLoad(before[len(balancers):], after[len(balancers):], seconds)
	inForce, err := toggler.worstInForceTime(ctx)
	if err != nil {
		return nil, err
	}
	platformCallCount, err := platformCalls(ctx, site)
	if err != nil {
		return nil, err
	}
	return map[string]measuredValue{
		"balancer.bytes":     {value: balancer.bytesPerSecond, unit: "bytes/s a balancer", bound: s.byteRateBound()},
		"balancer.core":      {value: balancer.cores * 100, unit: "% of a core a balancer"},
		"balancer.megabytes": {value: balancer.megabytes, unit: "MB resident a balancer"},
		"agent.bytes":        {value: agent.bytesPerSecond, unit: "bytes/s an agent", bound: targetBytesPerSecond},
		"agent.core":         {value: agent.cores * 100, unit: "% of a core an agent"},
		"agent.megabytes":    {value: agent.megabytes, unit: "MB resident an agent"},
		"inForce":            {value: inForce, unit: "s, worst of three changes", bound: targetInForceSeconds},
		"platform":           {value: platformCallCount, unit: "calls of balancers since the start"},
	}, nil
}

// byteRateBound returns the upper bound of a balancer's control traffic. Sites with up to four
// balancers and eleven agents have the bound of existing deployments, larger sites that of the
// design size.
func (s siteShape) byteRateBound() float64 {
	if s.balancers <= 4 && s.services*s.copies <= 11 {
		return targetBytesPerSecond
	}
	return designBytesPerSecond
}

// process is a process to measure.
type process struct {
	pid      int
	adminURL string
}

func siteProcesses(site *lentillab.RunningSite) (balancers, agents []process) {
	for _, b := range site.Balancers() {
		balancers = append(balancers, process{pid: b.Process().PID(), adminURL: b.AdminURL()})
	}
	for _, c := range site.Copies() {
		agents = append(agents, process{pid: c.Agent().PID(), adminURL: c.AdminURL()})
	}
	return balancers, agents
}

// processUsage is the resource usage of a process up to some time.
type processUsage struct {
	controlBytes  uint64
	processorTime time.Duration
	residentBytes uint64
}

func readUsages(ctx context.Context, site *lentillab.RunningSite, lists ...[]process) (readings []processUsage, err error) {
	for _, list := range lists {
		for _, p := range list {
			r, err := p.readUsage(ctx, site)
			if err != nil {
				return nil, err
			}
			readings = append(readings, r)
		}
	}
	return readings, nil
}

func (p process) readUsage(ctx context.Context, site *lentillab.RunningSite) (r processUsage, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "read process %d", p.pid)
		}
	}()
	text, err := site.GetText(ctx, p.adminURL+"/metrics")
	if err != nil {
		return processUsage{}, err
	}
	r.controlBytes = lentillab.SumMetric(text, "lentilstair_control_bytes")
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid))
	if err != nil {
		return processUsage{}, err
	}
	// The process name in parentheses may contain spaces. The fields are therefore taken from
	// behind it; fields[0] is field 3 of proc(5).
	fields := strings.Fields(string(stat)[strings.LastIndexByte(string(stat), ')')+1:])
	const user, system, pages = 11, 12, 21
	for _, index := range []int{user, system} {
		ticks, err := strconv.ParseUint(fields[index], 10, 64)
		if err != nil {
			return processUsage{}, err
		}
		r.processorTime += time.Duration(ticks) * clockTick
	}
	residentPages, err := strconv.ParseUint(fields[pages], 10, 64)
	r.residentBytes = residentPages * uint64(os.Getpagesize())
	return r, err
}

func averageLoad(before, after []processUsage, seconds float64) (l processLoad) {
	n := float64(len(before))
	for i := range before {
		l.bytesPerSecond += float64(after[i].controlBytes-before[i].controlBytes) / seconds / n
		l.cores += (after[i].processorTime - before[i].processorTime).Seconds() / seconds / n
		l.megabytes += float64(after[i].residentBytes) / (1 << 20) / n
	}
	return l
}

// toggleAtRate applies changes at a rate, in changes per second, for siteMeasureTime.
func (t *drainToggler) toggleAtRate(ctx context.Context, rate float64) (err error) {
	if rate == 0 {
		return lentillab.Sleep(ctx, siteMeasureTime)
	}
	pause := time.Duration(float64(time.Second) / rate)
	end := time.Now().Add(siteMeasureTime)
	for next := time.Now(); next.Before(end); next = next.Add(pause) {
		if err = lentillab.Sleep(ctx, time.Until(next)); err != nil {
			return err
		}
		if _, err = t.toggle(ctx); err != nil {
			return err
		}
	}
	return lentillab.Sleep(ctx, time.Until(end))
}

// worstInForceTime applies a few changes. It returns the longest time in seconds until a change
// was in force everywhere, as reported by the operator's command.
func (t *drainToggler) worstInForceTime(ctx context.Context) (worst float64, err error) {
	for range timedChanges {
		limitedCtx, cancel := context.WithTimeout(ctx, startTimeout)
		inForce, err := t.toggle(limitedCtx)
		cancel()
		if err != nil {
			return 0, err
		}
		worst = max(worst, inForce.Seconds())
	}
	return worst, nil
}

// platformCalls returns the number of calls that the balancers have made to the platform.
func platformCalls(ctx context.Context, site *lentillab.RunningSite) (calls float64, err error) {
	for _, b := range site.Balancers() {
		text, err := site.GetText(ctx, b.AdminURL()+"/metrics")
		if err != nil {
			return 0, err
		}
		calls += float64(lentillab.SumMetric(text, "lentilstair_platform_calls"))
	}
	return calls, nil
}

// drainToggler applies release notes to a site. The notes set one copy to draining and back, in
// turn.
type drainToggler struct {
	site      *lentillab.RunningSite
	noteCount int
}

// toggle applies the next note. It returns the time until the change was in force everywhere, as
// reported by the operator's command.
func (t *drainToggler) toggle(ctx context.Context) (inForce time.Duration, err error) {
	t.noteCount++
	draining := t.noteCount%2 == 1
	note := lentilnote.Doc{ID: fmt.Sprintf("change-%d", t.noteCount), Author: "measure", Reason: "measure control"}
	note.Copies.Changed = []lentilnote.ChangedCopyDoc{{Name: t.site.Copies()[0].Name(), Draining: &draining}}
	return t.site.ApplyNote(ctx, note)
}
