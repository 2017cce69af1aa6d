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
	// calmTime is how long a site runs before it is measured.
	calmTime = 2 * time.Second
	// siteTime is how long a site is measured.
	siteTime = 8 * time.Second
	// probeChanges is how many changes are timed at the end.
	probeChanges = 3
	// clockTick is the unit of processor time in /proc, a hundredth of a second.
	clockTick = 10 * time.Millisecond
	// fleetBytes is what control may cost a node of the fleet to design for, in bytes a second.
	fleetBytes = 16 << 10
	// targetSeconds is within what a change shall be in force everywhere today.
	targetSeconds = 2
)

// shape is one point on an axis.
type shape struct {
	balancers, services, copies int
	// changes is how many changes of configuration are accepted in a second.
	changes float64
}

// axis varies one number of a shape.
type axis struct {
	name   string
	value  func(shape) float64
	shapes []shape
}

func axes() []axis {
	return []axis{
		{"balancers", func(s shape) float64 { return float64(s.balancers) },
			[]shape{{3, 2, 4, 0}, {6, 2, 4, 0}, {12, 2, 4, 0}, {24, 2, 4, 0}}},
		{"agents", func(s shape) float64 { return float64(s.services * s.copies) },
			[]shape{{4, 2, 2, 0}, {4, 2, 4, 0}, {4, 2, 8, 0}, {4, 2, 16, 0}}},
		{"services", func(s shape) float64 { return float64(s.services) },
			[]shape{{4, 1, 16, 0}, {4, 2, 8, 0}, {4, 4, 4, 0}, {4, 8, 2, 0}}},
		{"changes", func(s shape) float64 { return s.changes },
			[]shape{{4, 2, 4, 0}, {4, 2, 4, 0.15}, {4, 2, 4, 0.3}, {4, 2, 4, 0.6}}},
	}
}

// load is what the processes of a role took, each on average.
type load struct {
	bytes     float64 // a second
	core      float64 // share of a core
	megabytes float64 // resident
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
			setup.Note("control: %d balancers, %d services of %d copies, %v changes a second", s.balancers, s.services, s.copies, s.changes)
			more, err := a.measure(ctx, setup, s, points)
			figures = append(figures, more...)
			if err != nil {
				return figures, err
			}
		}
		figures = append(figures, a.fits(points)...)
	}
	return figures, nil
}

func (a axis) fits(points map[string][]point) (figures []lentilfigure.Figure) {
	for _, what := range siteMeasures {
		l := fit(points[what])
		name := "control.site." + a.name + "." + what
		figures = append(figures,
			lentilfigure.New(name+".slope", l.slope, "for each of "+a.name),
			lentilfigure.New(name+".base", l.base, "at 0 "+a.name),
			lentilfigure.New(name+".explained", l.explained, "share of variance"))
	}
	return figures
}

// siteMeasures are the names of what is measured at each point.
var siteMeasures = []string{
	"balancer.bytes", "balancer.core", "balancer.megabytes", "agent.bytes", "agent.core", "agent.megabytes", "inForce", "platform",
}

func (a axis) measure(ctx context.Context, setup lentilfigure.Setup, s shape, points map[string][]point) (figures []lentilfigure.Figure, err error) {
	lab, err := lentillab.New(setup.Binaries)
	if err != nil {
		return nil, err
	}
	defer lab.Close()
	started, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	site, err := lab.StartSite(started, s.site())
	if err != nil {
		return nil, err
	}
	values, err := observeSite(ctx, site, s)
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

// site returns a site of the shape, as the Consorzio's but for its size.
func (s shape) site() lentillab.Site {
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

// value is a measured value with its unit and, if there is one, its bound.
type value struct {
	value float64
	unit  string
	bound float64
}

func observeSite(ctx context.Context, site *lentillab.RunningSite, s shape) (values map[string]value, err error) {
	if err = lentillab.Sleep(ctx, calmTime); err != nil {
		return nil, err
	}
	changes := &changer{site: site}
	balancers, agents := processes(site)
	before, err := readAll(ctx, site, balancers, agents)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	if err = changes.accepting(ctx, s.changes); err != nil {
		return nil, err
	}
	after, err := readAll(ctx, site, balancers, agents)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	balancer := average(before[:len(balancers)], after[:len(balancers)], seconds)
	agent := average(before[len(balancers):], after[len(balancers):], seconds)
	inForce, err := changes.time(ctx)
	if err != nil {
		return nil, err
	}
	calls, err := platformCalls(ctx, site)
	if err != nil {
		return nil, err
	}
	return map[string]value{
		"balancer.bytes":     {value: balancer.bytes, unit: "bytes/s a balancer", bound: s.bytesBound()},
		"balancer.core":      {value: balancer.core * 100, unit: "% of a core a balancer"},
		"balancer.megabytes": {value: balancer.megabytes, unit: "MB resident a balancer"},
		"agent.bytes":        {value: agent.bytes, unit: "bytes/s an agent", bound: targetBytes},
		"agent.core":         {value: agent.core * 100, unit: "% of a core an agent"},
		"agent.megabytes":    {value: agent.megabytes, unit: "MB resident an agent"},
		"inForce":            {value: inForce, unit: "s, worst of three changes", bound: targetSeconds},
		"platform":           {value: calls, unit: "calls of balancers since the start"},
	}, nil
}

// bytesBound returns what control may cost at a shape: the bound of today's sizes up to
// four balancers and eleven agents, that of the fleet to design for beyond.
func (s shape) bytesBound() float64 {
	if s.balancers <= 4 && s.services*s.copies <= 11 {
		return targetBytes
	}
	return fleetBytes
}

// process is a process to be watched.
type process struct {
	id    int
	admin string
}

func processes(site *lentillab.RunningSite) (balancers, agents []process) {
	for _, b := range site.Balancers() {
		balancers = append(balancers, process{id: b.Process().PID(), admin: b.AdminURL()})
	}
	for _, c := range site.Copies() {
		agents = append(agents, process{id: c.Agent().PID(), admin: c.AdminURL()})
	}
	return balancers, agents
}

// reading is what a process had used at some time.
type reading struct {
	bytes    uint64
	core     time.Duration
	resident uint64
}

func readAll(ctx context.Context, site *lentillab.RunningSite, lists ...[]process) (readings []reading, err error) {
	for _, list := range lists {
		for _, p := range list {
			r, err := p.read(ctx, site)
			if err != nil {
				return nil, err
			}
			readings = append(readings, r)
		}
	}
	return readings, nil
}

func (p process) read(ctx context.Context, site *lentillab.RunningSite) (r reading, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "read process %d", p.id)
		}
	}()
	text, err := site.GetText(ctx, p.admin+"/metrics")
	if err != nil {
		return reading{}, err
	}
	r.bytes = lentillab.SumMetric(text, "lentilstair_control_bytes")
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.id))
	if err != nil {
		return reading{}, err
	}
	// The name in parentheses may hold spaces; the fields after it are numbered from 3.
	fields := strings.Fields(string(stat)[strings.LastIndexByte(string(stat), ')')+1:])
	const user, system, pages = 11, 12, 21
	for _, place := range []int{user, system} {
		ticks, err := strconv.ParseUint(fields[place], 10, 64)
		if err != nil {
			return reading{}, err
		}
		r.core += time.Duration(ticks) * clockTick
	}
	resident, err := strconv.ParseUint(fields[pages], 10, 64)
	r.resident = resident * uint64(os.Getpagesize())
	return r, err
}

func average(before, after []reading, seconds float64) (l load) {
	n := float64(len(before))
	for i := range before {
		l.bytes += float64(after[i].bytes-before[i].bytes) / seconds / n
		l.core += (after[i].core - before[i].core).Seconds() / seconds / n
		l.megabytes += float64(after[i].resident) / (1 << 20) / n
	}
	return l
}

// accepting accepts changes at a rate for the time of a measurement.
func (c *changer) accepting(ctx context.Context, rate float64) (err error) {
	if rate == 0 {
		return lentillab.Sleep(ctx, siteTime)
	}
	pause := time.Duration(float64(time.Second) / rate)
	end := time.Now().Add(siteTime)
	for next := time.Now(); next.Before(end); next = next.Add(pause) {
		if err = lentillab.Sleep(ctx, time.Until(next)); err != nil {
			return err
		}
		if _, err = c.apply(ctx); err != nil {
			return err
		}
	}
	return lentillab.Sleep(ctx, time.Until(end))
}

// time returns the longest time until a change was in force everywhere, as the
// operator's command saw it.
func (c *changer) time(ctx context.Context) (worst float64, err error) {
	for range probeChanges {
		limited, cancel := context.WithTimeout(ctx, startTimeout)
		inForce, err := c.apply(limited)
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

// changer makes notes for a site. Each changes one copy: it drains, or takes new work
// again.
type changer struct {
	site  *lentillab.RunningSite
	notes int
}

// apply carries out the next change and returns how long it took to be in force
// everywhere, as the operator's command saw it.
func (c *changer) apply(ctx context.Context) (inForce time.Duration, err error) {
	c.notes++
	draining := c.notes%2 == 1
	note := lentilnote.Doc{ID: fmt.Sprintf("change-%d", c.notes), Author: "measure", Reason: "measure control"}
	note.Copies.Changed = []lentilnote.ChangedCopyDoc{{Name: c.site.Copies()[0].Name(), Draining: &draining}}
	return c.site.ApplyNote(ctx, note)
}
