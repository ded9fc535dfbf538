package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire holds the platform's names that the stand-ins speak: header fields, the path of the
// readiness probe, and a field of a runner's entry.
var wire = mustDecodeWire()

// wireNames are names of the platform.
type wireNames struct {
	Origin, NotRun, Fault, Expected, Instance, Ready, ColdLeft string
}

func mustDecodeWire() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}
