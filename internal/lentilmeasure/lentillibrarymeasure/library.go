// Package lentillibrarymeasure measures the processor time, memory and size that each
// library adds to a program that only starts and ends. On a VM with 0.06 of a core, a start
// takes about sixteen times its processor time until the VM serves again.
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

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "library",
	Description: "processor time, memory and size of a program that starts with one library, compared to none",
	Run:         run,
}

const (
	// starts is the number of starts of each program, shortStarts that of a short run. The
	// figures are medians over the starts.
	starts, shortStarts = 41, 5
	// maxStartTime is the upper bound of the processor time of a start. On a VM with 0.06 of
	// a core it takes half a second, which is half the time within which the VM has to serve
	// again.
	maxStartTime = 30 * time.Millisecond
	// maxMemoryKB is the memory budget of a whole process at the design size.
	maxMemoryKB = 128 << 10
)

// peakMemoryPattern matches the peak resident size in /proc/self/status.
var peakMemoryPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// startCost is the cost of one start of a program.
type startCost struct {
	processorTime time.Duration
	// memoryKB is the peak resident size.
	memoryKB int64
}

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	dir, err := os.MkdirTemp("", "lentillibrary")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	count := starts
	if setup.Short {
		count = shortStarts
	}
	for _, p := range programs {
		path, buildErr := p.build(ctx, dir)
		if buildErr != nil {
			return figures, buildErr
		}
		measured, measureErr := measureStarts(ctx, "library."+p.name, path, count)
		if measureErr != nil {
			return figures, measureErr
		}
		figures = append(figures, measured...)
	}
	return figures, nil
}

// build compiles the program in dir and returns the path of the binary.
func (p *program) build(ctx context.Context, dir string) (path string, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "build program with library %s", p.name)
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
	output, err := exec.CommandContext(ctx, "go", "build", "-o", path, source).CombinedOutput() //nolint:gosec // The source is one of programs.
	if err != nil {
		return "", errorx.Decorate(err, "%s", output)
	}
	return path, nil
}

// measureStarts starts a program count times and returns its figures.
func measureStarts(ctx context.Context, name, path string, count int) (figures []lentilfigure.Figure, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	var processor, memory []float64
	for range count {
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
		lentilfigure.New(name+".size", float64(info.Size()>>10), "KB"),
	}, nil
}

// startProgram runs a program until it exits and returns the cost.
func startProgram(ctx context.Context, path string) (c startCost, err error) {
	command := exec.CommandContext(ctx, path)
	// A VM with a fraction of a core runs one thread at a time.
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	output, err := command.Output()
	if err != nil {
		return startCost{}, err
	}
	c.processorTime = command.ProcessState.UserTime() + command.ProcessState.SystemTime()
	if match := peakMemoryPattern.FindSubmatch(output); match != nil {
		c.memoryKB, err = strconv.ParseInt(string(match[1]), 10, 64)
	}
	return c, err
}

// median returns the median. It sorts its argument.
func median(figures []float64) (middle float64) {
	slices.Sort(figures)
	return figures[len(figures)/2]
}
