package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"lovageport.example/internal/state/store"
	"lovageport.example/pkg/declaration"
)

// Keys of the stored configuration.
const (
	HeadKey     = "configuration/head"
	shardPrefix = "configuration/shard/"
)

// ErrUnknownOutcome says that a change may have been accepted or not. Sending
// it again with the same change ID resolves it.
var ErrUnknownOutcome = errors.New("configuration: outcome unknown; send the same change ID again")

// ConflictError says that a change builds on a generation that is no longer in
// force.
type ConflictError struct {
	// Winner is the change in force.
	Winner Change
}

// Error names the winner.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration: generation %d by %q (change %q) is in force", e.Winner.Generation, e.Winner.Operator, e.Winner.ID)
}

// Stored is the configuration in the platform's object API.
type Stored struct {
	Objects store.Objects
	// Nonce returns a text unlike any other.
	Nonce func() string
}

// storedHead is a head with the version of its object.
type storedHead struct {
	Head
	version int64
}

// ReadHead returns the stored head; the zero Head if there is none.
func (s *Stored) ReadHead(ctx context.Context) (Head, error) {
	head, err := s.readHead(ctx, 0)
	return head.Head, err
}

func (s *Stored) readHead(ctx context.Context, atLeast int64) (storedHead, error) {
	found, err := s.Objects.GetAtLeast(ctx, HeadKey, atLeast)
	if errors.Is(err, store.ErrNotFound) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	head, err := DecodeHead(found.Value)
	return storedHead{head, found.Version}, err
}

// ReadShard returns a stored shard.
func (s *Stored) ReadShard(ctx context.Context, name string) (Shard, error) {
	found, err := s.Objects.Get(ctx, shardPrefix+name)
	if err != nil {
		return Shard{}, err
	}
	shard := Shard{Name: name, Text: found.Value}
	return shard, shard.Check()
}

// Apply makes set the accepted configuration if expected is the generation in
// force. inForce is the head that the calling entry has adopted: if the platform
// was restored from a backup, its own is older and does not count. It returns the accepted change and whether it had been accepted
// before. A [ConflictError] says that nothing changed, ErrUnknownOutcome that
// nobody knows, and any other error that nothing changed.
func (s *Stored) Apply(ctx context.Context, id, operator string, expected int64, set declaration.Set, inForce Head) (Change, bool, error) {
	current, err := s.readHead(ctx, 0)
	if err != nil {
		return Change{}, false, err
	}
	stored := current.Head
	if inForce.Generation > current.Generation {
		current.Head = inForce
	}
	if earlier, ok := current.Find(id); ok {
		return earlier, true, nil
	}
	if current.Generation != expected {
		return Change{}, false, conflictOf(current.Head)
	}
	shards, err := Split(set)
	if err != nil {
		return Change{}, false, err
	}
	if err := s.writeShards(ctx, shards, stored); err != nil {
		return Change{}, false, err
	}
	change := Change{ID: id, Generation: expected + 1, Operator: operator}
	next := s.nextHead(current.Head, change, shards)
	return s.writeHead(ctx, next, change, current.version)
}

func conflictOf(head Head) error {
	winner := Change{Generation: head.Generation}
	if n := len(head.Changes); n > 0 {
		winner = head.Changes[n-1]
	}
	return &ConflictError{Winner: winner}
}

// writeShards stores the shards that the stored head does not name yet.
func (s *Stored) writeShards(ctx context.Context, shards []Shard, stored Head) error {
	have := make(map[string]bool, len(stored.Shards))
	for _, name := range stored.Shards {
		have[name] = true
	}
	for _, shard := range shards {
		if have[shard.Name] {
			continue
		}
		_, err := s.Objects.Settle(ctx, shardPrefix+shard.Name, shard.Text, 0)
		var conflict *store.ConflictError
		// A conflict means that the shard is there: its name is its content.
		if err != nil && !errors.As(err, &conflict) {
			return fmt.Errorf("configuration: shard not stored, nothing has changed: %w", err)
		}
	}
	return nil
}

func (s *Stored) nextHead(current Head, change Change, shards []Shard) Head {
	next := Head{Generation: change.Generation, Nonce: s.Nonce()}
	for _, shard := range shards {
		next.Shards = append(next.Shards, shard.Name)
	}
	next.Changes = append(next.Changes, current.Changes...)
	next.Changes = append(next.Changes, change)
	if extra := len(next.Changes) - maxChanges; extra > 0 {
		next.Changes = next.Changes[extra:]
	}
	return next
}

// writeHead makes next the accepted head, which is the moment of acceptance.
func (s *Stored) writeHead(ctx context.Context, next Head, change Change, ifVersion int64) (Change, bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Change{}, false, fmt.Errorf("configuration: %w", err)
	}
	_, err = s.Objects.Settle(ctx, HeadKey, value, ifVersion)
	if err == nil {
		return change, false, nil
	}
	var unsent *store.NotSentError
	if errors.As(err, &unsent) {
		return Change{}, false, err
	}
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return Change{}, false, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	winner, err := s.readHead(ctx, conflict.Version)
	if err != nil {
		return Change{}, false, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	// The same change may have been sent through another entry at once.
	if earlier, ok := winner.Find(change.ID); ok {
		return earlier, true, nil
	}
	return Change{}, false, conflictOf(winner.Head)
}
