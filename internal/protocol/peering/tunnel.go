package peering

import (
	"errors"
	"fmt"
)

// TunnelRequest asks a gateway for a connection to an upstream. It is the first message
// on a connection between gateways; what follows the answer is exchanged with the
// upstream.
type TunnelRequest struct {
	Version int
	// Gateway is the name of the sender.
	Gateway string
	// Address is the address of the upstream. The receiver connects only to upstreams
	// that it knows.
	Address string
}

// Check returns an error if r has another version or lacks its sender or upstream.
func (r *TunnelRequest) Check() error {
	switch {
	case r.Version != Version:
		return fmt.Errorf("peering: version %d, want %d", r.Version, Version)
	case r.Gateway == "" || r.Address == "":
		return errors.New("peering: tunnel without sender or upstream")
	}
	return nil
}

// TunnelOutcome says whether a tunnel was opened.
type TunnelOutcome string

// Outcomes of a [TunnelRequest].
const (
	// TunnelOpened means that what follows comes from the upstream.
	TunnelOpened TunnelOutcome = "opened"
	// TunnelRefused means that the upstream refuses connections.
	TunnelRefused TunnelOutcome = "refused"
	// TunnelNoAnswer means that the receiver cannot reach the upstream either.
	TunnelNoAnswer TunnelOutcome = "no answer"
	// TunnelBusy means that the receiver opens no more tunnels for now.
	TunnelBusy TunnelOutcome = "busy"
	// TunnelUnknown means that the receiver knows no such upstream.
	TunnelUnknown TunnelOutcome = "unknown"
)

// TunnelReply is the answer to a [TunnelRequest].
type TunnelReply struct {
	Version int
	Outcome TunnelOutcome
}

// Check returns an error if r has another version or no known outcome.
func (r *TunnelReply) Check() error {
	if r.Version != Version {
		return fmt.Errorf("peering: version %d, want %d", r.Version, Version)
	}
	switch r.Outcome {
	case TunnelOpened, TunnelRefused, TunnelNoAnswer, TunnelBusy, TunnelUnknown:
		return nil
	}
	return fmt.Errorf("peering: unknown outcome %q of a tunnel", r.Outcome)
}

// ReachNews is what a gateway tells its peers about its own paths to the upstreams.
type ReachNews struct {
	// Tunnels reports whether the sender opens tunnels for its peers.
	Tunnels bool `cbor:",omitempty"`
	// Unreached is the number of upstreams that the sender cannot reach itself.
	Unreached int `cbor:",omitempty"`
	// Busy is the number of requests and tunnels that the sender serves.
	Busy int `cbor:",omitempty"`
}

// Check returns an error if r has a negative count.
func (r *ReachNews) Check() error {
	if r.Unreached < 0 || r.Busy < 0 {
		return errors.New("peering: negative count of upstreams or requests")
	}
	return nil
}
