package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireJSON []byte

// wire has the names of the users' pages, which the project keeps out of Go files outside its adapter.
var wire = readWire()

func readWire() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireJSON, &names); err != nil {
		panic(err)
	}
	return names
}
