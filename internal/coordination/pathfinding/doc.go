// Package pathfinding composes the chain of upstreams that a generation runs on.
//
// Any upstream that holds the next layers may be the next stage. The cheapest
// composition is found by dynamic programming over the layers: the cost of a
// stage is the time of one token there, raised by how full the upstream's
// memory is, and a change of availability zone costs extra. What runs out
// first is memory for KV cache, not compute, so that room is counted in
// token-layers: one token's KV cache for one layer.
package pathfinding
