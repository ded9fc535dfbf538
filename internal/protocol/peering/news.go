package peering

import (
	"errors"
	"fmt"
	"time"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
)

// Address is a gateway's name and zone and the address on which it accepts calls
// of peers.
type Address struct {
	_       struct{} `cbor:",toarray"`
	Gateway string
	Zone    string
	Address string
}

// UpstreamLoad is the load that a gateway, or a zone, has put on an upstream.
type UpstreamLoad struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// Requests is the number of requests in flight.
	Requests int
	// Begun is the number of those requests whose first stage is the upstream.
	Begun int
	// TokenLayers is the KV cache reserved for the requests, in tokens times
	// layers.
	TokenLayers float32
	// Reading is the prefill load, in prompt tokens times layers per second.
	Reading float32
}

// PipeUse is the traffic of a gateway, or of a zone, on the link between two
// zones.
type PipeUse struct {
	_ struct{} `cbor:",toarray"`
	// Service is the service of the engines. Pipe is the name of the link, as
	// pathfinding.LinkName returns it.
	Service, Pipe string
	// Reading is the number of prompt tokens per second whose activations cross
	// the link.
	Reading float32
}

// UpstreamFault reports that a gateway sends no requests to an upstream for a
// while.
type UpstreamFault struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// Left is the remaining time.
	Left time.Duration
}

// UpstreamFinding is the result of a gateway's health check of an upstream that
// answered it.
type UpstreamFinding struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// Age is the time since the upstream answered.
	Age time.Duration
	// Pace is the factor by which the engine runs slower than normal; 0 if the
	// check asked only for health, in which case the upstream is healthy.
	Pace float32
}

// ServiceCounts holds the numbers of requests and retries of a service within
// the window of the retry budget.
type ServiceCounts struct {
	_                 struct{} `cbor:",toarray"`
	Service           string
	Requests, Repeats float32
}

// News is the state that two gateways exchange in each call: the caller sends its
// own, and the answer holds that of the other.
type News struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Address
	Draining bool
	// Table is the version of the sender's configuration, and TableAge the time
	// since it was last known to be the newest.
	Table    int64
	TableAge time.Duration
	// ListAge is the time since the sender's list of upstreams was last known
	// to be current; negative if the sender has none.
	ListAge time.Duration
	// Follows reports whether the sender receives the list from the platform's
	// store rather than from peers.
	Follows bool
	// ListDigest is a hash of the list, and ListRevision the revision of the
	// store at which the list was current.
	ListDigest   uint64
	ListRevision int64
	// OfZone reports whether Loads, Services and Pipes are the sums over the
	// gateways of the sender's zone that the sender knows of, rather than its
	// own values.
	OfZone bool
	Loads  []UpstreamLoad
	// Faults are the upstreams to which the sender sends no requests because
	// of a fault.
	Faults []UpstreamFault
	// Findings are the results of the sender's recent health checks.
	Findings []UpstreamFinding
	// Leaving are the upstreams that have announced their shutdown.
	Leaving []fleet.Incarnation
	// HeldOff are the upstreams that have asked the sender to send no requests
	// for a while.
	HeldOff  []UpstreamFault
	Services []ServiceCounts
	// Pipes is the traffic between zones.
	Pipes []PipeUse
	// Suspicions are the requests that may have crashed upstreams.
	Suspicions []Suspicion
	// Peers are some of the gateways from which the sender has heard recently.
	Peers []Address

	// Store is sent beside the other fields, see [Update]. It is the zero value
	// in news of a build that does not know it.
	Store StoreNews `cbor:"-"`
	// Retries, Parts, FaultNews, Reach and Demand are sent like Store.
	Retries   RetryNews       `cbor:"-"`
	Parts     []PartSuspicion `cbor:"-"`
	FaultNews FaultNews       `cbor:"-"`
	Reach     ReachNews       `cbor:"-"`
	Demand    DemandNews      `cbor:"-"`
	// Relay and Limits are sent like Store.
	Relay  RelayNews `cbor:"-"`
	Limits LimitNews `cbor:"-"`
}

// Check returns an error if n has another version, lacks its sender, or exceeds a
// limit.
func (n *News) Check() error {
	switch {
	case n.Version != Version:
		return fmt.Errorf("peering: version %d, want %d", n.Version, Version)
	case n.Address.Address == "" || n.Gateway == "":
		return errors.New("peering: news without sender")
	case n.TableAge < 0 || n.Table < 0:
		return errors.New("peering: negative age or version")
	case len(n.Findings) > MaxListItems || len(n.Leaving) > MaxListItems || len(n.HeldOff) > MaxListItems:
		return errors.New("peering: too many notices")
	case len(n.Faults) > MaxListItems || len(n.Suspicions) > MaxListItems || len(n.Peers) > MaxListItems:
		return errors.New("peering: too much news")
	}
	return nil
}

// ListsRequest asks a gateway for its configuration and its list of upstreams.
type ListsRequest struct {
	Version int
	// Table is the version of the sender's configuration. The answer holds a
	// configuration only if it is newer.
	Table int64
}

// Check returns an error if r has another version.
func (r *ListsRequest) Check() error {
	if r.Version != Version {
		return fmt.Errorf("peering: version %d, want %d", r.Version, Version)
	}
	return nil
}

// Lists is the answer to a [ListsRequest].
type Lists struct {
	Version int
	// Table is the sender's configuration; nil if it is not newer than the one
	// that the request names.
	Table *routing.Table
	// InForce is the version of the sender's configuration, and TableAge the
	// time since it was last known to be the newest.
	InForce  int64
	TableAge time.Duration
	// Upstreams is the list of upstreams, which was last known to be current
	// ListAge ago. ListAge is negative if the sender has no list.
	Upstreams    []*fleet.Upstream
	ListAge      time.Duration
	ListRevision int64
	// ListEra is the era of the platform's store that ListRevision belongs to; 0
	// if unknown, also to the sender's build.
	ListEra int64 `cbor:",omitempty"`
}

// Check returns an error if l has another version, a negative age, an upstream
// without instance or, unless it is unusable, address, or an invalid table. It prepares the table.
func (l *Lists) Check() error {
	if l.Version != Version || l.TableAge < 0 || l.ListEra < 0 {
		return errors.New("peering: lists have another version, a negative age or era")
	}
	for _, u := range l.Upstreams {
		if u == nil || u.Instance == "" || u.Address == "" && u.State != fleet.Unusable {
			return errors.New("peering: upstream without instance or address")
		}
	}
	if l.Table != nil {
		return l.Table.Prepare()
	}
	return nil
}
