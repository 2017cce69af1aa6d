package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
)

//go:embed wire.json
var wireData []byte

// wire has the names that the platform's protocols use, as PROTOCOL.md spells them.
var wire = func() (w struct {
	Ready, Objects, Instances, SettingsVariable string
	Finalizers, StoreRevision                   string
	WarmupLeft, WarmupRate, Prefix              string
	Limits, Route, Service, Heartbeat           map[string]any
}) {
	if err := json.Unmarshal(wireData, &w); err != nil {
		panic(err)
	}
	return w
}()

// with returns a copy of a template with other values for some of its fields.
func with(template map[string]any, fields map[string]any) map[string]any {
	result := maps.Clone(template)
	maps.Copy(result, fields)
	return result
}

// routeTo returns a route that sends an address to a service.
func routeTo(dst netip.AddrPort, service, kind string) map[string]any {
	return with(wire.Route, map[string]any{
		"name": "r-" + dst.String(), "host": dst.Addr().String(), wire.Prefix: fmt.Sprintf("/%d/", dst.Port()), "type": kind, "service": service,
	})
}

// serviceNamed returns a service with the time for which its endpoints are cold, and how many requests a second they bear then.
func serviceNamed(name string, warmup, perS float64) map[string]any {
	return with(wire.Service, map[string]any{"name": name, "warmupS": warmup, wire.WarmupRate: perS})
}

func configuration(version uint64, routes, services []any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services, "limits": wire.Limits}
}
