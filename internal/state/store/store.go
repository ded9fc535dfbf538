// Package store is the seam to the platform's object API and VM list, and the
// rules for living with lost answers and stale reads.
package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"lovageport.example/internal/protocol/object"
)

// Errors of the platform.
var (
	// ErrNotFound says that there is no object of that key.
	ErrNotFound = errors.New("store: no such object")
	// ErrStale says that reads kept answering with an older version.
	ErrStale = errors.New("store: platform answers with an older version")
)

// ConflictError says that a conditional write did not take effect.
type ConflictError struct {
	// Version is the present one; 0 if there is no object.
	Version int64
}

// Error names the version found.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: conditional write refused, object has version %d", e.Version)
}

// NotSentError says that a call never reached the platform.
type NotSentError struct{ Err error }

// Error returns the cause.
func (e *NotSentError) Error() string { return "store: platform not reached: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Objects is the platform as the entry sees it. A write that fails with
// anything but [ConflictError] or [NotSentError] may have taken effect.
type Objects struct {
	// Get reads an object.
	Get func(ctx context.Context, key string) (object.Object, error)
	// Put writes an object if its version is ifVersion, 0 for none, and
	// returns the new version.
	Put func(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error)
	// Delete removes an object if its version is ifVersion.
	Delete func(ctx context.Context, key string, ifVersion int64) error
	// List returns the keys with a prefix.
	List func(ctx context.Context, prefix string) ([]string, error)
	// Watch waits until the version of key is above after, and returns the
	// object, or ErrNotFound when wait is over.
	Watch func(ctx context.Context, key string, after int64, wait time.Duration) (object.Object, error)
	// VMs returns the VM list; it lags.
	VMs func(ctx context.Context) (object.VMList, error)
	// Pause waits between tries, or returns the error of ctx; a timer if nil.
	Pause func(ctx context.Context, d time.Duration) error
}

// Tries and waits of calls that are repeated.
const (
	settleTries = 3
	settleWait  = 50 * time.Millisecond
)

// Settle writes value if the version of key is ifVersion, and finds out what
// became of the write if its answer is lost. value must be unlike any other
// writer's, for instance by holding a nonce. The error is a [ConflictError] if
// another write won, a [NotSentError] if nothing was written, and any other if
// the outcome stays unknown.
func (o *Objects) Settle(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error) {
	unsure := false
	var last error
	for try := range settleTries {
		if try > 0 && o.pause(ctx) != nil {
			break
		}
		version, err := o.Put(ctx, key, value, ifVersion)
		if err == nil {
			return version, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			if !unsure {
				return 0, err
			}
			return o.settleConflict(ctx, key, value, conflict)
		}
		var unsent *NotSentError
		if !errors.As(err, &unsent) {
			unsure = true
		}
		last = err
	}
	if !unsure {
		return 0, last
	}
	return 0, fmt.Errorf("store: outcome of the write to %s unknown: %w", key, withoutNotSent(last))
}

// withoutNotSent hides a NotSentError of the last try when an earlier try may
// have taken effect.
func withoutNotSent(err error) error {
	var unsent *NotSentError
	if errors.As(err, &unsent) {
		return unsent.Err
	}
	return err
}

// settleConflict finds out whether the write that won is ours.
func (o *Objects) settleConflict(ctx context.Context, key string, value []byte, conflict *ConflictError) (int64, error) {
	found, err := o.GetAtLeast(ctx, key, conflict.Version)
	if err != nil {
		return 0, fmt.Errorf("store: outcome of the write to %s unknown: %w", key, withoutNotSent(err))
	}
	if bytes.Equal(found.Value, value) {
		return found.Version, nil
	}
	return 0, &ConflictError{Version: found.Version}
}

// GetAtLeast reads key until its version is at least version.
func (o *Objects) GetAtLeast(ctx context.Context, key string, version int64) (object.Object, error) {
	var last error
	for try := range settleTries {
		if try > 0 && o.pause(ctx) != nil {
			break
		}
		found, err := o.Get(ctx, key)
		switch {
		case err == nil && found.Version >= version:
			return found, nil
		case err == nil:
			last = ErrStale
		case errors.Is(err, ErrNotFound) && version > 0:
			last = ErrStale
		default:
			last = err
		}
	}
	return object.Object{}, last
}

// pause waits between two tries, or until ctx ends.
func (o *Objects) pause(ctx context.Context) error {
	if o.Pause != nil {
		return o.Pause(ctx, settleWait)
	}
	timer, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	<-timer.Done()
	return ctx.Err()
}
