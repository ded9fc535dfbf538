// Package tunnel opens connections to upstreams through another gateway, for a gateway
// that cannot reach them itself.
//
// A tunnel is one TCP connection to the peer's listener for gateways. It begins with
// [Prefix], by which [Split] tells it from the calls of peers, a
// [peering.TunnelRequest] and its answer. What the opener then sends goes to the
// upstream as it is. What the upstream sends comes in frames, so that its end can be told
// from the end of the tunnel: a response may end with its connection, and one that is
// cut on the way must not look complete.
package tunnel
