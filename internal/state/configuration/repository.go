package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"lovageport.example/internal/state/store"
	"lovageport.example/pkg/declaration"
)

// Object keys of the stored configuration.
const (
	HeadKey     = "configuration/head"
	shardPrefix = "configuration/shard/"
)

// ErrUnknownOutcome is returned if a change may or may not have been accepted.
// Sending the change again with the same ID is safe and reveals the outcome.
var ErrUnknownOutcome = errors.New("configuration: outcome unknown; send the same change ID again")

// ErrChangeReused is returned for a change whose ID is that of an accepted change
// with another set.
var ErrChangeReused = errors.New("configuration: the change ID was used for another set")

// ConflictError is returned for a change that is based on a generation other
// than the one in force.
type ConflictError struct {
	// Current is the change that made the generation in force.
	Current Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration: generation %d by %q (change %q) is in force", e.Current.Generation, e.Current.Operator, e.Current.ID)
}

// Repository reads and writes the configuration in the platform's object API.
type Repository struct {
	Objects store.ObjectAPI
	// Nonce returns a string that is unique for each call.
	Nonce func() string
}

// storedHead is a head and the version of the object that holds it.
type storedHead struct {
	Head
	version int64
}

// ReadHead returns the stored head, or the zero Head if none is stored.
func (r *Repository) ReadHead(ctx context.Context) (Head, error) {
	head, err := r.readHead(ctx, 0)
	return head.Head, err
}

func (r *Repository) readHead(ctx context.Context, atLeast int64) (storedHead, error) {
	found, err := r.Objects.GetAtLeast(ctx, HeadKey, atLeast)
	if errors.Is(err, store.ErrNotFound) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	head, err := DecodeHead(found.Value)
	return storedHead{head, found.Version}, err
}

// ReadShard returns the stored shard of that name. It fails if the content does
// not match the name.
func (r *Repository) ReadShard(ctx context.Context, name string) (Shard, error) {
	found, err := r.Objects.Get(ctx, shardPrefix+name)
	if err != nil {
		return Shard{}, err
	}
	shard := Shard{Name: name, Text: found.Value}
	return shard, shard.Check()
}

// Apply makes set the accepted configuration if the generation in force is
// expected. inForce is the head that the calling entry has adopted; it takes
// precedence over an older stored head, as after a restore of the platform from
// a backup.
//
// Apply returns the accepted change and whether it had been accepted before. The
// error is a [ConflictError] if another generation is in force, and wraps
// [ErrUnknownOutcome] if the outcome is unknown. With any error other than
// ErrUnknownOutcome nothing has changed.
func (r *Repository) Apply(ctx context.Context, id, operator string, expected int64, set declaration.Set, inForce Head) (Change, bool, error) {
	current, err := r.readHead(ctx, 0)
	if err != nil {
		return Change{}, false, err
	}
	stored := current.Head
	if inForce.Generation > current.Generation {
		current.Head = inForce
	}
	if earlier, ok := current.FindChange(id); ok {
		return earlier, true, nil
	}
	if current.Generation != expected {
		return Change{}, false, newConflictError(current.Head)
	}
	shards, err := Split(set)
	if err != nil {
		return Change{}, false, err
	}
	if err := r.writeShards(ctx, shards, stored); err != nil {
		return Change{}, false, err
	}
	change := Change{ID: id, Generation: expected + 1, Operator: operator}
	next := r.nextHead(current.Head, change, shards)
	return r.writeHead(ctx, next, change, current.version)
}

func newConflictError(head Head) error {
	winner := Change{Generation: head.Generation}
	if n := len(head.Changes); n > 0 {
		winner = head.Changes[n-1]
	}
	return &ConflictError{Current: winner}
}

// writeShards stores the shards that the stored head does not list.
func (r *Repository) writeShards(ctx context.Context, shards []Shard, stored Head) error {
	existing := make(map[string]bool, len(stored.Shards))
	for _, name := range stored.Shards {
		existing[name] = true
	}
	for _, shard := range shards {
		if existing[shard.Name] {
			continue
		}
		_, err := r.Objects.PutWithRetry(ctx, shardPrefix+shard.Name, shard.Text, 0)
		var conflict *store.ConflictError
		// A conflict means that the shard exists already, and with the same
		// content, since its key is the hash of its content.
		if err != nil && !errors.As(err, &conflict) {
			return fmt.Errorf("configuration: shard not stored, nothing has changed: %w", err)
		}
	}
	return nil
}

func (r *Repository) nextHead(current Head, change Change, shards []Shard) Head {
	next := Head{Generation: change.Generation, Nonce: r.Nonce()}
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

// writeHead stores next, on top of version ifVersion of the head. The change is
// accepted once this write takes effect.
func (r *Repository) writeHead(ctx context.Context, next Head, change Change, ifVersion int64) (Change, bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Change{}, false, fmt.Errorf("configuration: %w", err)
	}
	_, err = r.Objects.PutWithRetry(ctx, HeadKey, value, ifVersion)
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
	winner, err := r.readHead(ctx, conflict.Version)
	if err != nil {
		return Change{}, false, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	// The same change may have been sent through another entry at the same time.
	if earlier, ok := winner.FindChange(change.ID); ok {
		return earlier, true, nil
	}
	return Change{}, false, newConflictError(winner.Head)
}
