// Package peering holds the messages between entries. They travel over drpc,
// encoded in CBOR.
package peering

import (
	"errors"
	"fmt"
	"time"

	"lovageport.example/internal/state/configuration"
	"lovageport.example/internal/state/withdrawal"
)

// Version is that of these messages; entries of other versions are refused.
const Version = 4

// Bounds of the messages.
const (
	// MaxNews bounds the deaths and suspicions of one heartbeat.
	MaxNews = 1024
	// MaxShards bounds the shards of one request.
	MaxShards = 64
)

// Death says that an upstream was found dead.
type Death struct {
	Upstream string
	// Age is the time since.
	Age time.Duration
}

// Suspicion lists the upstreams that crashed with a request in flight.
type Suspicion struct {
	Fingerprint string
	Crashes     []Death
}

// Heartbeat is what an entry tells a peer of itself, in both directions.
type Heartbeat struct {
	Version int
	// Secret is the one that the entries share.
	Secret string
	Entry  string
	Zone   string
	// Address is where the sender listens for peers.
	Address string
	// Generation is the accepted configuration that the sender has adopted.
	Generation int64
	// Withdrawals is the digest of the sender's withdrawals.
	Withdrawals string
	// ConfirmedAge is the time since the sender had word of the platform,
	// directly or from a peer.
	ConfirmedAge time.Duration
	Draining     bool
	Deaths       []Death
	Suspicions   []Suspicion
}

// Check says whether h makes sense.
func (h *Heartbeat) Check() error {
	switch {
	case h.Version != Version:
		return fmt.Errorf("peering: version %d, want %d", h.Version, Version)
	case h.Entry == "":
		return errors.New("peering: heartbeat without entry")
	case h.Generation < 0 || h.ConfirmedAge < 0:
		return errors.New("peering: negative count")
	case len(h.Deaths) > MaxNews || len(h.Suspicions) > MaxNews:
		return errors.New("peering: too much news")
	}
	return nil
}

// WithdrawalExchange carries all withdrawals that the sender knows of; the
// answer carries the union.
type WithdrawalExchange struct {
	Version     int
	Secret      string
	Withdrawals []withdrawal.Withdrawal
	// Entry names the sender of the answer.
	Entry string
}

// Check says whether x makes sense.
func (x *WithdrawalExchange) Check() error {
	if x.Version != Version {
		return fmt.Errorf("peering: version %d, want %d", x.Version, Version)
	}
	for i := range x.Withdrawals {
		if err := x.Withdrawals[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// ShardRequest asks for the head in force and for shards by name. An empty
// list asks for the head alone.
type ShardRequest struct {
	Version int
	Secret  string
	Shards  []string
}

// Check says whether r makes sense.
func (r *ShardRequest) Check() error {
	if r.Version != Version || len(r.Shards) > MaxShards {
		return errors.New("peering: bad shard request")
	}
	return nil
}

// ShardReply carries the head in force and the shards that the sender has.
type ShardReply struct {
	Version int
	Head    configuration.Head
	Shards  []configuration.Shard
}

// Check says whether r makes sense.
func (r *ShardReply) Check() error {
	if r.Version != Version || len(r.Shards) > MaxShards {
		return errors.New("peering: bad shard reply")
	}
	return nil
}
