// Package peering defines the messages between gateways. They are sent over drpc
// and encoded in CBOR. [News] and [Lists] are exchanged by the processes of
// package gateway, the other messages by those of package entry.
package peering

import (
	"errors"
	"fmt"
	"time"

	"lovageport.example/internal/state/configuration"
	"lovageport.example/internal/state/withdrawal"
)

// Version is the version of the messages. Messages of another version are
// refused.
const Version = 4

// Limits of the messages.
const (
	// MaxListItems bounds the length of each list of a Heartbeat, and of most
	// lists of News.
	MaxListItems = 1024
	// MaxShards bounds the number of shards of one request and its answer.
	MaxShards = 64
)

// Death reports that an upstream was found to be down.
type Death struct {
	Upstream string
	// Age is the time since then.
	Age time.Duration
}

// Suspicion lists the upstreams that crashed while running a request.
type Suspicion struct {
	// Fingerprint is a hash that identifies the request by its content.
	Fingerprint string
	Crashes     []Death
}

// Heartbeat is the state that two entries exchange in each call: the caller sends
// its own, and the answer holds that of the other.
type Heartbeat struct {
	Version int
	// Secret is the secret that all entries share.
	Secret string
	// Entry is the name of the sender.
	Entry string
	Zone  string
	// Address is the address on which the sender accepts calls of peers.
	Address string
	// Generation is the generation of the configuration that the sender has
	// adopted.
	Generation int64
	// Withdrawals is the digest of the sender's set of withdrawals.
	Withdrawals string
	// ConfirmedAge is the time since the sender last heard of the platform,
	// directly or through a peer.
	ConfirmedAge time.Duration
	Draining     bool
	Deaths       []Death
	Suspicions   []Suspicion
}

// Check returns an error if h has another version, lacks its sender, or exceeds a
// limit.
func (h *Heartbeat) Check() error {
	switch {
	case h.Version != Version:
		return fmt.Errorf("peering: version %d, want %d", h.Version, Version)
	case h.Entry == "":
		return errors.New("peering: heartbeat without entry")
	case h.Generation < 0 || h.ConfirmedAge < 0:
		return errors.New("peering: negative count")
	case len(h.Deaths) > MaxListItems || len(h.Suspicions) > MaxListItems:
		return errors.New("peering: too much news")
	}
	return nil
}

// WithdrawalExchange holds all withdrawals that the sender knows. The answer
// holds those of both sides.
type WithdrawalExchange struct {
	Version     int
	Secret      string
	Withdrawals []withdrawal.Withdrawal
	// Entry is the name of the sender; set in answers.
	Entry string
}

// Check returns an error if x has another version or an invalid withdrawal.
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

// ShardRequest asks for the head in force and for shards by name. If Shards is
// empty, it asks for the head alone.
type ShardRequest struct {
	Version int
	Secret  string
	Shards  []string
}

// Check returns an error if r has another version or too many shards.
func (r *ShardRequest) Check() error {
	if r.Version != Version || len(r.Shards) > MaxShards {
		return errors.New("peering: bad shard request")
	}
	return nil
}

// ShardReply holds the head in force and those of the requested shards that the
// sender has.
type ShardReply struct {
	Version int
	Head    configuration.Head
	Shards  []configuration.Shard
}

// Check returns an error if r has another version or too many shards.
func (r *ShardReply) Check() error {
	if r.Version != Version || len(r.Shards) > MaxShards {
		return errors.New("peering: shard reply has another version or too many shards")
	}
	return nil
}
