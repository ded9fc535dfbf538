package main

import (
	_ "embed"
	"encoding/json"
)

// The platform's names on the wire stand in a data file: among the project's Go files,
// only those of its adapter may contain them.
//
//go:embed wire.json
var wireText []byte

// wire holds the platform's names of header fields, paths, and JSON fields and values.
var wire = readWire()

// wireNames is the content of the data file.
type wireNames struct {
	OriginStamp, NotExecuted, ExpectInstance, InstanceID, Timeout string
	ObjectsPath, ReadyPath                                        string
	PathPrefix, Goal, GapAim, APIKeys, MaxConns, NonIdempotent    string
	ColdLeft                                                      string
	CurrentRevision, MorePages, StaleOK, Tombstone, Created, Wait string
}

func readWire() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}
