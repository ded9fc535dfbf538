// Package placement decides which engine holds which layers of a model.
//
// Layers are grouped into units of equal size, and each engine holds
// consecutive units. Each availability zone with enough memory gets a copy of
// the whole model, so that chains need not leave the zone; the engines of the
// smaller zones share one copy. [Plan] starts from the layers that are held and
// improves them step by step, so that a lost engine is replaced with few moves.
// [PlanCache] computes a plan only if its input has changed, and [Reconciler]
// issues the orders that turn the present placement into the planned one.
//
// A plan is good if tokens take little time while many requests run, if each
// unit has memory for these requests, and if each unit has a second holder.
package placement
