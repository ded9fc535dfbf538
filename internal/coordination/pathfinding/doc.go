// Package pathfinding finds the chain of upstreams that runs a generation.
//
// The layers of a model are spread over upstreams. A chain is a sequence of
// stages; each stage runs consecutive layers on an upstream that holds them,
// and the stages together run every layer once and in order. [LayerMap.Find]
// finds the cheapest chain by dynamic programming over the layers. The cost of
// a stage is the time that it adds to a token, raised as the upstream's memory
// fills up; a change of availability zone costs extra.
//
// Memory for KV cache runs out before compute does, so capacity is counted in
// token-layers: one token-layer is the KV cache of one token for one layer.
package pathfinding
