package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"lovageport.example/internal/state/store"
	"lovageport.example/pkg/verdict"
)

// Manager acquires claims on behalf of one entry.
type Manager struct {
	Objects store.ObjectAPI
	// Entry is the name of the entry.
	Entry string
	// Nonce returns a string that is unique for each call.
	Nonce func() string
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// RetryLater schedules work to be retried until it returns nil, such as
	// the release of a claim while the platform is unavailable. If it is nil,
	// such work is dropped.
	RetryLater func(work func(ctx context.Context) error)
}

func (m *Manager) now() time.Time {
	if m.Now == nil {
		return time.Now()
	}
	return m.Now()
}

// Acquire claims a call. It returns a Handle if the call may be sent, or the
// stored answer if the call has run before. The call must be sent within window
// and may then take as long as timeout. The error is a [verdict.Error].
func (m *Manager) Acquire(ctx context.Context, key, bodyHash string, window, timeout time.Duration) (*Handle, *Answer, error) {
	now := m.now()
	claim := Claim{
		Nonce:    m.Nonce(),
		Entry:    m.Entry,
		BodyHash: bodyHash,
		State:    Claimed,
		Taken:    now,
		Deadline: now.Add(window),
		Timeout:  timeout,
	}
	version, err := m.write(ctx, key, claim, 0)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return m.resolveExisting(ctx, key, claim, conflict.Version)
	}
	if err != nil {
		return nil, nil, m.refuseUnwritten(key, claim, 0, err)
	}
	return &Handle{m, key, version, claim}, nil, nil
}

// resolveExisting returns the outcome for a call whose claim exists already with
// version atLeast or a later one.
func (m *Manager) resolveExisting(ctx context.Context, key string, claim Claim, atLeast int64) (*Handle, *Answer, error) {
	found, err := m.Objects.GetAtLeast(ctx, key, atLeast)
	if err != nil {
		// This call was not sent, but an earlier one with the same key may
		// have been.
		return nil, nil, earlierMayHaveRun(verdict.PlatformDown, platformRetryAfter, "the claim of this key can't be read")
	}
	stored, err := decode(found.Value)
	if err != nil {
		return nil, nil, earlierMayHaveRun(verdict.ClaimOutcomeLost, 0, "the claim of this key can't be understood")
	}
	if stored.BodyHash != claim.BodyHash {
		return nil, nil, verdict.Refuse(verdict.KeyReused, "this idempotency key was used for another call")
	}
	switch stored.State {
	case Answered:
		return nil, stored.Answer, nil
	case Lost:
		return nil, nil, earlierMayHaveRun(verdict.ClaimOutcomeLost, 0, "the outcome of this call is lost")
	case Released:
		return m.acquireReleased(ctx, key, claim, found.Version)
	}
	end := stored.Deadline.Add(stored.Timeout)
	if remaining := end.Sub(m.now()); remaining > 0 {
		return nil, nil, earlierMayHaveRun(verdict.ClaimHeld, remaining, "this call is under way")
	}
	return nil, nil, earlierMayHaveRun(verdict.ClaimLapsed, 0, "this call was under way when its entry was lost")
}

// earlierMayHaveRun returns an error for a call that was not sent because an
// earlier call with its key may have run.
func earlierMayHaveRun(reason verdict.Reason, wait time.Duration, message string) error {
	return &verdict.Error{Run: verdict.MayHaveRun, Reason: reason, Message: message, RetryAfter: wait}
}

// acquireReleased claims a call whose claim was released and has version
// ifVersion.
func (m *Manager) acquireReleased(ctx context.Context, key string, claim Claim, ifVersion int64) (*Handle, *Answer, error) {
	version, err := m.write(ctx, key, claim, ifVersion)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil, nil, earlierMayHaveRun(verdict.ClaimHeld, time.Second, "this call is under way")
	}
	if err != nil {
		return nil, nil, m.refuseUnwritten(key, claim, ifVersion, err)
	}
	return &Handle{m, key, version, claim}, nil, nil
}

// refuseUnwritten returns the error for a call whose claim could not be written.
// The call is not sent, and since the nonce is discarded it never will be. If the
// write may have taken effect all the same, the claim is released later.
func (m *Manager) refuseUnwritten(key string, claim Claim, ifVersion int64, err error) error {
	var unsent *store.NotSentError
	if !errors.As(err, &unsent) && m.RetryLater != nil {
		m.RetryLater(func(ctx context.Context) error { return m.releaseUncertain(ctx, key, claim, ifVersion) })
	}
	refusal := verdict.RefuseUntil(platformRetryAfter, verdict.PlatformDown, "no claim could be stored, so this call was not sent; whether an earlier one with its key ran is not known")
	refusal.Err = err
	return refusal
}

// releaseUncertain releases a claim whose write on top of version ifVersion had
// an unknown outcome. It must be called again if it returns an error.
func (m *Manager) releaseUncertain(ctx context.Context, key string, claim Claim, ifVersion int64) error {
	found, err := m.Objects.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if found.Version > ifVersion {
		stored, err := decode(found.Value)
		if err != nil || stored.Nonce != claim.Nonce || stored.State != Claimed {
			return nil
		}
	}
	// The write may also still be in flight. Writing the released claim first
	// makes the condition of that write fail.
	claim.State = Released
	_, err = m.write(ctx, key, claim, found.Version)
	return err
}

func (m *Manager) write(ctx context.Context, key string, claim Claim, ifVersion int64) (int64, error) {
	value, err := json.Marshal(claim)
	if err != nil {
		return 0, fmt.Errorf("claim: %w", err)
	}
	return m.Objects.PutWithRetry(ctx, key, value, ifVersion)
}

// Sweep deletes the claims that are older than Retention among those whose key
// hash starts with the byte part, one 256th of all. It returns how many it
// deleted.
func (m *Manager) Sweep(ctx context.Context, part byte) (int, error) {
	keys, err := m.Objects.List(ctx, fmt.Sprintf("%s%02x/", Prefix, part))
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, key := range keys {
		if !strings.HasPrefix(key, Prefix) {
			continue
		}
		found, err := m.Objects.Get(ctx, key)
		if err != nil {
			return removed, err
		}
		claim, err := decode(found.Value)
		if err != nil || m.now().Sub(claim.Taken) < Retention {
			continue
		}
		if err := m.Objects.Delete(ctx, key, found.Version); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}
