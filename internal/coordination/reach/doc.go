// Package reach decides over which path a gateway calls each upstream: directly, or
// through a peer that can reach the upstream while the gateway itself cannot.
//
// That a gateway gets no answer from an upstream shows a fault of the path or of the
// upstream. Only a connection through a peer tells them apart: if it opens, the path is
// at fault, and the upstream is called through peers until a connection of the gateway's
// own opens again. If the paths to several upstreams fail at once, the gateway's own
// link is suspected, and what it finds of upstreams by their silence is no news for
// others.
//
// Times are durations since boot.
package reach
