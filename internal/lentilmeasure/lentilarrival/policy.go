package lentilarrival

import (
	"context"
	"sync"
)

// Deployment is the size of an existing deployment.
type Deployment struct {
	// Name identifies the deployment in the names of figures.
	Name string
	// Copies is the number of copies of the busiest service, Slots the slots of each copy.
	Copies, Slots int
}

// Deployments returns the sizes of the existing deployments.
func Deployments() []Deployment {
	return []Deployment{{Name: "consorzio", Copies: 7, Slots: 2}, {Name: "sala", Copies: 7, Slots: 4}}
}

// Policy is a policy for distributing work over copies.
type Policy struct {
	Name    string
	options Options
}

// Apply returns the options with the placement and hand-offs of the policy.
func (p Policy) Apply(o Options) Options {
	o.Placement, o.PacketHandoff, o.RequestHandoff = p.options.Placement, p.options.PacketHandoff, p.options.RequestHandoff
	return o
}

// Policies returns the policies to compare. WeightedHandoff is the one that agents use.
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

// UniformHash places connections by a plain hash, without hand-off.
func UniformHash() Policy { return Policy{Name: "uniform hash"} }

// WeightedHandoff places connections by weight and hands off first packets and requests.
func WeightedHandoff() Policy {
	return Policy{Name: "weights, both", options: Options{Placement: PlaceWeighted, PacketHandoff: true, RequestHandoff: true}}
}

// maxParallelRuns limits how many simulations RunSeeds runs at the same time.
const maxParallelRuns = 4

// RunSeeds runs one simulation for each of count consecutive seeds, starting with first,
// and returns the results in the order of the seeds.
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
			seeded := o
			seeded.Seed = first + uint64(i)
			results[i] = Run(seeded)
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

// Max returns the largest value of a figure over the results.
func Max(results []Result, figure func(r Result) float64) (largest float64) {
	for _, r := range results {
		largest = max(largest, figure(r))
	}
	return largest
}

// Share returns the count as a share of the offered requests.
func (r Result) Share(count int) float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(count) / float64(r.Offered)
}
