// Package placement decides which engine holds which layers.
//
// Layers are cut into units of equal size, and each engine holds a run of
// units. Each availability zone that has the memory for it gets a whole model
// of its own, so that chains need not leave it; the engines of zones that are
// too small share one. [Plan] starts from what is held and improves it step by
// step, so that a loss is mended by few moves; [Ledger] turns the difference
// into orders.
package placement
