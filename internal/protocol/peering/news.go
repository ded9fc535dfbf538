package peering

import (
	"errors"
	"fmt"
	"time"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
)

// Address says where a gateway listens for peers.
type Address struct {
	_       struct{} `cbor:",toarray"`
	Gateway string
	Zone    string
	Address string
}

// UpstreamLoad is what a gateway has at work on an upstream.
type UpstreamLoad struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Requests int
	// Begun is how many of them have it as first stage.
	Begun       int
	TokenLayers float32
	// Reading is the rate of prompts, in token-layers a second.
	Reading float32
}

// PipeUse is what a gateway, or a zone, sends over the pipe between two zones.
type PipeUse struct {
	_ struct{} `cbor:",toarray"`
	// Service is that of the engines, and Pipe as [pathfinding.LinkName] names it.
	Service, Pipe string
	// Reading is the rate of prompt tokens, by the second.
	Reading float32
}

// UpstreamFault says that a gateway leaves an upstream alone.
type UpstreamFault struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// Left is for how long still.
	Left time.Duration
}

// UpstreamFinding is an upstream's answer to a question of a gateway.
type UpstreamFinding struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// Age is the time since the answer.
	Age time.Duration
	// Pace is the engine's; 0 if it was only asked whether it is well, which it
	// is.
	Pace float32
}

// ServiceCounts are a gateway's requests and repeats within the retry window.
type ServiceCounts struct {
	_                 struct{} `cbor:",toarray"`
	Service           string
	Requests, Repeats float32
}

// News is what a gateway tells a peer of itself, in both directions.
type News struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Address
	Draining bool
	// Table is the version of the configuration in force, and TableAge the
	// time since it is known to have been the newest.
	Table    int64
	TableAge time.Duration
	// ListAge is the time since the list of upstreams is known to have been
	// right; negative if there is none.
	ListAge time.Duration
	// Follows says that the sender follows the list itself, not through peers.
	Follows bool
	// ListDigest is equal for equal lists, and ListRevision the store's as of
	// which the sender knows its own.
	ListDigest   uint64
	ListRevision int64
	// OfZone says that Loads and Services are the sums of the sender's zone,
	// as far as it knows; otherwise they are its own.
	OfZone bool
	Loads  []UpstreamLoad
	Faults []UpstreamFault
	// Findings are answers of upstreams to questions of the sender.
	Findings []UpstreamFinding
	// Leaving are starts of upstreams that have said that they are about to
	// end.
	Leaving []fleet.Incarnation
	// HeldOff are upstreams that have asked the sender for no requests.
	HeldOff  []UpstreamFault
	Services []ServiceCounts
	// Pipes are sums like Loads.
	Pipes []PipeUse
	// Suspicions are requests that crashed upstreams.
	Suspicions []Suspicion
	// Peers are gateways that the sender has heard lately.
	Peers []Address
}

// Check says whether n makes sense.
func (n *News) Check() error {
	switch {
	case n.Version != Version:
		return fmt.Errorf("peering: version %d, want %d", n.Version, Version)
	case n.Address.Address == "" || n.Gateway == "":
		return errors.New("peering: news without sender")
	case n.TableAge < 0 || n.Table < 0:
		return errors.New("peering: negative age or version")
	case len(n.Findings) > MaxNews || len(n.Leaving) > MaxNews || len(n.HeldOff) > MaxNews:
		return errors.New("peering: too many notices")
	case len(n.Faults) > MaxNews || len(n.Suspicions) > MaxNews || len(n.Peers) > MaxNews:
		return errors.New("peering: too much news")
	}
	return nil
}

// ListsRequest asks for the configuration and the list of upstreams.
type ListsRequest struct {
	Version int
	// Table is the version that the sender has; the answer holds none unless
	// it is newer.
	Table int64
}

// Check says whether r makes sense.
func (r *ListsRequest) Check() error {
	if r.Version != Version {
		return fmt.Errorf("peering: version %d, want %d", r.Version, Version)
	}
	return nil
}

// Lists are a gateway's configuration and list of upstreams.
type Lists struct {
	Version int
	// Table is nil if the asker has the same, and InForce its version.
	Table    *routing.Table
	InForce  int64
	TableAge time.Duration
	// Upstreams are valid as of ListAge ago; negative if there is no list.
	Upstreams    []*fleet.Upstream
	ListAge      time.Duration
	ListRevision int64
}

// Check says whether l makes sense.
func (l *Lists) Check() error {
	if l.Version != Version || l.TableAge < 0 {
		return errors.New("peering: bad lists")
	}
	for _, u := range l.Upstreams {
		if u == nil || u.Instance == "" || u.Address == "" {
			return errors.New("peering: upstream without instance or address")
		}
	}
	if l.Table != nil {
		return l.Table.Prepare()
	}
	return nil
}
