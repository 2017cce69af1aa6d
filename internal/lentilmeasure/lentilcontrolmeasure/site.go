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
	// startTimeout bounds the start of a site.
	startTimeout = 60 * time.Second
	// siteSettleTime is how long a site runs before it is measured.
	siteSettleTime = 2 * time.Second
	// siteMeasureTime is how long a site is measured.
	siteMeasureTime = 8 * time.Second
	// timedChanges is how many changes are timed at the end.
	timedChanges = 3
	// clockTick is the unit of processor time in /proc, a hundredth of a second.
	clockTick = 10 * time.Millisecond
	// designBytesPerSecond is what control may cost a node of the fleet to design for, in bytes a second.
	designBytesPerSecond = 16 << 10
	// targetInForceSeconds is within what a change shall be in force everywhere today.
	targetInForceSeconds = 2
)

// siteShape is one point on an axis.
type siteShape struct {
	balancers, services, copies int
	// changes is how many changes of configuration are accepted in a second.
	changes float64
}

// axis varies one number of a shape.
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

// processLoad is what the processes of a role took, each on average.
type processLoad struct {
	bytesPerSecond float64 // a second
	cores          float64 // share of a core
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
			setup.Progressf("control: %d balancers, %d services of %d copies, %v changes a second", s.balancers, s.services, s.copies, s.changes)
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
	for _, what := range siteMeasures {
		l := fitLine(points[what])
		name := "control.site." + a.name + "." + what
		figures = append(figures,
			lentilfigure.New(name+".slope", l.slope, "for each of "+a.name),
			lentilfigure.New(name+".base", l.intercept, "at 0 "+a.name),
			lentilfigure.New(name+".explained", l.rSquared, "share of variance"))
	}
	return figures
}

// siteMeasures are the names of what is measured at each point.
var siteMeasures = []string{
	"balancer.bytes", "balancer.core", "balancer.megabytes", "agent.bytes", "agent.core", "agent.megabytes", "inForce", "platform",
}

func (a axis) measureShape(ctx context.Context, setup lentilfigure.Setup, s siteShape, points map[string][]point) (figures []lentilfigure.Figure, err error) {
	lab, err := lentillab.New(setup.Binaries)
	if err != nil {
		return nil, err
	}
	defer lab.Close()
	started, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	site, err := lab.StartSite(started, s.newSite())
	if err != nil {
		return nil, err
	}
	values, err := measureSite(ctx, site, s)
	if err != nil {
		return nil, err
	}
	for _, what := range siteMeasures {
		points[what] = append(points[what], point{x: a.value(s), y: values[what].value})
		f := lentilfigure.New(fmt.Sprintf("control.site.%s.%s.%v", a.name, what, a.value(s)), values[what].value, values[what].unit)
		if values[what].bound > 0 {
			f = f.AtMost(values[what].bound)
		}
		figures = append(figures, f)
	}
	return figures, nil
}

// newSite returns a newSite of the shape, as the Consorzio's but for its size.
func (s siteShape) newSite() lentillab.Site {
	site := lentillab.Consorzio()
	model := site.Services[0]
	site.Services = nil
	site.Balancers = s.balancers
	for i := range s.services {
		service := model
		service.Name = fmt.Sprintf("service-%d", i+1)
		service.Port = model.Port + uint16(i)
		service.Copies = s.copies
		service.ColdDuration = 0
		site.Services = append(site.Services, service)
	}
	return site
}

// measuredValue is a measured measuredValue with its unit and, if there is one, its bound.
type measuredValue struct {
	value float64
	unit  string
	bound float64
}

func measureSite(ctx context.Context, site *lentillab.RunningSite, s siteShape) (values map[string]measuredValue, err error) {
	if err = lentillab.Sleep(ctx, siteSettleTime); err != nil {
		return nil, err
	}
	changes := &drainToggler{site: site}
	balancers, agents := siteProcesses(site)
	before, err := readUsages(ctx, site, balancers, agents)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	if err = changes.toggleAtRate(ctx, s.changes); err != nil {
		return nil, err
	}
	after, err := readUsages(ctx, site, balancers, agents)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	balancer := averageLoad(before[:len(balancers)], after[:len(balancers)], seconds)
	agent := averageLoad(before[len(balancers):], after[len(balancers):], seconds)
	inForce, err := changes.worstInForceTime(ctx)
	if err != nil {
		return nil, err
	}
	calls, err := platformCalls(ctx, site)
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
		"platform":           {value: calls, unit: "calls of balancers since the start"},
	}, nil
}

// byteRateBound returns what control may cost at a shape: the bound of today's sizes up to
// four balancers and eleven agents, that of the fleet to design for beyond.
func (s siteShape) byteRateBound() float64 {
	if s.balancers <= 4 && s.services*s.copies <= 11 {
		return targetBytesPerSecond
	}
	return designBytesPerSecond
}

// process is a process to be watched.
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

// processUsage is what a process had used at some time.
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
	// The name in parentheses may hold spaces; the fields after it are numbered from 3.
	fields := strings.Fields(string(stat)[strings.LastIndexByte(string(stat), ')')+1:])
	const user, system, pages = 11, 12, 21
	for _, place := range []int{user, system} {
		ticks, err := strconv.ParseUint(fields[place], 10, 64)
		if err != nil {
			return processUsage{}, err
		}
		r.processorTime += time.Duration(ticks) * clockTick
	}
	resident, err := strconv.ParseUint(fields[pages], 10, 64)
	r.residentBytes = resident * uint64(os.Getpagesize())
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

// toggleAtRate accepts changes at a rate for the time of a measurement.
func (c *drainToggler) toggleAtRate(ctx context.Context, rate float64) (err error) {
	if rate == 0 {
		return lentillab.Sleep(ctx, siteMeasureTime)
	}
	pause := time.Duration(float64(time.Second) / rate)
	end := time.Now().Add(siteMeasureTime)
	for next := time.Now(); next.Before(end); next = next.Add(pause) {
		if err = lentillab.Sleep(ctx, time.Until(next)); err != nil {
			return err
		}
		if _, err = c.toggle(ctx); err != nil {
			return err
		}
	}
	return lentillab.Sleep(ctx, time.Until(end))
}

// worstInForceTime returns the longest worstInForceTime until a change was in force everywhere, as the
// operator's command saw it.
func (c *drainToggler) worstInForceTime(ctx context.Context) (worst float64, err error) {
	for range timedChanges {
		limited, cancel := context.WithTimeout(ctx, startTimeout)
		inForce, err := c.toggle(limited)
		cancel()
		if err != nil {
			return 0, err
		}
		worst = max(worst, inForce.Seconds())
	}
	return worst, nil
}

// platformCalls returns how often balancers have called the platform.
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

// drainToggler makes notes for a site. Each changes one copy: it drains, or takes new work
// again.
type drainToggler struct {
	site      *lentillab.RunningSite
	noteCount int
}

// toggle carries out the next change and returns how long it took to be in force
// everywhere, as the operator's command saw it.
func (c *drainToggler) toggle(ctx context.Context) (inForce time.Duration, err error) {
	c.noteCount++
	draining := c.noteCount%2 == 1
	note := lentilnote.Doc{ID: fmt.Sprintf("change-%d", c.noteCount), Author: "measure", Reason: "measure control"}
	note.Copies.Changed = []lentilnote.ChangedCopyDoc{{Name: c.site.Copies()[0].Name(), Draining: &draining}}
	return c.site.ApplyNote(ctx, note)
}
