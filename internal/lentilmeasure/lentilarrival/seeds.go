package lentilarrival

import (
	"context"
	"sync"
)

// Deployment is one of the sizes at which services run today.
type Deployment struct {
	// Name is a word for figures.
	Name string
	// Copies and Slots are those of the user's busiest service.
	Copies, Slots int
}

// Deployments returns the sizes of today.
func Deployments() []Deployment {
	return []Deployment{{Name: "consorzio", Copies: 7, Slots: 2}, {Name: "sala", Copies: 7, Slots: 4}}
}

// Policy is one way of spreading work over copies.
type Policy struct {
	Name    string
	options Options
}

// Apply returns the options with the way's own filled in.
func (w Policy) Apply(o Options) Options {
	o.Placement, o.PacketHandoff, o.RequestHandoff = w.options.Placement, w.options.PacketHandoff, w.options.RequestHandoff
	return o
}

// Policies returns the ways that are compared; Both is what agents do.
func Policies() []Policy {
	return []Policy{
		UniformHash(),
		{Name: "round robin", options: Options{Placement: PlaceRoundRobin}},
		{Name: "weights", options: Options{Placement: PlaceWeighted}},
		{Name: "weights, first packets", options: Options{Placement: PlaceWeighted, PacketHandoff: true}},
		{Name: "weights, requests", options: Options{Placement: PlaceWeighted, RequestHandoff: true}},
		WeightedHandoff(),
	}
}

// UniformHash places connections by a plain hash and hands nothing off.
func UniformHash() Policy { return Policy{Name: "uniform hash"} }

// WeightedHandoff places connections by weight and hands off first packets and requests.
func WeightedHandoff() Policy {
	return Policy{Name: "weights, both", options: Options{Placement: PlaceWeighted, PacketHandoff: true, RequestHandoff: true}}
}

// maxParallelRuns is how many runs share the machine.
const maxParallelRuns = 4

// RunSeeds runs the options with each seed from first on and returns what each gave.
func RunSeeds(ctx context.Context, o Options, first uint64, count int) (results []Result, err error) {
	results = make([]Result, count)
	slots := make(chan struct{}, maxParallelRuns)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() != nil {
				return
			}
			one := o
			one.Seed = first + uint64(i)
			results[i] = Run(one)
		})
	}
	group.Wait()
	return results, ctx.Err()
}

// Mean returns the mean of a figure over the results.
func Mean(results []Result, figure func(r Result) float64) float64 {
	sum := 0.0
	for _, r := range results {
		sum += figure(r)
	}
	return sum / float64(len(results))
}

// Max returns the largest of a figure over the results.
func Max(results []Result, figure func(r Result) float64) (most float64) {
	for _, r := range results {
		most = max(most, figure(r))
	}
	return most
}

// Share returns what part of the offered requests a count is.
func (r Result) Share(count int) float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(count) / float64(r.Offered)
}
