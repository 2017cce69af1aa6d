// Package lentillibrarymeasure measures what each library costs a program that only
// starts and ends: processor time, memory and size. A VM with 0.06 of a core pays the
// processor time sixteen times over before it serves again.
package lentillibrarymeasure

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilfigure"
)

// Experiment is the entry in the table of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "library",
	Description: "processor time, memory and size of a program that starts with one library, against none",
	Run:         run,
}

const (
	// starts is how often each program is started; the figures are medians.
	starts, shortStarts = 41, 5
	// maxStartTime is the processor time at start that keeps a VM with 0.06 of a core
	// within half of the second in which it has to serve again.
	maxStartTime = 30 * time.Millisecond
	// maxMemoryKB is what the design size allows a process in all, in KB.
	maxMemoryKB = 128 << 10
)

// peakMemoryPattern finds the largest resident size in what a program shows of its status.
var peakMemoryPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// startCost is what one start of a program took.
type startCost struct {
	processorTime time.Duration
	// memoryKB is the largest resident size in KB.
	memoryKB int64
}

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	dir, err := os.MkdirTemp("", "lentillibrary")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	times := starts
	if setup.Short {
		times = shortStarts
	}
	for _, p := range programs {
		path, buildErr := p.build(ctx, dir)
		if buildErr != nil {
			return figures, buildErr
		}
		added, measureErr := measureStarts(ctx, "library."+p.name, path, times)
		if measureErr != nil {
			return figures, measureErr
		}
		figures = append(figures, added...)
	}
	return figures, nil
}

// build builds a program with one library.
func (p *program) build(ctx context.Context, dir string) (path string, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "program with %s", p.name)
		}
	}()
	path = filepath.Join(dir, p.name)
	if err = os.Mkdir(path+".d", 0o700); err != nil {
		return "", err
	}
	source := filepath.Join(path+".d", "main.go")
	if err = os.WriteFile(source, []byte(p.source()), 0o600); err != nil {
		return "", err
	}
	output, err := exec.CommandContext(ctx, "go", "build", "-o", path, source).CombinedOutput() //nolint:gosec // the sources are those below
	if err != nil {
		return "", errorx.Decorate(err, "%s", output)
	}
	return path, nil
}

// measureStarts starts a program some times.
func measureStarts(ctx context.Context, name, path string, times int) (figures []lentilfigure.Figure, err error) {
	file, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	var processor, memory []float64
	for range times {
		c, startErr := startProgram(ctx, path)
		if startErr != nil {
			return nil, errorx.Decorate(startErr, "%s", name)
		}
		processor = append(processor, float64(c.processorTime.Microseconds())/1000)
		memory = append(memory, float64(c.memoryKB))
	}
	return []lentilfigure.Figure{
		lentilfigure.New(name+".processor", median(processor), "ms").AtMost(float64(maxStartTime.Milliseconds())),
		lentilfigure.New(name+".memory", median(memory), "KB").AtMost(maxMemoryKB),
		lentilfigure.New(name+".size", float64(file.Size()>>10), "KB"),
	}, nil
}

// startProgram runs a program to its end.
func startProgram(ctx context.Context, path string) (c startCost, err error) {
	command := exec.CommandContext(ctx, path)
	// One thread at a time, as on a VM with a part of a core.
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	status, err := command.Output()
	if err != nil {
		return startCost{}, err
	}
	c.processorTime = command.ProcessState.UserTime() + command.ProcessState.SystemTime()
	if found := peakMemoryPattern.FindSubmatch(status); found != nil {
		c.memoryKB, err = strconv.ParseInt(string(found[1]), 10, 64)
	}
	return c, err
}

// median returns the middle one of some figures.
func median(figures []float64) (middle float64) {
	slices.Sort(figures)
	return figures[len(figures)/2]
}
