// Package placement decides which engine holds which layers.
//
// Layers are cut into units of equal size, and each engine holds a run of
// units. Each availability zone that has the memory for it gets a whole model
// of its own, so that chains need not leave it; the engines of zones that are
// too small share one. [Plan] starts from what is held and improves it step by
// step, so that a loss is mended by few moves; [PlanCache] makes a plan anew only for
// something else; [Reconciler] turns the difference into orders.
//
// A plan is good if tokens take little time while many requests run, if each
// unit has room for them, and if it has a second holder.
package placement
