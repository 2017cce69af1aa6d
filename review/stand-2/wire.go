package main

import (
	_ "embed"
	"encoding/json"
	"maps"
)

// wireData has the names of the platform's protocols, which the project's Go files outside its adapter don't use.
//
//go:embed wire.json
var wireData []byte

// wire has the contents of wire.json.
var wire = func() (w struct {
	Ready, Objects, Instances, SettingsVariable, Finalizers, StoreRevision string
	Heartbeat, Configuration                                               map[string]any
}) {
	if err := json.Unmarshal(wireData, &w); err != nil {
		panic(err)
	}
	return w
}()

// heartbeat returns the body of a heartbeat.
func heartbeat(e *endpoint, address, state string, sequence int) []byte {
	body := maps.Clone(wire.Heartbeat)
	body["service"], body["address"], body["zone"], body["state"] = e.service, address, e.m.zone, state
	body["sequence"], body["born"] = sequence, e.born
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// MarshalJSON writes the metadata of an object as the store does.
func (m meta) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": m.Name, "revision": m.Revision, "created": m.Created, wire.Finalizers: []string{}, "deleting": false,
	})
}
