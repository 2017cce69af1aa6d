package lentilfinding

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Flows is a decoded configuration of packet flows with the fields of its file, as an adapter
// returns it. Fields are paths in the file.
type Flows struct {
	// Configuration is what processes make of the file.
	Configuration lentilflow.Configuration
	Routes        []FlowRoute
	Services      []FlowService
	// Numbers holds the numbers that processes use within a range only.
	Numbers []Number
	// Slots is how many requests a copy processes at once, or 0 if that isn't known.
	Slots int
	// IdleTimeoutField is the field of the idle timeout.
	IdleTimeoutField string
}

// FlowRoute is a route of packet flows.
type FlowRoute struct {
	// Field is the route itself.
	Field string
	// Address is where the route applies. It is unset if AddressError says why packet flows ignore the route.
	Address      lentilflow.Endpoint
	AddressError string
	AddressField string
	Backends     []FlowBackend
	// Ignored is the service in IgnoredField, which has no effect beside the backends, or empty.
	Ignored      string
	IgnoredField string
	// Objective and Timeout limit the time of requests; 0 means none.
	Objective      time.Duration
	ObjectiveField string
	Timeout        time.Duration
	TimeoutField   string
}

// FlowBackend is a service that accepts new flows of a route.
type FlowBackend struct {
	lentilflow.Backend
	ServiceField string
	WeightField  string
}

// FlowService is a service of packet flows.
type FlowService struct {
	Name  string
	Field string
	// ColdRateStated is whether the file has the rate of cold copies.
	ColdRateStated bool
	ColdRateField  string
}

// Number is a number that processes use within a range only.
type Number struct {
	Field           string
	Value, Min, Max float64
	// Clamped is whether processes replace a value outside the range by the nearest one inside.
	Clamped bool
}

// CheckFlows adds the findings on a decoded configuration of packet flows to a report.
func CheckFlows(r *Report, flows Flows) {
	for _, n := range flows.Numbers {
		consequence := "its effect is undefined"
		if n.Clamped {
			consequence = "processes use the nearest value in the range"
		}
		if n.Value < n.Min || n.Value > n.Max {
			r.addf(OutOfRange, n.Field, "%g is not within %g to %g; %s", n.Value, n.Min, n.Max, consequence)
		}
	}
	services := make(map[string]int, len(flows.Services))
	for i, service := range flows.Services {
		if first, found := services[service.Name]; found {
			r.addf(NeverChosen, flows.Services[first].Field, "%s has the same name, and its values replace these", service.Field)
		}
		services[service.Name] = i
	}
	// The last route of an address counts.
	effective := make(map[lentilflow.Endpoint]int, len(flows.Routes))
	for i, route := range flows.Routes {
		if route.AddressError == "" {
			effective[route.Address] = i
		}
	}
	used := make(map[string]bool)
	objectives := make(map[string]time.Duration)
	for i, route := range flows.Routes {
		// Routes of other kinds of traffic use services too.
		for _, b := range route.Backends {
			used[b.Service] = true
			objectives[b.Service] = max(objectives[b.Service], route.Objective)
		}
		if route.AddressError != "" {
			r.addf(UnusedRoute, route.AddressField, "%s", route.AddressError)
			continue
		}
		if route.Address.Port() == 0 {
			r.addf(UnusedRoute, route.AddressField, "no packet is sent to port 0")
		}
		if last := effective[route.Address]; last != i {
			r.addf(DuplicateAddress, route.AddressField, "%s has the address %s too and replaces this route", flows.Routes[last].Field, route.Address)
		}
		r.checkBackends(route, services)
		r.checkTimeouts(route, flows)
	}
	for _, service := range flows.Services {
		if !used[service.Name] {
			r.addf(UnusedService, service.Field, "no route leads to %s", quote(service.Name))
		}
		r.checkColdRate(service, flows, objectives[service.Name])
	}
}

// checkBackends checks the services of a route and their weights.
func (r *Report) checkBackends(route FlowRoute, services map[string]int) {
	if len(route.Backends) == 0 {
		r.addf(NoService, route.Field, "the route names no service")
	}
	if route.Ignored != "" {
		r.addf(NeverChosen, route.IgnoredField, "%s has no effect, since the route has a list of services", quote(route.Ignored))
	}
	total := 0
	for _, b := range route.Backends {
		total += b.Weight
		if _, found := services[b.Service]; !found {
			r.addf(UnknownService, b.ServiceField, "%s is not in the list of services", quote(b.Service))
		}
	}
	allZero := !slices.ContainsFunc(route.Backends, func(b FlowBackend) bool { return b.Weight != 0 })
	for i, b := range route.Backends {
		switch {
		case b.Weight < 0:
			r.addf(OutOfRange, b.WeightField, "weight %d is below 0; its effect is undefined", b.Weight)
		case allZero && i > 0:
			r.addf(NeverChosen, b.WeightField, "all weights are 0; %s gets new flows only while no copy of %s accepts any", quote(b.Service), quote(route.Backends[0].Service))
		case b.Weight == 0 && total > 0:
			r.addf(NeverChosen, b.WeightField, "weight 0 beside higher weights; %s gets no new flows", quote(b.Service))
		}
	}
}

// checkTimeouts compares the limits of a route with each other and with the idle timeout.
func (r *Report) checkTimeouts(route FlowRoute, flows Flows) {
	if route.Timeout <= 0 {
		return
	}
	if route.Objective > route.Timeout {
		r.addf(ObjectiveAboveTimeout, route.ObjectiveField, "the objective %s is longer than the timeout %s", route.Objective, route.Timeout)
	}
	if idle := flows.Configuration.IdleTimeout(); idle > 0 && idle < route.Timeout {
		r.addf(IdleTimeoutBelowTimeout, route.TimeoutField, "the timeout %s is longer than the idle timeout %s in %s", route.Timeout, idle, flows.IdleTimeoutField)
	}
}

// checkColdRate checks the rate of new flows for cold copies of a service. The objective is the
// longest latency objective of the service's routes, or 0.
func (r *Report) checkColdRate(service FlowService, flows Flows, objective time.Duration) {
	rate := flows.Configuration.ColdRate(service.Name)
	switch {
	case !service.ColdRateStated:
	case rate <= 0:
		r.addf(ColdRateZero, service.ColdRateField, "the rate of new flows is %g; no bound is kept for cold copies", rate)
	case flows.Slots > 0 && rate*objective.Seconds() > float64(flows.Slots):
		longest := time.Duration(float64(flows.Slots) / rate * float64(time.Second)).Round(time.Millisecond)
		r.addf(ColdRateAboveSlots, service.ColdRateField, "with %d slots, %g new flows a second need requests of at most %s; the latency objective is %s", flows.Slots, rate, longest, objective)
	}
}

// flowHead, flowRoute and flowService are the forms in which configurations of packet flows are compared.
type (
	flowHead struct {
		Version     uint64 `json:"version"`
		IdleTimeout string `json:"idleTimeout"`
	}
	flowRoute struct {
		Services   string `json:"services"`
		Objective  string `json:"latencyObjective"`
		Priority   uint8  `json:"priority"`
		Repeatable bool   `json:"repeatable"`
		address    string
	}
	flowService struct {
		ColdRate float64 `json:"coldRate"`
		name     string
	}
)

func (f Flows) routes() (routes []flowRoute) {
	for address, backends := range f.Configuration.All() {
		terms := f.Configuration.Terms(address)
		route := flowRoute{Objective: terms.Target.String(), Priority: terms.Priority, Repeatable: terms.Repeatable, address: address.String()}
		names := make([]string, 0, len(backends))
		for _, b := range backends {
			names = append(names, fmt.Sprintf("%s %d", b.Service, b.Weight))
		}
		route.Services = strings.Join(names, ", ")
		routes = append(routes, route)
	}
	return routes
}

func (f Flows) services() (services []flowService) {
	for _, service := range f.Services {
		services = append(services, flowService{name: service.Name, ColdRate: f.Configuration.ColdRate(service.Name)})
	}
	return services
}

// CompareFlows sets the differences between a configuration of packet flows and the one it is
// compared with, which against names, and adds the findings on them.
func CompareFlows(r *Report, against string, from, to Flows) {
	a, b := from.Configuration, to.Configuration
	var differences []DifferenceDoc
	heads := changedFields(flowHead{a.Version(), a.IdleTimeout().String()}, flowHead{b.Version(), b.IdleTimeout().String()})
	if len(heads) > 0 {
		differences = append(differences, DifferenceDoc{Action: actionChanged, Kind: "configuration", Fields: heads})
	}
	differences = slices.Concat(differences,
		listDifferences("route", from.routes(), to.routes(), func(route flowRoute) string { return route.address }),
		listDifferences("service", from.services(), to.services(), func(service flowService) string { return service.name }))
	r.SetDifferences(against, differences)
	if len(differences) > 0 && b.Version() <= a.Version() {
		r.addf(VersionNotHigher, "version", "version %d is not above version %d of %s", b.Version(), a.Version(), against)
	}
}

// listDifferences returns the differences between two lists of objects.
func listDifferences[T comparable](kind string, from, to []T, name func(T) string) []DifferenceDoc {
	before, after := indexed(from, name), indexed(to, name)
	var put []T
	var drop []string
	for key, object := range after {
		if previous, found := before[key]; !found || previous != object {
			put = append(put, object)
		}
	}
	for key := range before {
		if _, found := after[key]; !found {
			drop = append(drop, key)
		}
	}
	return objectDifferences(kind, before, put, drop, name)
}
