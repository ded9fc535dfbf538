// Package store is the interface to the platform's object API and VM list. It
// handles lost answers and stale reads.
package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"lovageport.example/internal/protocol/object"
)

// Errors of reads.
var (
	// ErrNotFound is returned if no object has the key.
	ErrNotFound = errors.New("store: no such object")
	// ErrStale is returned if reads of an object only returned versions older
	// than the one asked for.
	ErrStale = errors.New("store: platform answers with an older version")
)

// ConflictError is returned for a conditional write that did not take effect
// because the object has another version.
type ConflictError struct {
	// Version is the current version of the object; 0 if it does not exist.
	Version int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: conditional write refused, object has version %d", e.Version)
}

// NotSentError is returned for a call that certainly had no effect: it could not
// be sent, or the platform refused to accept it.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "store: platform not reached: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// ObjectAPI is the platform's object API and VM list. A write that fails with an
// error other than [ConflictError] and [NotSentError] may have taken effect.
type ObjectAPI struct {
	// Get returns the object with a key, or ErrNotFound. The read may be
	// stale.
	Get func(ctx context.Context, key string) (object.Object, error)
	// Put writes an object if its current version is ifVersion, or if it does
	// not exist and ifVersion is 0. It returns the new version.
	Put func(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error)
	// Delete deletes an object if its current version is ifVersion.
	Delete func(ctx context.Context, key string, ifVersion int64) error
	// List returns the keys that have a prefix.
	List func(ctx context.Context, prefix string) ([]string, error)
	// Watch waits until the version of key is higher than after and returns
	// the object. It returns ErrNotFound if wait expires first.
	Watch func(ctx context.Context, key string, after int64, wait time.Duration) (object.Object, error)
	// VMs returns the VM list, which may be out of date.
	VMs func(ctx context.Context) (object.VMList, error)
	// Sleep waits between attempts and returns the error of ctx if ctx ends
	// first. Nil means a timer.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Limits of retries.
const (
	maxAttempts   = 3
	retryInterval = 50 * time.Millisecond
)

// PutWithRetry writes value if the current version of key is ifVersion, and
// returns the new version. It retries failed writes, and if an answer was lost it
// reads the object to find out whether the write took effect. For this, value
// must differ from that of any other write, for instance by a nonce. The error
// is a [ConflictError] if the object has another version, a [NotSentError] if
// nothing was written, and any other error if the outcome is unknown.
func (o *ObjectAPI) PutWithRetry(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error) {
	mayHaveWritten := false
	var last error
	for attempt := range maxAttempts {
		if attempt > 0 && o.sleep(ctx) != nil {
			break
		}
		version, err := o.Put(ctx, key, value, ifVersion)
		if err == nil {
			return version, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			if !mayHaveWritten {
				return 0, err
			}
			return o.resolveConflict(ctx, key, value, conflict)
		}
		var unsent *NotSentError
		if !errors.As(err, &unsent) {
			mayHaveWritten = true
		}
		last = err
	}
	if !mayHaveWritten {
		return 0, last
	}
	return 0, fmt.Errorf("store: outcome of the write to %s unknown: %w", key, unwrapNotSent(last))
}

// unwrapNotSent returns the cause of a NotSentError, and any other err itself. It
// is used when an earlier attempt may have taken effect, so that callers don't
// conclude that nothing was written.
func unwrapNotSent(err error) error {
	var unsent *NotSentError
	if errors.As(err, &unsent) {
		return unsent.Err
	}
	return err
}

// resolveConflict finds out whether a write that met a conflict had taken effect
// in an earlier attempt, in which case the object holds value.
func (o *ObjectAPI) resolveConflict(ctx context.Context, key string, value []byte, conflict *ConflictError) (int64, error) {
	found, err := o.GetAtLeast(ctx, key, conflict.Version)
	if err != nil {
		return 0, fmt.Errorf("store: outcome of the write to %s unknown: %w", key, unwrapNotSent(err))
	}
	if bytes.Equal(found.Value, value) {
		return found.Version, nil
	}
	return 0, &ConflictError{Version: found.Version}
}

// GetAtLeast returns the object with a key in a version that is at least version.
// It retries stale and failed reads, and returns [ErrStale] if the last one was
// stale.
func (o *ObjectAPI) GetAtLeast(ctx context.Context, key string, version int64) (object.Object, error) {
	var last error
	for attempt := range maxAttempts {
		if attempt > 0 && o.sleep(ctx) != nil {
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

// sleep waits between two attempts, or until ctx ends.
func (o *ObjectAPI) sleep(ctx context.Context) error {
	if o.Sleep != nil {
		return o.Sleep(ctx, retryInterval)
	}
	timer, cancel := context.WithTimeout(ctx, retryInterval)
	defer cancel()
	<-timer.Done()
	return ctx.Err()
}
